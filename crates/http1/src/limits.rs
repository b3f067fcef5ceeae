//! Size limits of requests and responses.

/// Maximum size of the body of an ordinary message. A longer response is streamed, and the memory of a longer request
/// is reserved from a shared budget.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum size of any body, of a request or a response.
pub const MAX_LONG_BODY_BYTES: usize = 32 << 20;
/// Maximum size of a head, of a request or a response.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of headers in a head.
pub const MAX_HEADERS: usize = 64;
