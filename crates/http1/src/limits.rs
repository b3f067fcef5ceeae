//! Bounds on the messages of both sides.

/// Largest body of an ordinary message. A longer one is streamed, and its memory comes out of a shared budget.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Largest body that is accepted at all, in either direction.
pub const MAX_LONG_BODY_BYTES: usize = 32 << 20;
/// Longest head, in either direction.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Most headers in a head.
pub const MAX_HEADERS: usize = 64;
