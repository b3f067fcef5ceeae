//! Endpoint discovery with unicast DNS-SD (RFC 6763): PTR records name the instances of a service, SRV and TXT records
//! describe each instance, A and AAAA records give its address.
//!
//! [`browser`] decides which queries are sent, what a reply changes and whether it is trusted; [`push`] holds the
//! state of a session of DNS Push Notifications (RFC 8765). Neither performs I/O. `driver` runs the sockets and
//! timers, and [`wire`] is the codec.
//!
//! `docs/dns-sd.md` compares the designs that were considered; `docs/operators/dns-sd.md` describes the behavior for
//! operators.

pub mod browser;
mod config;
mod driver;
pub mod instance_records;
pub mod push;
mod trust_anchor;
pub mod wire;

pub use config::{DnsSdConfig, PushConfig, MAX_RESOLVERS, MAX_SERVICES};
pub(crate) use driver::follow;
pub use trust_anchor::read_trust_anchor;
