//! The subcommands of the command line, one module for each, and the admin API client and table output that they
//! share.

pub mod check;
pub mod fleet;
pub mod plugin;
pub mod policy;

pub mod admin_client;
mod table;
