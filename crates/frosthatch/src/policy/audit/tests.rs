use super::{Audit, AuditTransition, MAX_PENDING_BYTES};
use std::io::{self, Write};

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
    let mut audit = Audit::new(Disk::default());
    assert_eq!(audit.append("first"), None);
    audit.file.full = true;
    assert_eq!(audit.append("second"), Some(AuditTransition::Failing));
    assert_eq!(audit.append("third"), None);
    assert_eq!(audit.flush(), None);
    audit.file.full = false;
    assert_eq!(
        audit.flush(),
        Some(AuditTransition::Recovered { dropped_lines: 0 })
    );
    assert_eq!(audit.append("fourth"), None);
    assert_eq!(
        String::from_utf8_lossy(&audit.file.taken),
        "first\nsecond\nthird\nfourth\n"
    );
}

#[test]
fn pending_lines_are_bounded_and_dropped_ones_counted() {
    let mut audit = Audit::new(Disk {
        full: true,
        ..Disk::default()
    });
    let line = "x".repeat(MAX_PENDING_BYTES / 3);
    for _ in 0..4 {
        audit.append(&line);
    }
    audit.file.full = false;
    assert_eq!(
        audit.flush(),
        Some(AuditTransition::Recovered { dropped_lines: 2 })
    );
}
