//! Structured events, where the environment asks for them.
//!
//! `FROSTHATCH_LOG` names the least level that is written (`error`, `warn`, `info`, `debug`, `trace`; nothing without
//! it), `FROSTHATCH_LOG_FORMAT=json` one JSON object a line in place of text. Events go to standard error. Their names and
//! fields are in `docs/operators/events.md`.

use frosthatch_log::log_line;
use std::str::FromStr;
use tracing_subscriber::filter::LevelFilter;

const LEVEL: &str = "FROSTHATCH_LOG";
const FORMAT: &str = "FROSTHATCH_LOG_FORMAT";

/// Writes events from now on, if the environment asks for them; an unknown level is logged.
pub fn start() {
    let Ok(level) = std::env::var(LEVEL) else {
        return;
    };
    let Ok(max_level) = LevelFilter::from_str(&level) else {
        log_line!("{LEVEL}: {level:?} is no level: error, warn, info, debug, trace or off");
        return;
    };
    let events = tracing_subscriber::fmt()
        .with_max_level(max_level)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    // What cannot be written is lost, and must not end the process.
    let events = events.log_internal_errors(false);
    match std::env::var(FORMAT).as_deref() {
        Ok("json") => events.json().init(),
        _ => events.init(),
    }
}
