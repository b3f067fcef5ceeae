//! The list agent's client: the JSON form of its endpoint list, and the long poll that follows it.

mod client;
mod server_list;
mod watch;

pub use server_list::{unreadable, ServerList};
pub(crate) use watch::follow;
