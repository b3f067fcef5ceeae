//! The error type for configuration files.

/// An error in a configuration file, with its location and a hint.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {location}: {problem}; {hint}")]
pub struct ConfigError {
    /// Name of the file.
    pub file: String,
    /// Line and column of the error, or the path of keys that leads to it.
    pub location: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub hint: String,
}

/// Returns the texts of all errors as one text, separated by semicolons.
pub fn join_errors(errors: &[ConfigError]) -> String {
    let texts: Vec<String> = errors.iter().map(ConfigError::to_string).collect();
    texts.join("; ")
}
