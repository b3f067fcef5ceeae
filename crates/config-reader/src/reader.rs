//! The configuration file that is read, and the errors found in it so far.

use crate::ConfigError;
use std::ops::Range;

/// Collects the errors in one configuration file.
pub struct ConfigReader<'a> {
    file: &'a str,
    text: &'a str,
    /// Errors found so far, in the order of their reports.
    pub errors: Vec<ConfigError>,
}

impl<'a> ConfigReader<'a> {
    /// Creates a reader for the file named `file` with the content `text`.
    pub fn new(file: &'a str, text: &'a str) -> ConfigReader<'a> {
        ConfigReader {
            file,
            text,
            errors: Vec::new(),
        }
    }

    /// Records an error at a byte span of the text. `hint` says how to correct it.
    pub fn report(
        &mut self,
        span: Range<usize>,
        problem: impl Into<String>,
        hint: impl Into<String>,
    ) {
        let preceding_text = self.text.get(..span.start).unwrap_or(self.text);
        let line = 1 + preceding_text.bytes().filter(|&byte| byte == b'\n').count();
        let last_line = preceding_text.rsplit('\n').next();
        let column = 1 + last_line.map_or(0, |text| text.chars().count());
        self.errors.push(ConfigError {
            file: self.file.to_string(),
            location: format!("line {line}, column {column}"),
            problem: problem.into(),
            hint: hint.into(),
        });
    }
}
