//! The file that is read, and the mistakes found so far.

use crate::ConfigError;
use std::ops::Range;

/// Collects the mistakes in one file.
pub struct ConfigReader<'a> {
    file: &'a str,
    text: &'a str,
    /// The mistakes found so far, in their order.
    pub errors: Vec<ConfigError>,
}

impl<'a> ConfigReader<'a> {
    /// A reader of the file named `file`, which holds `text`.
    pub fn new(file: &'a str, text: &'a str) -> ConfigReader<'a> {
        ConfigReader {
            file,
            text,
            errors: Vec::new(),
        }
    }

    /// Records a mistake at a span of the text; `hint` says what would be right.
    pub fn report(
        &mut self,
        span: Range<usize>,
        problem: impl Into<String>,
        hint: impl Into<String>,
    ) {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        let line = 1 + before.bytes().filter(|&byte| byte == b'\n').count();
        let last_line = before.rsplit('\n').next();
        let column = 1 + last_line.map_or(0, |text| text.chars().count());
        self.errors.push(ConfigError {
            file: self.file.to_string(),
            location: format!("line {line}, column {column}"),
            problem: problem.into(),
            hint: hint.into(),
        });
    }
}
