//! Encodes and decodes Diameter messages and AVPs (RFC 6733 sections 3 and 4).
//!
//! A length field is used only after the bytes that it covers have arrived, and no allocation is sized by one. Unknown
//! AVPs are kept unchanged and in order.

mod avp;
mod big_endian;
mod fault;
mod frame;
mod header;
mod message;
mod read_avp;
mod validation;

pub use avp::{find, Avp};
pub use fault::{DecodeError, Fault};
pub use frame::{frame, MAX_MESSAGE_BYTES};
pub use header::{flag, Header, HEADER_BYTES};
pub use message::Message;
