//! Reading files that people write: every mistake is told at once, with its place and what would be right.
#![expect(missing_docs)]

mod error;
mod section;

pub use error::{joined, ConfigError};
pub use section::{real, whole, ConfigReader, TableReader};
