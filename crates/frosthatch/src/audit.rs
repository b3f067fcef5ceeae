//! The record of requests that were let in: lines that are written whole and once, also where the disk takes none for a
//! while.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// Lines that wait for the disk take so many bytes at most; any beyond are counted and left out.
const MOST_WAITING: usize = 4 << 20;

/// What became of a write, where that changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing can be written for now.
    Fails,
    /// All that waited is written; so many lines were left out meanwhile.
    WritesAgain { left_out: u64 },
}

pub struct Audit<W = File> {
    file: W,
    /// Not written yet; a line that is written in part stands here with its rest.
    waiting: Vec<u8>,
    failing: bool,
    left_out: u64,
}

impl Audit {
    /// Adds to the file at this path, which is made if it is not there.
    ///
    /// # Errors
    /// It cannot be opened.
    pub fn open(path: &Path) -> io::Result<Audit> {
        Ok(Audit::to(
            File::options().create(true).append(true).open(path)?,
        ))
    }
}

impl<W: Write> Audit<W> {
    pub fn to(file: W) -> Audit<W> {
        Audit {
            file,
            waiting: Vec::new(),
            failing: false,
            left_out: 0,
        }
    }

    /// Adds a line.
    pub fn note(&mut self, line: &str) -> Option<Change> {
        if self.waiting.len() + line.len() < MOST_WAITING {
            self.waiting.extend_from_slice(line.as_bytes());
            self.waiting.push(b'\n');
        } else {
            self.left_out += 1;
        }
        // While it fails it is tried again by time, not with each line.
        if self.failing {
            None
        } else {
            self.write()
        }
    }

    /// Writes what waits, as far as the disk takes it.
    pub fn write(&mut self) -> Option<Change> {
        let mut written = 0;
        let well = loop {
            if written == self.waiting.len() {
                break true;
            }
            match self.file.write(&self.waiting[written..]) {
                Ok(n @ 1..) => written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => break false,
            }
        };
        self.waiting.drain(..written);
        if !well {
            let failed_before = std::mem::replace(&mut self.failing, true);
            return (!failed_before).then_some(Change::Fails);
        }
        let left_out = std::mem::take(&mut self.left_out);
        std::mem::take(&mut self.failing).then_some(Change::WritesAgain { left_out })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A disk that takes three bytes at a time while it is well, and fails after one while it is not.
    #[derive(Default)]
    struct Disk {
        taken: Vec<u8>,
        full: bool,
        begun: bool,
    }

    impl Write for Disk {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.begun = !self.begun;
            if self.full && !self.begun {
                return Err(io::ErrorKind::StorageFull.into());
            }
            let n = bytes.len().min(if self.full { 1 } else { 3 });
            self.taken.extend_from_slice(&bytes[..n]);
            Ok(n)
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn each_line_is_written_whole_and_once_whatever_the_disk_did() {
        let mut audit = Audit::to(Disk::default());
        assert_eq!(audit.note("first"), None);
        audit.file.full = true;
        assert_eq!(audit.note("second"), Some(Change::Fails));
        assert_eq!(audit.note("third"), None);
        assert_eq!(audit.write(), None);
        audit.file.full = false;
        assert_eq!(audit.write(), Some(Change::WritesAgain { left_out: 0 }));
        assert_eq!(audit.note("fourth"), None);
        assert_eq!(
            String::from_utf8_lossy(&audit.file.taken),
            "first\nsecond\nthird\nfourth\n"
        );
    }

    #[test]
    fn what_waits_is_bounded_and_what_is_left_out_is_told() {
        let mut audit = Audit::to(Disk {
            full: true,
            ..Disk::default()
        });
        let line = "x".repeat(MOST_WAITING / 3);
        for _ in 0..4 {
            audit.note(&line);
        }
        audit.file.full = false;
        assert_eq!(audit.write(), Some(Change::WritesAgain { left_out: 2 }));
    }
}
