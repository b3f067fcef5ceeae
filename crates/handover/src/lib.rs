//! Hot restart: a new process takes over listeners and state from a running one, over a Unix socket.
//!
//! [`source`] is the state machine of the running process and [`target`] that of the new one; neither has I/O. [`driver`]
//! connects them to sockets, and [`message`] defines what the processes send to each other.

mod connection;
pub mod driver;
pub mod message;
pub mod source;
pub mod target;
