//! The gateway's program: the command line, then a subcommand or the gateway itself.

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
    logging::start();
    command_line.run()
}
