//! Hot restart: a new process takes over the listeners and the state of a running process through a Unix socket.
//!
//! [`source`] is the state machine of the running (old) process, [`target`] that of the new process; neither performs
//! I/O. [`driver`] connects them to sockets, [`message`] defines the messages between the processes, and [`rejection`] why
//! the old process does not hand over.

mod connection;
pub mod driver;
pub mod message;
pub mod rejection;
pub mod source;
pub mod target;
