//! Records the kind of each file descriptor that the process opened through an intercepted call.

use std::sync::atomic::{AtomicU8, Ordering::Relaxed};

/// The kind of a file descriptor, which determines the faults that apply to it.
#[derive(Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum DescriptorKind {
    /// A closed descriptor, or one of a kind not listed below; no fault applies to its reads and writes.
    Unknown = 0,
    /// A connection that this process made.
    Connected = 1,
    /// A connection that this process accepted.
    Accepted = 2,
    /// A file that is open for writing.
    File = 3,
}

/// Descriptors from this number on are treated as `Unknown`.
const MAX_DESCRIPTORS: usize = 1 << 16;
static KINDS: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(0) }; MAX_DESCRIPTORS];

/// Records the kind of a descriptor.
pub fn set_kind(fd: i32, kind: DescriptorKind) {
    if let Some(slot) = usize::try_from(fd).ok().and_then(|fd| KINDS.get(fd)) {
        slot.store(kind as u8, Relaxed);
    }
}

/// Returns the recorded kind of a descriptor.
pub fn descriptor_kind(fd: i32) -> DescriptorKind {
    match usize::try_from(fd)
        .ok()
        .and_then(|fd| KINDS.get(fd))
        .map_or(0, |k| k.load(Relaxed))
    {
        1 => DescriptorKind::Connected,
        2 => DescriptorKind::Accepted,
        3 => DescriptorKind::File,
        _ => DescriptorKind::Unknown,
    }
}
