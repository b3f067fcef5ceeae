//! Domain names in canonical text form.

use domain::base::name::{FromStrError, Label, Name as Wire, ToLabelIter};
use std::fmt::Write;
use std::str::FromStr;
use std::sync::Arc;

/// A domain name in its one canonical form: lower case, `\.` and `\\` and `\DDD` as in RFC 1035 section 5.1 (a space is
/// `\032`), no dot at the end. Names that are the same in DNS are the same text.
pub type Name = Arc<str>;

/// The canonical form of one label.
pub fn label_text(label: &[u8]) -> String {
    let mut text = String::with_capacity(label.len());
    for b in label {
        match b.to_ascii_lowercase() {
            b @ (b'.' | b'\\') => text.extend(['\\', b as char]),
            b if b.is_ascii_graphic() => text.push(b as char),
            b => drop(write!(text, "\\{b:03}")),
        }
    }
    text
}

pub(super) fn name_text<'a>(labels: impl Iterator<Item = &'a Label>) -> Name {
    let labels: Vec<String> = labels
        .filter(|l| !l.is_root())
        .map(|l| label_text(l.as_slice()))
        .collect();
    labels.join(".").into()
}

/// A name as somebody wrote it, in its canonical form.
pub fn name(text: &str) -> Result<Name, FromStrError> {
    Ok(name_text(Wire::<Vec<u8>>::from_str(text)?.iter_labels()))
}

/// The first label of a name and what stands behind it, both canonical.
pub fn split(name: &str) -> Option<(&str, &str)> {
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
