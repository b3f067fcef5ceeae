//! Reads TOML files that people write: every mistake is reported at once, with its place and what would be right.

mod error;
mod reader;
mod table;
mod values;

pub use error::{join_errors, ConfigError};
pub use reader::ConfigReader;
pub use table::TableReader;
pub use values::{integer, number_value};
