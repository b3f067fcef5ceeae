//! Diameter (RFC 6733) with the credit-control application (RFC 8506).
//!
//! [`codec`] and [`dictionary`] are messages and AVPs; [`credit`] is credit control between clients and
//! the decisions; [`peer`] is one connection's state, [`watchdog`] a part of it,
//! [`overload`] what is reported of overload. None of
//! these does I/O.
#![expect(clippy::too_many_lines, missing_docs)]

pub mod codec;
pub mod credit;
pub mod dictionary;
pub mod front;
pub mod link;
pub mod overload;
pub mod peer;
pub mod servers;
pub mod watchdog;
