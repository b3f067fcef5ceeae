//! Lines of the gateway's log on standard error. A line that cannot be written is lost, and nothing else: the disk behind
//! it may be full, or whoever read it may have gone.

use std::fmt;
use std::io::{self, Write};

/// Writes a line to the log, as `format!` makes it.
#[macro_export]
macro_rules! log_line {
    ($($arg:tt)*) => {
        $crate::write_line(format_args!($($arg)*))
    };
}

/// Writes a line in one piece.
pub fn write_line(line: fmt::Arguments<'_>) {
    let mut text = line.to_string();
    text.push('\n');
    // Nobody can be told.
    let _ = io::stderr().lock().write_all(text.as_bytes());
}
