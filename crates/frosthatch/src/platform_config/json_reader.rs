//! Reads values from a JSON document and collects every mistake with its location.

use frosthatch_config_reader::ConfigError;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

/// Maximum number of mistakes reported in the settings.
const MAX_SETTINGS_ERRORS: usize = 100;
/// Maximum number of characters of a value that an error message shows.
const MAX_SHOWN_CHARS: usize = 60;

/// Collects mistakes while a file is read.
pub(super) struct JsonReader {
    file: String,
    errors: Vec<ConfigError>,
}

impl JsonReader {
    pub(super) fn new(file: &str) -> JsonReader {
        JsonReader {
            file: file.into(),
            errors: Vec::new(),
        }
    }

    pub(super) fn has_no_errors(&self) -> bool {
        self.errors.is_empty()
    }

    pub(super) fn into_errors(self) -> Vec<ConfigError> {
        self.errors
    }

    /// Records a mistake; `hint` says how to correct it.
    pub(super) fn report(&mut self, location: &str, problem: impl Into<String>, hint: &str) {
        self.errors.push(ConfigError {
            file: self.file.clone(),
            location: location.to_string(),
            problem: problem.into(),
            hint: hint.into(),
        });
    }

    /// Records that the value at `location` is malformed.
    pub(super) fn report_malformed(&mut self, location: &str, value: &Value, hint: &str) {
        let problem = format!("configuration is malformed: {}", truncated_json(value));
        self.report(location, problem, hint);
    }

    /// Reads the value at a JSON pointer with `parse`. If the value is missing or malformed, records a mistake and
    /// returns `None`.
    pub(super) fn field<T>(
        &mut self,
        document: &Value,
        pointer: &str,
        hint: &str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let location = pointer.trim_start_matches('/').replace('/', ".");
        let Some(value) = document.pointer(pointer) else {
            self.report(&location, "configuration is malformed: it is missing", hint);
            return None;
        };
        let parsed = parse(value);
        if parsed.is_none() {
            self.report_malformed(&location, value, hint);
        }
        parsed
    }

    /// Deserializes settings; records each value of a wrong type and uses its default.
    pub(super) fn deserialize_settings<T: DeserializeOwned + Default>(
        &mut self,
        mut settings: Value,
    ) -> T {
        for _ in 0..MAX_SETTINGS_ERRORS {
            let error = match serde_path_to_error::deserialize::<_, T>(&settings) {
                Ok(parsed) => return parsed,
                Err(error) => error,
            };
            let location = format!("settings.{}", error.path());
            let problem = format!("configuration is malformed: {}", error.inner());
            self.report(&location, problem, "correct its type");
            if !remove_at(&mut settings, error.path()) {
                break;
            }
        }
        T::default()
    }
}

/// Returns the value as JSON, cut off after [`MAX_SHOWN_CHARS`] characters.
fn truncated_json(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// Removes the value at a path; returns false if there is none.
fn remove_at(document: &mut Value, path: &Path) -> bool {
    let segments: Vec<&Segment> = path.iter().collect();
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let mut parent = document;
    for segment in parents {
        let child = match segment {
            Segment::Map { key } => parent.get_mut(key),
            Segment::Seq { index } => parent.get_mut(index),
            _ => None,
        };
        let Some(child) = child else {
            return false;
        };
        parent = child;
    }
    match (last, parent) {
        (Segment::Map { key }, Value::Object(map)) => map.remove(key).is_some(),
        (Segment::Seq { index }, Value::Array(list)) if *index < list.len() => {
            list.remove(*index);
            true
        }
        _ => false,
    }
}
