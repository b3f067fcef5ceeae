//! The subcommands of the command line, a module each.

pub mod check;
pub mod fleet;
pub mod plugin;
pub mod policy;

pub mod admin_client;
mod table;
