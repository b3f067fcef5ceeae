//! Codec of the DNS messages that service discovery sends and receives.
//!
//! The `domain` library parses and encodes ordinary messages (RFC 1035, 2782, 6891). No library covers the message
//! format of DNS Stateful Operations (RFC 8490 section 5.4), which `dso` implements.

mod dso;
mod name;
mod record;
mod reply;
#[cfg(test)]
mod tests;

pub use dso::{
    encode_keepalive, encode_subscribe, parse_dso_message, DsoMessage, RecordChange, HEADER_BYTES,
};
pub use name::{parse_name, split_first_label, Name};
pub use record::{Record, RecordData, RecordType};
pub use reply::{encode_query, parse_reply, Reply, ReplyError, ResponseCode};
