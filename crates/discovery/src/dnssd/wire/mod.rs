//! Codec of the DNS messages that service discovery exchanges.
//!
//! Ordinary messages (RFC 1035, 2782, 6891) are read and written by the `domain` library. No library covers the frames
//! of DNS Stateful Operations (RFC 8490 section 5.4), so these are read and written here.

mod dso;
mod name;
mod record;
mod reply;
#[cfg(test)]
mod tests;

pub use dso::{keepalive, stateful, subscribe, Change, Stateful, HEADER};
pub use name::{label_text, name, split, Name};
pub use record::{Data, Kind, Record};
pub use reply::{query, reply, Code, Reply, Unread};
