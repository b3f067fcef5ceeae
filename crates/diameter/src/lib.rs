//! Diameter (RFC 6733) with the credit-control application (RFC 8506), on both sides of the gateway.
//!
//! Without I/O: [`codec`] and [`dictionary`] read and write messages, [`peer`] is the state machine of a connection with
//! its [`watchdog`], [`credit`] interprets credit-control requests, and [`overload`] exchanges overload reports (RFC 7683).
//! With I/O: [`link`] drives one connection, [`front`] serves clients, [`servers`] connects to servers.

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
