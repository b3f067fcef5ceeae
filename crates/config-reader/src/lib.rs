//! Reads TOML configuration files that people write. Instead of stopping at the first error, it reports all errors of
//! a file, each with its location and a hint how to correct it.

mod error;
mod reader;
mod table;
mod values;

pub use error::{join_errors, ConfigError};
pub use reader::ConfigReader;
pub use table::TableReader;
pub use values::{parse_integer, parse_number};
