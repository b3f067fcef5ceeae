//! Policy documents, written in TOML. Parsing reports every mistake with its line and column, and a document with a
//! mistake is rejected as a whole.

mod parse;
mod types;

pub use crate::digest::{hex, sha256};
pub use types::{Class, Document, Plan, Plugin, Retries};

use crate::digest::parse_digest;
use crate::Policy;
use frosthatch_config_reader::ConfigError;

/// Maximum length of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 << 10;

impl Document {
    /// Parses a document. `file` is the file name in the reported errors.
    ///
    /// # Errors
    /// Returns all mistakes in the document.
    pub fn read(file: &str, text: &str) -> Result<Document, Vec<ConfigError>> {
        parse::parse_document(file, text, MAX_DOCUMENT_BYTES)
    }

    /// Returns the policy that this document describes; `text` is the text from which the document was parsed.
    pub fn policy(&self, text: &str) -> Policy {
        Policy {
            version: self.version,
            digest: sha256(text),
            parent: parse_digest(&self.parent).unwrap_or_default(),
        }
    }

    /// Returns the JSON schema of a policy document.
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Document)).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
