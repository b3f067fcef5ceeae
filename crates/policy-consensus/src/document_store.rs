//! A bounded store of policy documents by digest. Documents are transferred between members in parts that fit a
//! datagram; the receiver requests the missing parts until the document is complete.

use crate::digest::sha256;
use crate::document::MAX_DOCUMENT_BYTES;
use crate::Digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Length of each part except the last, in bytes.
pub const PART_BYTES: usize = 800;
/// Maximum number of parts that are requested in one message and sent in reply to it.
pub const MAX_PARTS_PER_REQUEST: usize = 8;
/// Maximum number of complete documents in the store.
const MAX_DOCUMENTS: usize = 64;
/// Maximum number of partial documents in the store.
const MAX_PARTIAL_DOCUMENTS: usize = 8;

/// A part of a document. The order of fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// The document's digest.
    pub digest: Digest,
    /// Offset of the part in the document, in bytes.
    pub offset: u32,
    /// Length of the document, in bytes.
    pub total_bytes: u32,
    /// The bytes of the part.
    pub bytes: Vec<u8>,
}

impl DocumentPart {
    /// Returns whether the offset is a multiple of [`PART_BYTES`] inside the document and the part has the length
    /// required at this offset.
    fn has_valid_bounds(&self) -> bool {
        let offset = self.offset as usize;
        let total_bytes = self.total_bytes as usize;
        offset.is_multiple_of(PART_BYTES)
            && total_bytes <= MAX_DOCUMENT_BYTES
            && offset < total_bytes
            && self.bytes.len() == PART_BYTES.min(total_bytes - offset)
    }
}

/// A document whose parts have not all been received.
#[derive(Default)]
struct PartialDocument {
    /// The received parts, by offset in bytes.
    parts: BTreeMap<u32, Vec<u8>>,
    /// Length of the complete document, in bytes; 0 until the first part is received.
    total_bytes: usize,
    /// The value of [`DocumentStore::uses`] when the transfer started; orders the partial documents by age.
    started_at_use: u64,
}

/// A complete document.
struct StoredDocument {
    /// The value of [`DocumentStore::uses`] at the last use of the document.
    last_use: u64,
    text: String,
}

/// The complete and partial documents of a member.
#[derive(Default)]
pub struct DocumentStore {
    complete: BTreeMap<Digest, StoredDocument>,
    partial: BTreeMap<Digest, PartialDocument>,
    /// Number of uses so far, as a logical clock by which the least recently used document is evicted.
    uses: u64,
}

impl DocumentStore {
    /// Returns the complete document with this digest, and marks it as used.
    pub fn get(&mut self, digest: &Digest) -> Option<&str> {
        self.uses += 1;
        let document = self.complete.get_mut(digest)?;
        document.last_use = self.uses;
        Some(&document.text)
    }

    /// Returns whether the complete document is stored. The zero digest belongs to version 0, which has no document,
    /// so it always counts as stored.
    pub fn contains(&self, digest: &Digest) -> bool {
        *digest == [0; 32] || self.complete.contains_key(digest)
    }

    /// Stores a complete document and returns its digest. Evicts the least recently used documents beyond the limit.
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

    /// Returns the offsets of the missing parts to request next; empty if the document is complete. Starts a partial
    /// document if there is none, and evicts the oldest one beyond the limit.
    pub fn missing_offsets(&mut self, digest: &Digest) -> Vec<u32> {
        if self.contains(digest) {
            return Vec::new();
        }
        self.uses += 1;
        let is_started = self.partial.contains_key(digest);
        if !is_started && self.partial.len() >= MAX_PARTIAL_DOCUMENTS {
            remove_min_by(&mut self.partial, |partial| partial.started_at_use);
        }
        let partial = self.partial.entry(*digest).or_insert(PartialDocument {
            started_at_use: self.uses,
            ..PartialDocument::default()
        });
        // Each part states the length of the document, so the first part is requested alone to learn the length.
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

    /// Returns the part at `offset` of a complete document; `None` if the document is not stored or is shorter.
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

    /// Adds a part to a partial document, and ignores parts of documents that were not requested. Returns whether
    /// this part completed the document and the document matches its digest. If the complete document does not match
    /// its digest, all of its parts are dropped.
    pub fn add_part(&mut self, part: DocumentPart) -> bool {
        let Some(partial) = self.partial.get_mut(&part.digest) else {
            return false;
        };
        let total_bytes = part.total_bytes as usize;
        let length_matches_other_parts =
            partial.total_bytes == 0 || partial.total_bytes == total_bytes;
        if !part.has_valid_bounds() || !length_matches_other_parts {
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
    let smallest = entries.iter().min_by_key(|(_, entry)| key(entry));
    if let Some(digest) = smallest.map(|(digest, _)| *digest) {
        entries.remove(&digest);
    }
}

#[cfg(test)]
mod tests;
