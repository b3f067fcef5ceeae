//! The `frosthatch` program: parses the command line, then runs a subcommand or the gateway.

mod admin;
mod command_line;
mod commands;
mod diameter;
mod gateway;
mod hot_restart;
mod logging;
mod membership;
mod operator_config;
mod outlier_gossip;
mod platform_config;
mod policy;
mod tls;

use clap::Parser;
use command_line::CommandLine;
use std::process::ExitCode;

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    logging::init();
    command_line.run()
}
