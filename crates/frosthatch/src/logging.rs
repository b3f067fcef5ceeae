//! Writes structured events, if the environment enables them.
//!
//! `FROSTHATCH_LOG` names the most verbose level that is written (`error`, `warn`, `info`, `debug` or `trace`);
//! without it no events are written. `FROSTHATCH_LOG_FORMAT=json` selects one JSON object per line instead of text.
//! Events go to standard error. Their names and fields are listed in `docs/operators/events.md`.

use frosthatch_log::log_line;
use std::str::FromStr;
use tracing_subscriber::filter::LevelFilter;

/// Environment variable that names the level.
const LEVEL_VARIABLE: &str = "FROSTHATCH_LOG";
/// Environment variable that names the format.
const FORMAT_VARIABLE: &str = "FROSTHATCH_LOG_FORMAT";

/// Installs the writer of events, if the environment enables it; logs a level that is unknown.
pub fn init() {
    let Ok(level) = std::env::var(LEVEL_VARIABLE) else {
        return;
    };
    let Ok(max_level) = LevelFilter::from_str(&level) else {
        log_line!("{LEVEL_VARIABLE}: unknown level {level:?}; expected error, warn, info, debug, trace or off");
        return;
    };
    let events = tracing_subscriber::fmt()
        .with_max_level(max_level)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    // An event that cannot be written is dropped; the failure must not end the process.
    let events = events.log_internal_errors(false);
    match std::env::var(FORMAT_VARIABLE).as_deref() {
        Ok("json") => events.json().init(),
        _ => events.init(),
    }
}
