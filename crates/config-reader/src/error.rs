//! What is wrong in a file, where, and what would be right.

/// A mistake in a file that people write.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {location}: {problem}; {hint}")]
pub struct ConfigError {
    /// The file.
    pub file: String,
    /// Line and column, or a path of keys.
    pub location: String,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
    pub hint: String,
}

/// All errors as one text for people.
pub fn join_errors(errors: &[ConfigError]) -> String {
    let texts: Vec<String> = errors.iter().map(ConfigError::to_string).collect();
    texts.join("; ")
}
