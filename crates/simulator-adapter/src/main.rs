//! Connects the traffic control of many gateways to a simulator. Reads a batch of messages from each line of standard input
//! and writes a reply to each as a line of standard output, both in JSON. The adapter translates messages; every traffic
//! decision is made in `frosthatch_traffic_control`.

mod error;
mod host;
mod wire;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = io::BufWriter::new(io::stdout().lock());
    match host::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("frosthatch-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
