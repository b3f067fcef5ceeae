//! Hosts the decisions of many gateways on the simulator's wire: a batch of messages a line on standard input, a reply a line
//! on standard output, both JSON. Nothing is decided here.

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
