//! A policy document: TOML, checked as a whole. Every mistake is reported with its line and column; a document with a mistake is no
//! policy.

mod parse;
mod types;

pub use crate::digest::{hex, sha256};
pub use types::{Class, Document, Plan, Plugin, Retries};

use crate::digest::parse_digest;
use crate::Policy;
use frosthatch_config_reader::ConfigError;

/// The longest document that is read.
pub const MAX_DOCUMENT_BYTES: usize = 64 << 10;

impl Document {
    /// Reads a document. `file` is the name under which mistakes are reported.
    ///
    /// # Errors
    /// All mistakes in it.
    pub fn read(file: &str, text: &str) -> Result<Document, Vec<ConfigError>> {
        parse::parse_document(file, text, MAX_DOCUMENT_BYTES)
    }

    /// The policy whose document this is; `text` is what the document was read from.
    pub fn policy(&self, text: &str) -> Policy {
        Policy {
            version: self.version,
            digest: sha256(text),
            parent: parse_digest(&self.parent).unwrap_or_default(),
        }
    }

    /// The JSON schema of a document.
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Document)).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
