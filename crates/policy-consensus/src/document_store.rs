//! Policy documents by their digest. They are transferred between members in parts that fit a datagram; a receiver requests parts
//! until it has all of them.

use crate::digest::sha256;
use crate::document::MAX_DOCUMENT_BYTES;
use crate::Digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Length of each part but the last.
pub const PART_BYTES: usize = 800;
/// Parts that are requested, and sent, at once.
pub const MAX_PARTS_PER_REQUEST: usize = 8;
/// Complete documents that are stored.
const MAX_DOCUMENTS: usize = 64;
/// Documents of which only some parts are here.
const MAX_PARTIAL_DOCUMENTS: usize = 8;

/// A part of a document. The order of fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// The document's digest.
    pub digest: Digest,
    /// Where the part begins, in bytes.
    pub offset: u32,
    /// Length of the document.
    pub total_bytes: u32,
    /// The part itself.
    pub bytes: Vec<u8>,
}

impl DocumentPart {
    /// Whether a document of this length has a part of this length at this offset.
    fn is_well_formed(&self) -> bool {
        let offset = self.offset as usize;
        let total_bytes = self.total_bytes as usize;
        offset.is_multiple_of(PART_BYTES)
            && total_bytes <= MAX_DOCUMENT_BYTES
            && offset < total_bytes
            && self.bytes.len() == PART_BYTES.min(total_bytes - offset)
    }
}

/// A document of which some parts are missing.
#[derive(Default)]
struct PartialDocument {
    /// By their offset in bytes.
    parts: BTreeMap<u32, Vec<u8>>,
    /// Length of the whole document; 0 until the first part is here.
    total_bytes: usize,
    started_at_use: u64,
}

struct StoredDocument {
    last_use: u64,
    text: String,
}

/// The documents that a member has, complete or in part.
#[derive(Default)]
pub struct DocumentStore {
    complete: BTreeMap<Digest, StoredDocument>,
    partial: BTreeMap<Digest, PartialDocument>,
    /// Counts uses; the document that was not used for the longest time is evicted first.
    uses: u64,
}

impl DocumentStore {
    /// The complete document with this digest.
    pub fn get(&mut self, digest: &Digest) -> Option<&str> {
        self.uses += 1;
        let document = self.complete.get_mut(digest)?;
        document.last_use = self.uses;
        Some(&document.text)
    }

    /// Whether the complete document is here. The zero digest is that of version 0, which has no document to wait for.
    pub fn contains(&self, digest: &Digest) -> bool {
        *digest == [0; 32] || self.complete.contains_key(digest)
    }

    /// Stores a complete document and returns its digest; evicts others beyond the limit.
    pub fn insert(&mut self, text: &str) -> Digest {
        let digest = sha256(text);
        self.uses += 1;
        let document = StoredDocument {
            last_use: self.uses,
            text: text.to_string(),
        };
        self.complete.insert(digest, document);
        self.partial.remove(&digest);
        while self.complete.len() > MAX_DOCUMENTS {
            remove_min_by(&mut self.complete, |document| document.last_use);
        }
        digest
    }

    /// The offsets of the missing parts that are to be requested next; none if the document is complete.
    pub fn missing_offsets(&mut self, digest: &Digest) -> Vec<u32> {
        if self.contains(digest) {
            return Vec::new();
        }
        self.uses += 1;
        let is_known = self.partial.contains_key(digest);
        if !is_known && self.partial.len() >= MAX_PARTIAL_DOCUMENTS {
            remove_min_by(&mut self.partial, |partial| partial.started_at_use);
        }
        let partial = self.partial.entry(*digest).or_insert(PartialDocument {
            started_at_use: self.uses,
            ..PartialDocument::default()
        });
        // How long the document is shows in any part of it, so the first one is requested alone.
        let total_bytes = if partial.parts.is_empty() {
            1
        } else {
            partial.total_bytes
        };
        let offsets = (0..total_bytes.div_ceil(PART_BYTES)).map(|n| (n * PART_BYTES) as u32);
        offsets
            .filter(|offset| !partial.parts.contains_key(offset))
            .take(MAX_PARTS_PER_REQUEST)
            .collect()
    }

    /// The part of a complete document that begins at `offset`.
    pub fn read_part(&mut self, digest: &Digest, offset: u32) -> Option<DocumentPart> {
        let document = self.get(digest)?.as_bytes();
        let start = offset as usize;
        let end = document.len().min(start + PART_BYTES);
        Some(DocumentPart {
            digest: *digest,
            offset,
            total_bytes: document.len() as u32,
            bytes: document.get(start..end)?.to_vec(),
        })
    }

    /// Takes a part of a document that was requested. Returns whether the document is complete with it and matches its digest; where
    /// it does not match, all of its parts are dropped.
    pub fn add_part(&mut self, part: DocumentPart) -> bool {
        let Some(partial) = self.partial.get_mut(&part.digest) else {
            return false;
        };
        let total_bytes = part.total_bytes as usize;
        let fits_other_parts = partial.total_bytes == 0 || partial.total_bytes == total_bytes;
        if !part.is_well_formed() || !fits_other_parts {
            return false;
        }
        partial.total_bytes = total_bytes;
        partial.parts.insert(part.offset, part.bytes);
        if partial.parts.len() < total_bytes.div_ceil(PART_BYTES) {
            return false;
        }
        let parts = std::mem::take(&mut partial.parts);
        self.partial.remove(&part.digest);
        let bytes: Vec<u8> = parts.into_values().flatten().collect();
        match String::from_utf8(bytes) {
            Ok(text) if sha256(&text) == part.digest => {
                self.insert(&text);
                true
            }
            _ => false,
        }
    }
}

/// Removes the entry with the smallest key.
fn remove_min_by<T>(entries: &mut BTreeMap<Digest, T>, key: impl Fn(&T) -> u64) {
    let oldest = entries.iter().min_by_key(|(_, entry)| key(entry));
    if let Some(digest) = oldest.map(|(digest, _)| *digest) {
        entries.remove(&digest);
    }
}

#[cfg(test)]
mod tests;
