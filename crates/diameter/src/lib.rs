//! Diameter (RFC 6733) with the credit-control application (RFC 8506), on both sides of the gateway.
//!
//! These modules do no I/O: [`codec`] and [`dictionary`] encode and decode messages, [`peer`] is the state machine of a
//! connection with its [`watchdog`], [`credit`] validates credit-control requests and tracks their sessions, and
//! [`overload`] exchanges overload reports (RFC 7683). These modules do I/O: [`link`] drives one connection, [`front`]
//! serves clients, [`servers`] connects to servers.

pub mod codec;
pub mod credit;
pub mod dictionary;
pub mod front;
mod lcg;
pub mod link;
pub mod overload;
pub mod peer;
pub mod servers;
pub mod watchdog;
