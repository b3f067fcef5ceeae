//! What all parts of the gateway share in their system calls on sockets.
//!
//! A call that a signal interrupts is repeated ([`uninterrupted`], [`Uninterrupted`]); a connection that could not be made
//! for a shortage on this machine is distinguished from one that its peer did not accept ([`connect`]); a listener waits
//! out a shortage at the start of the process ([`listen`]).

mod connect;
mod interrupted;
mod listen;

pub use connect::{connect, ConnectError};
pub use interrupted::{uninterrupted, Uninterrupted};
pub use listen::{bind_datagrams, listen, Sharing};
