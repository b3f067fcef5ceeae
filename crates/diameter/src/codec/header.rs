//! The header of a message (RFC 6733 section 3).

/// Length of a message's header.
pub const HEADER_BYTES: usize = 20;

/// The command flags (RFC 6733 section 3).
pub mod flag {
    /// R: a request, not an answer.
    pub const REQUEST: u8 = 0x80;
    /// P: may be proxied, relayed or redirected.
    pub const PROXIABLE: u8 = 0x40;
    /// E: an answer with a protocol error.
    pub const ERROR: u8 = 0x20;
    /// T: potentially retransmitted.
    pub const RETRANSMITTED: u8 = 0x10;
    /// Bits without a meaning; they have to be zero.
    pub const RESERVED: u8 = 0x0f;
}

/// A message's header without version and length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// Command flags, see [`flag`].
    pub flags: u8,
    /// Command code, see [`command`](crate::dictionary::command).
    pub command: u32,
    /// Application-Id, see [`application`](crate::dictionary::application).
    pub application: u32,
    /// Matches an answer with its request on one connection.
    pub hop_by_hop: u32,
    /// With the Origin-Host, identifies duplicates of a request.
    pub end_to_end: u32,
}

impl Header {
    /// Whether any of these flags is set.
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}
