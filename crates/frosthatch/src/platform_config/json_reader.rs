//! Reads values of a JSON document and collects every mistake with its place.

use frosthatch_config_reader::ConfigError;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

/// Mistakes in the settings that are looked for at most.
const MAX_SETTINGS_ERRORS: usize = 100;
/// Characters of a value that an error shows.
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

    pub(super) fn is_without_errors(&self) -> bool {
        self.errors.is_empty()
    }

    pub(super) fn into_errors(self) -> Vec<ConfigError> {
        self.errors
    }

    /// Records a mistake; `hint` says what would be right.
    pub(super) fn report(&mut self, place: &str, what: impl Into<String>, hint: &str) {
        self.errors.push(ConfigError {
            file: self.file.clone(),
            location: place.to_string(),
            problem: what.into(),
            hint: hint.into(),
        });
    }

    /// Records that a value makes no sense at its place.
    pub(super) fn report_malformed(&mut self, place: &str, value: &Value, hint: &str) {
        let what = format!("configuration is malformed: {}", shortened(value));
        self.report(place, what, hint);
    }

    /// The value at a JSON pointer, as `parse` understands it; `None` with a mistake recorded if it is missing or malformed.
    pub(super) fn field<T>(
        &mut self,
        document: &Value,
        pointer: &str,
        hint: &str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let place = pointer.trim_start_matches('/').replace('/', ".");
        let Some(value) = document.pointer(pointer) else {
            self.report(&place, "configuration is malformed: it is missing", hint);
            return None;
        };
        let parsed = parse(value);
        if parsed.is_none() {
            self.report_malformed(&place, value, hint);
        }
        parsed
    }

    /// Deserializes settings; each part of a wrong type is recorded and left at its default.
    pub(super) fn deserialize_settings<T: DeserializeOwned + Default>(
        &mut self,
        mut settings: Value,
    ) -> T {
        for _ in 0..MAX_SETTINGS_ERRORS {
            let error = match serde_path_to_error::deserialize::<_, T>(&settings) {
                Ok(parsed) => return parsed,
                Err(error) => error,
            };
            let place = format!("settings.{}", error.path());
            let what = format!("configuration is malformed: {}", error.inner());
            self.report(&place, what, "correct its type");
            if !remove_at(&mut settings, error.path()) {
                break;
            }
        }
        T::default()
    }
}

fn shortened(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// Removes the value at a path; false if there is none.
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
