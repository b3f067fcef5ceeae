//! The gateway's program: command line, then either a check of the files or the gateway itself.
#![expect(
    clippy::items_after_statements,
    clippy::manual_let_else,
    clippy::match_bool,
    clippy::semicolon_if_nothing_returned,
    clippy::single_match_else,
    clippy::too_many_lines
)]

mod audit;
mod choices;
mod console;
mod diameter;
mod fleet;
mod handover;
mod inquiry;
mod logging;
mod node;
mod operator;
mod plugin;
mod policy;
mod serve;
mod tls;

use clap::{Parser, Subcommand};
use frosthatch_config_reader::{joined, ConfigError};
use frosthatch_log::log_line;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A gateway that meters customers' use of a fleet of servers and passes their requests on.
///
/// What the platform tells it stands in the JSON file that the variable NODE_CONFIG names.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Cmd>,
    /// The operator's own file (TOML): all that the platform does not tell. Without it nothing of that is on.
    #[arg(long, value_name = "FILE", global = true)]
    operator: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Cmd {
    /// Reads both files, prints every mistake with its place and what would be right, and starts nothing.
    Check,
    /// Asks a running gateway about the fleet, by its console.
    Fleet {
        #[command(subcommand)]
        what: Asked,
        /// The console's address; else that of the file that NODE_CONFIG names.
        #[arg(long, value_name = "ADDRESS", global = true)]
        console: Option<std::net::SocketAddr>,
        /// As JSON.
        #[arg(long, global = true)]
        json: bool,
    },
    /// Shows, checks and changes the policy that all gateways agree on, by a running gateway's console.
    Policy {
        #[command(subcommand)]
        what: Agree,
        /// The console's address; else that of the file that NODE_CONFIG names.
        #[arg(long, value_name = "ADDRESS", global = true)]
        console: Option<std::net::SocketAddr>,
        /// As JSON.
        #[arg(long, global = true)]
        json: bool,
    },
    /// Tries a plug-in outside the gateway.
    Plugin {
        #[command(subcommand)]
        what: Try,
    },
}

#[derive(Subcommand)]
enum Asked {
    /// All members that it knows, this one included.
    Members,
    /// The digest of the ready members, and for how long it has not changed.
    View,
    /// It tells the others that it goes, and serves on without them.
    Leave,
}

#[derive(Subcommand)]
enum Agree {
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
enum Try {
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

fn main() -> ExitCode {
    let cli = Cli::parse();
    logging::start();
    let operator = cli.operator.as_deref();
    match cli.command {
        Some(Cmd::Check) => check(operator),
        Some(Cmd::Plugin {
            what: Try::Check { file, config },
        }) => ended(plugin::check(&file, &config)),
        Some(Cmd::Plugin {
            what:
                Try::Run {
                    file,
                    request,
                    config,
                },
        }) => ended(plugin::run(&file, &request, &config)),
        Some(Cmd::Policy {
            what: Agree::Check { file },
            ..
        }) => ended(inquiry::check_policy(&file, operator)),
        Some(Cmd::Policy {
            what: Agree::Init { name, replaces },
            ..
        }) => ended(inquiry::init_keeper(&name, replaces, operator)),
        Some(Cmd::Policy {
            what: Agree::Schema,
            ..
        }) => {
            println!(
                "{}",
                frosthatch_policy_consensus::document::Document::schema()
            );
            ExitCode::SUCCESS
        }
        Some(Cmd::Policy {
            what,
            console,
            json,
        }) => match console.map_or_else(console_of_file, Ok) {
            Err(why) => ended(Err(why)),
            Ok(at) => match what {
                Agree::Propose { file, wait } => inquiry::propose(at, &file, wait, json),
                Agree::Show => ended(inquiry::document(at)),
                Agree::Status => ended(inquiry::status(at, json)),
                Agree::History => ended(inquiry::history(at, json)),
                Agree::Abort { number } => ended(inquiry::abort(at, number)),
                Agree::Check { .. } | Agree::Init { .. } | Agree::Schema => ExitCode::SUCCESS,
            },
        },
        Some(Cmd::Fleet {
            what,
            console,
            json,
        }) => ended(
            console
                .map_or_else(console_of_file, Ok)
                .and_then(|at| match what {
                    Asked::Members => inquiry::members(at, json),
                    Asked::View => inquiry::view(at, json),
                    Asked::Leave => inquiry::leave(at),
                }),
        ),
        None => ended(serve::run(operator)),
    }
}

fn console_of_file() -> Result<std::net::SocketAddr, String> {
    node::Config::from_env()
        .map_err(|e| joined(&e))?
        .console
        .ok_or("it names no console".to_string())
}

fn ended(how: Result<(), String>) -> ExitCode {
    match how {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            log_line!("frosthatch: {text}");
            ExitCode::FAILURE
        }
    }
}

fn check(operator: Option<&Path>) -> ExitCode {
    let (node, own) = (node::Config::from_env(), operator::read(operator));
    let mut mistakes = Vec::new();
    // What the one file names must be in the other.
    if let (Ok(node), Ok(own), Some(path)) = (&node, &own, operator) {
        let file = path.display().to_string();
        let mut wrong = |place: &str, found: Result<(), String>, right: &str| {
            let (file, place, right) = (file.clone(), place.into(), right.into());
            mistakes.extend(found.err().map(|what| ConfigError {
                file,
                place,
                what,
                right,
            }));
        };
        if let Some(d) = &own.diameter {
            wrong(
                "diameter",
                diameter::check(d, &node.settings),
                "name classes and plans of the settings",
            );
        }
        if let Some(f) = &own.fleet {
            wrong(
                "peers",
                fleet::check(f, &node.settings),
                "name each gateway once, by its number",
            );
        }
    }
    mistakes.extend(match node {
        Ok(node) => node.oddities,
        Err(e) => e,
    });
    mistakes.extend(own.err().unwrap_or_default());
    mistakes.iter().for_each(|m| println!("{m}"));
    match mistakes.len() {
        0 => {
            println!("no mistakes");
            ExitCode::SUCCESS
        }
        n => {
            println!("{n} mistake{}", if n == 1 { "" } else { "s" });
            ExitCode::FAILURE
        }
    }
}
