//! What is wrong in a file, where, and what would be right.

use std::fmt;

#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub file: String,
    /// A line, or a path of keys.
    pub place: String,
    pub what: String,
    /// What would be right.
    pub right: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}: {}; {}",
            self.file, self.place, self.what, self.right
        )
    }
}

/// All of them, as one text.
pub fn joined(mistakes: &[ConfigError]) -> String {
    mistakes
        .iter()
        .map(ConfigError::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}
