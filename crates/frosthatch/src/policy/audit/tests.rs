use super::{Audit, AuditTransition, MAX_PENDING_BYTES};
use std::io::{self, Write};

/// A file whose writes take three bytes at a time; while it is full, writes alternate between one byte and an error.
#[derive(Default)]
struct UnreliableFile {
    written: Vec<u8>,
    is_full: bool,
    accepts_byte: bool,
}

impl Write for UnreliableFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.accepts_byte = !self.accepts_byte;
        if self.is_full && !self.accepts_byte {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let n = bytes.len().min(if self.is_full { 1 } else { 3 });
        self.written.extend_from_slice(&bytes[..n]);
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn each_line_is_written_whole_and_once_despite_failed_writes() {
    let mut audit = Audit::new(UnreliableFile::default());
    assert_eq!(audit.append("first"), None);
    audit.file.is_full = true;
    assert_eq!(audit.append("second"), Some(AuditTransition::Failing));
    assert_eq!(audit.append("third"), None);
    assert_eq!(audit.flush(), None);
    audit.file.is_full = false;
    assert_eq!(
        audit.flush(),
        Some(AuditTransition::Recovered { dropped_lines: 0 })
    );
    assert_eq!(audit.append("fourth"), None);
    assert_eq!(
        String::from_utf8_lossy(&audit.file.written),
        "first\nsecond\nthird\nfourth\n"
    );
}

#[test]
fn pending_lines_are_bounded_and_dropped_lines_are_counted() {
    let mut audit = Audit::new(UnreliableFile {
        is_full: true,
        ..UnreliableFile::default()
    });
    let line = "x".repeat(MAX_PENDING_BYTES / 3);
    for _ in 0..4 {
        audit.append(&line);
    }
    audit.file.is_full = false;
    assert_eq!(
        audit.flush(),
        Some(AuditTransition::Recovered { dropped_lines: 2 })
    );
}
