//! Writes the gateway's log to standard error. If a line cannot be written, because the disk behind standard error is full
//! or its reader is gone, the line is lost and the process continues.

use std::fmt;
use std::io::{self, Write};

/// Writes a line to the log, with arguments as for `format!`.
#[macro_export]
macro_rules! log_line {
    ($($arg:tt)*) => {
        $crate::write_line(format_args!($($arg)*))
    };
}

/// Writes a line to the log in one piece, so that concurrent lines do not mix.
pub fn write_line(line: fmt::Arguments<'_>) {
    let mut text = line.to_string();
    text.push('\n');
    // The failure cannot be reported: this is the log.
    let _ = io::stderr().lock().write_all(text.as_bytes());
}
