//! Encodes and decodes Diameter messages and AVPs (RFC 6733 sections 3 and 4).
//!
//! Length fields are checked against their limits and against the received bytes before data is read by them, and no
//! length field determines the size of an allocation. Unknown AVPs are kept unchanged and in order.

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
pub use frame::{first_message_length, MAX_MESSAGE_BYTES};
pub use header::{flag, Header, HEADER_BYTES};
pub use message::Message;
