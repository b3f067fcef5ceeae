//! What each descriptor of the process is, as far as the library saw it made.

use std::sync::atomic::{AtomicU8, Ordering::Relaxed};

#[derive(Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    Unknown = 0,
    /// A connection that this process made.
    Connected = 1,
    /// A connection that it accepted.
    Accepted = 2,
    /// A file that is open for writing.
    File = 3,
}

const MAX_DESCRIPTORS: usize = 1 << 16;
static KINDS: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(0) }; MAX_DESCRIPTORS];

pub fn set(fd: i32, kind: Kind) {
    if let Some(place) = usize::try_from(fd).ok().and_then(|fd| KINDS.get(fd)) {
        place.store(kind as u8, Relaxed);
    }
}

pub fn kind(fd: i32) -> Kind {
    match usize::try_from(fd)
        .ok()
        .and_then(|fd| KINDS.get(fd))
        .map_or(0, |k| k.load(Relaxed))
    {
        1 => Kind::Connected,
        2 => Kind::Accepted,
        3 => Kind::File,
        _ => Kind::Unknown,
    }
}
