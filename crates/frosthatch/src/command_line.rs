//! Defines the command line and dispatches each subcommand to the function that carries it out.

use crate::commands::admin_client::AdminClient;
use crate::commands::{check, fleet, plugin, policy};
use crate::gateway::{self, GatewayError};
use clap::{Args, Parser, Subcommand};
use frosthatch_log::log_line;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code of a process that was not allowed to replace a running one, EX_TEMPFAIL in sysexits.h.
const TAKEOVER_REJECTED_EXIT_CODE: u8 = 75;

/// Runs a gateway that enforces customers' quotas and forwards their requests to a fleet of servers.
///
/// The platform's configuration is the JSON file that the environment variable NODE_CONFIG names.
#[derive(Parser)]
#[command(version)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
    /// The operator's configuration file (TOML), for every feature that the platform does not configure; without it
    /// these features are off.
    #[arg(long, value_name = "FILE", global = true)]
    operator: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Checks both configuration files and prints every mistake with its location and a correction; starts no
    /// gateway.
    Check,
    /// Shows the fleet as a running gateway sees it, or makes the gateway leave it, through its console.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
        #[command(flatten)]
        options: AdminOptions,
    },
    /// Shows, checks and changes the policy that all gateways agree on, through a running gateway's console.
    Policy {
        #[command(subcommand)]
        command: PolicyCommand,
        #[command(flatten)]
        options: AdminOptions,
    },
    /// Checks or runs a plug-in outside a gateway.
    Plugin {
        #[command(subcommand)]
        command: PluginCommand,
    },
}

#[derive(Args)]
struct AdminOptions {
    /// The console's address; by default the one in the file that NODE_CONFIG names.
    #[arg(long, value_name = "ADDRESS", global = true)]
    console: Option<SocketAddr>,
    /// Prints JSON instead of text.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Prints all members that the gateway knows, including itself.
    Members,
    /// Prints the digest and number of the ready members and how long the digest has been unchanged.
    View,
    /// Makes the gateway leave the fleet; it goes on serving requests without the other members.
    Leave,
}

#[derive(Subcommand)]
enum PolicyCommand {
    /// Prints the policy document that is in force.
    Show,
    /// Checks a policy document and prints every mistake; with NODE_CONFIG set, also checks that it fits this
    /// gateway's plans, classes and plug-ins.
    Check {
        /// The policy document (TOML).
        file: PathBuf,
    },
    /// Proposes a policy document. Exit status: 0 if it is in force, 1 if the gateway did not accept the request, 2
    /// if the document was rejected, 3 if the outcome is not known yet (see `status`).
    Propose {
        /// The policy document (TOML).
        file: PathBuf,
        /// Maximum time to wait for the proposal's outcome, in seconds.
        #[arg(long, default_value_t = 20)]
        wait: u64,
    },
    /// Prints the policy version of each member and the outcome of this gateway's proposals.
    Status,
    /// Prints the policies that this gateway has served under since it started.
    History,
    /// Aborts a proposal; fails if a keeper may already have accepted it.
    Abort {
        /// The proposal's number, as `status` shows it.
        number: u64,
    },
    /// Creates a new keeper's initial state in the folder that the operator's file names; run it once, when the
    /// keeper is set up.
    Init {
        /// The keeper's member name.
        #[arg(long)]
        name: String,
        /// The new keeper replaces one that is permanently gone or whose folder is lost.
        #[arg(long)]
        replaces: bool,
    },
    /// Prints the JSON Schema of a policy document.
    Schema,
}

#[derive(Subcommand)]
enum PluginCommand {
    /// Checks whether a WebAssembly module (binary or WAT) can be a plug-in: interface, imports, `init`.
    Check {
        /// The WebAssembly module.
        file: PathBuf,
        /// The configuration text that the module's `config` call returns.
        #[arg(long, default_value = "")]
        config: String,
    },
    /// Runs a plug-in on a recorded request (JSON) and prints its verdict, fuel, time and memory.
    Run {
        /// The WebAssembly module.
        file: PathBuf,
        /// The recorded request (JSON).
        #[arg(long)]
        request: PathBuf,
        /// The configuration text that the module's `config` call returns.
        #[arg(long, default_value = "")]
        config: String,
    },
}

impl CommandLine {
    /// Carries out the subcommand; without one, runs the gateway until SIGTERM.
    pub fn run(self) -> ExitCode {
        let operator_file = self.operator.as_deref();
        match self.command {
            None => gateway_exit_code(gateway::run(operator_file)),
            Some(Command::Check) => check::check(operator_file),
            Some(Command::Fleet { command, options }) => exit_code(command.run(&options)),
            Some(Command::Policy { command, options }) => command.run(&options, operator_file),
            Some(Command::Plugin { command }) => exit_code(command.run()),
        }
    }
}

impl FleetCommand {
    fn run(self, options: &AdminOptions) -> Result<(), String> {
        let client = AdminClient::new(options.console)?;
        match self {
            FleetCommand::Members => fleet::members(client, options.json),
            FleetCommand::View => fleet::view(client, options.json),
            FleetCommand::Leave => fleet::leave(client),
        }
    }
}

impl PolicyCommand {
    fn run(self, options: &AdminOptions, operator_file: Option<&Path>) -> ExitCode {
        let client = || AdminClient::new(options.console);
        let json = options.json;
        exit_code(match self {
            PolicyCommand::Propose { file, wait } => match client() {
                Ok(client) => return policy::propose(client, &file, wait, json),
                Err(error) => Err(error),
            },
            PolicyCommand::Check { file } => policy::check(&file, operator_file),
            PolicyCommand::Init { name, replaces } => policy::init(&name, replaces, operator_file),
            PolicyCommand::Schema => {
                policy::schema();
                Ok(())
            }
            PolicyCommand::Show => client().and_then(policy::show),
            PolicyCommand::Status => client().and_then(|client| policy::status(client, json)),
            PolicyCommand::History => client().and_then(|client| policy::history(client, json)),
            PolicyCommand::Abort { number } => {
                client().and_then(|client| policy::abort(client, number))
            }
        })
    }
}

impl PluginCommand {
    fn run(self) -> Result<(), String> {
        match self {
            PluginCommand::Check { file, config } => plugin::check(&file, &config),
            PluginCommand::Run {
                file,
                request,
                config,
            } => plugin::run(&file, &request, &config),
        }
    }
}

/// Logs why the gateway ended, if not by SIGTERM, and returns the program's exit status.
fn gateway_exit_code(result: Result<(), GatewayError>) -> ExitCode {
    let code = match &result {
        Err(GatewayError::TakeoverRejected(_)) => ExitCode::from(TAKEOVER_REJECTED_EXIT_CODE),
        Err(GatewayError::Failed(_)) => ExitCode::FAILURE,
        Ok(()) => ExitCode::SUCCESS,
    };
    if let Err(error) = result {
        log_line!("frosthatch: {error}");
    }
    code
}

/// Logs the error, if there is one, and returns the program's exit status.
fn exit_code(result: Result<(), String>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            log_line!("frosthatch: {text}");
            ExitCode::FAILURE
        }
    }
}
