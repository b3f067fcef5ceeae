//! What all parts of the gateway share in their system calls on sockets.
//!
//! A call that a signal interrupts is done again ([`uninterrupted`], [`Uninterrupted`]); a connection that could not be
//! made for want of something on this machine is told from one that its peer did not take ([`connect`]); a listener
//! waits out a shortage at the start of the process ([`listen`]).
#![expect(missing_docs)]

mod connect;
mod interrupted;
mod listen;

pub use connect::{connect, ConnectError};
pub use interrupted::{uninterrupted, Uninterrupted};
pub use listen::{bind_datagrams, listen, Sharing};
