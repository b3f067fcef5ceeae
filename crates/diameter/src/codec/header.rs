//! Header of a Diameter message (RFC 6733 section 3).

/// Length of a message header.
pub const HEADER_BYTES: usize = 20;

/// Command flags (RFC 6733 section 3).
pub mod flag {
    /// R: the message is a request, not an answer.
    pub const REQUEST: u8 = 0x80;
    /// P: the message may be proxied, relayed or redirected.
    pub const PROXIABLE: u8 = 0x40;
    /// E: the message is an answer that reports a protocol error.
    pub const ERROR: u8 = 0x20;
    /// T: the request is potentially a retransmission.
    pub const RETRANSMITTED: u8 = 0x10;
    /// Reserved bits, which must be zero.
    pub const RESERVED: u8 = 0x0f;
}

/// A message header without its version and length fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// Command flags, see [`flag`].
    pub flags: u8,
    /// Command code, see [`command`](crate::dictionary::command).
    pub command: u32,
    /// Application-Id, see [`application`](crate::dictionary::application).
    pub application: u32,
    /// Hop-by-Hop Identifier, which matches an answer to its request on one connection.
    pub hop_by_hop: u32,
    /// End-to-End Identifier, which identifies duplicates of a request together with the Origin-Host.
    pub end_to_end: u32,
}

impl Header {
    /// Returns whether any of the flags in `flag` is set.
    pub fn has_any_flag(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}
