//! The command line: its form, and which function carries out which subcommand.

use crate::commands::admin_client::AdminClient;
use crate::commands::{check, fleet, plugin, policy};
use crate::gateway;
use clap::{Args, Parser, Subcommand};
use frosthatch_log::log_line;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A gateway that meters customers' use of a fleet of servers and passes their requests on.
///
/// What the platform tells it stands in the JSON file that the variable NODE_CONFIG names.
#[derive(Parser)]
#[command(version)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
    /// The operator's own file (TOML): all that the platform does not tell. Without it nothing of that is on.
    #[arg(long, value_name = "FILE", global = true)]
    operator: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Reads both files, prints every mistake with its place and what would be right, and starts nothing.
    Check,
    /// Asks a running gateway about the fleet, by its console.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
        #[command(flatten)]
        options: AdminOptions,
    },
    /// Shows, checks and changes the policy that all gateways agree on, by a running gateway's console.
    Policy {
        #[command(subcommand)]
        command: PolicyCommand,
        #[command(flatten)]
        options: AdminOptions,
    },
    /// Tries a plug-in outside the gateway.
    Plugin {
        #[command(subcommand)]
        command: PluginCommand,
    },
}

#[derive(Args)]
struct AdminOptions {
    /// The console's address; else that of the file that NODE_CONFIG names.
    #[arg(long, value_name = "ADDRESS", global = true)]
    console: Option<SocketAddr>,
    /// As JSON.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// All members that it knows, this one included.
    Members,
    /// The digest of the ready members, and for how long it has not changed.
    View,
    /// It tells the others that it goes, and serves on without them.
    Leave,
}

#[derive(Subcommand)]
enum PolicyCommand {
    /// The document that is in force.
    Show,
    /// Reads a document and tells every mistake; with NODE_CONFIG set also what this gateway could not serve under.
    Check { file: PathBuf },
    /// Proposes a document. Ends with 0 if it is in force, 2 if it is nowhere, 3 if nobody can say yet: then ask `status`.
    Propose {
        file: PathBuf,
        /// How long to wait for the end, in seconds.
        #[arg(long, default_value_t = 20)]
        wait: u64,
    },
    /// Which policy is held where, and what became of the proposals of this gateway.
    Status,
    /// The policies that this gateway has held since it started.
    History,
    /// Calls a proposal off, while no keeper has it.
    Abort { number: u64 },
    /// Makes a new keeper's first state in the folder of the operator's file. Once, when the keeper is set up.
    Init {
        /// The keeper's name as a member.
        #[arg(long)]
        name: String,
        /// It takes the place of a keeper that is gone for good, or whose folder is lost.
        #[arg(long)]
        replaces: bool,
    },
    /// The form of a document, as JSON Schema.
    Schema,
}

#[derive(Subcommand)]
enum PluginCommand {
    /// Whether a module (or its text form, WAT) can be a plug-in: interface, imports, `init`.
    Check {
        file: PathBuf,
        /// What its `config` call gives it.
        #[arg(long, default_value = "")]
        config: String,
    },
    /// What it makes of a recorded request (JSON): verdict, fuel, time, memory.
    Run {
        file: PathBuf,
        #[arg(long)]
        request: PathBuf,
        #[arg(long, default_value = "")]
        config: String,
    },
}

impl CommandLine {
    /// Carries out the subcommand; without one the gateway serves until it is told to end.
    pub fn run(self) -> ExitCode {
        let operator_file = self.operator.as_deref();
        match self.command {
            None => exit_code(gateway::run(operator_file)),
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
                Err(why) => Err(why),
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

/// Logs an error, and the program's exit status after it.
fn exit_code(result: Result<(), String>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            log_line!("frosthatch: {text}");
            ExitCode::FAILURE
        }
    }
}
