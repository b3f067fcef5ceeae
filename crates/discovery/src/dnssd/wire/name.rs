//! Domain names in canonical text form.

use domain::base::name::{FromStrError, Label, Name as WireName, ToLabelIter};
use std::fmt::Write;
use std::str::FromStr;
use std::sync::Arc;

/// A domain name in canonical form: lower case, with the escapes `\.`, `\\` and `\DDD` of RFC 1035 section 5.1 (a
/// space is `\032`), without a trailing dot. Names that are equal in DNS have equal canonical forms.
pub type Name = Arc<str>;

/// Parses a name in presentation form and returns its canonical form.
///
/// # Errors
/// Returns an error if the text is not a valid domain name.
pub fn parse_name(text: &str) -> Result<Name, FromStrError> {
    let name = WireName::<Vec<u8>>::from_str(text)?;
    Ok(canonical_name(name.iter_labels()))
}

/// Splits a canonical name into its first label and the rest; `None` if it has only one label.
pub fn split_first_label(name: &str) -> Option<(&str, &str)> {
    let bytes = name.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if bytes.get(at + 1).is_some_and(u8::is_ascii_digit) => at += 4,
            b'\\' => at += 2,
            b'.' => return Some((&name[..at], &name[at + 1..])),
            _ => at += 1,
        }
    }
    None
}

/// Returns the canonical form of the name with these labels.
pub(super) fn canonical_name<'a>(labels: impl Iterator<Item = &'a Label>) -> Name {
    let labels: Vec<String> = labels
        .filter(|label| !label.is_root())
        .map(|label| escape_label(label.as_slice()))
        .collect();
    labels.join(".").into()
}

/// Returns the canonical form of one label.
fn escape_label(label: &[u8]) -> String {
    let mut text = String::with_capacity(label.len());
    for byte in label {
        match byte.to_ascii_lowercase() {
            special @ (b'.' | b'\\') => text.extend(['\\', special as char]),
            plain if plain.is_ascii_graphic() => text.push(plain as char),
            other => drop(write!(text, "\\{other:03}")),
        }
    }
    text
}
