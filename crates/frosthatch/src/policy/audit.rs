//! The audit log: one line for each admitted request. Each line is written whole and once, even if writes fail for
//! a while.

#[cfg(test)]
mod tests;

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// Maximum bytes of pending lines; further lines are dropped and counted.
const MAX_PENDING_BYTES: usize = 4 << 20;

/// A change between writes that succeed and writes that fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AuditTransition {
    /// Writes started to fail.
    Failing,
    /// All pending lines were written after writes had failed.
    Recovered {
        /// Number of lines dropped while writes failed.
        dropped_lines: u64,
    },
}

/// Appends lines to the audit file.
pub(super) struct Audit<W = File> {
    file: W,
    /// Bytes that are not written yet, including the rest of a partly written line.
    pending: Vec<u8>,
    is_failing: bool,
    dropped_lines: u64,
}

impl Audit {
    /// Opens the file at `path` for appending; creates it if it does not exist.
    ///
    /// # Errors
    /// Returns an error if the file cannot be opened.
    pub(super) fn open(path: &Path) -> io::Result<Audit> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Audit::new(file))
    }
}

impl<W: Write> Audit<W> {
    fn new(file: W) -> Audit<W> {
        Audit {
            file,
            pending: Vec::new(),
            is_failing: false,
            dropped_lines: 0,
        }
    }

    /// Appends a line. While writes fail, the line is only buffered, and [`Audit::flush`] retries the write.
    pub(super) fn append(&mut self, line: &str) -> Option<AuditTransition> {
        if self.pending.len() + line.len() < MAX_PENDING_BYTES {
            self.pending.extend_from_slice(line.as_bytes());
            self.pending.push(b'\n');
        } else {
            self.dropped_lines += 1;
        }
        if self.is_failing {
            None
        } else {
            self.flush()
        }
    }

    /// Writes as many pending bytes as the file accepts.
    pub(super) fn flush(&mut self) -> Option<AuditTransition> {
        let is_written = self.write_pending();
        if !is_written {
            let was_failing = std::mem::replace(&mut self.is_failing, true);
            return (!was_failing).then_some(AuditTransition::Failing);
        }
        let dropped_lines = std::mem::take(&mut self.dropped_lines);
        let was_failing = std::mem::take(&mut self.is_failing);
        was_failing.then_some(AuditTransition::Recovered { dropped_lines })
    }

    /// Writes pending bytes until a write fails; returns whether all are written.
    fn write_pending(&mut self) -> bool {
        let mut written = 0;
        let mut has_failed = false;
        while written < self.pending.len() && !has_failed {
            match self.file.write(&self.pending[written..]) {
                Ok(bytes @ 1..) => written += bytes,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => has_failed = true,
            }
        }
        self.pending.drain(..written);
        !has_failed
    }
}
