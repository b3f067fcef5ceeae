//! The audit: one line for each admitted request, appended whole and once, also where the disk fails for a while.

#[cfg(test)]
mod tests;

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// Lines that wait for the disk hold at most this; further ones are dropped and counted.
const MAX_PENDING_BYTES: usize = 4 << 20;

/// A change of whether the audit can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AuditTransition {
    /// Writes fail from now on.
    Failing,
    /// All pending lines are written.
    Recovered {
        /// Lines dropped meanwhile.
        dropped_lines: u64,
    },
}

/// Appends lines to a file.
pub(super) struct Audit<W = File> {
    file: W,
    /// Not written yet; of a line that is written in part the rest stands here.
    pending: Vec<u8>,
    is_failing: bool,
    dropped_lines: u64,
}

impl Audit {
    /// Appends to the file at `path`, which is created if it is not there.
    ///
    /// # Errors
    /// It cannot be opened.
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

    /// Appends a line. While writes fail it only waits: they are retried by [`Audit::flush`].
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

    /// Writes what is pending, as far as the disk takes it.
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

    /// Whether all that was pending is written.
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
