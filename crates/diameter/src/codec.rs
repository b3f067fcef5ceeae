//! Messages and AVPs on the wire (RFC 6733 sections 3 and 4).
//!
//! No length field is trusted before its bytes have arrived, and none determines an allocation. Unknown AVPs are kept
//! unchanged and in order.

mod avp;
mod big_endian;
mod fault;
mod frame;
mod header;
mod message;
mod read_avp;
mod validation;

pub use avp::{find, Avp};
pub use fault::{Fault, Unreadable};
pub use frame::{frame, MAX_MESSAGE_BYTES};
pub use header::{flag, Header, HEADER_BYTES};
pub use message::Message;
