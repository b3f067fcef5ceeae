//! Error handling for system calls on sockets, shared by all parts of the gateway.
//!
//! [`uninterrupted`] and [`Uninterrupted`] repeat calls that a signal interrupted. [`connect`](fn@connect) distinguishes local errors,
//! such as a lack of descriptors, from errors of the peer. [`listen`](fn@listen) and [`bind_datagrams`] retry transient errors while
//! the process starts.

mod connect;
mod interrupted;
mod listen;

pub use connect::{connect, ConnectError};
pub use interrupted::{uninterrupted, Uninterrupted};
pub use listen::{bind_datagrams, listen, PortSharing};
