//! Policy documents by their digest. They are transferred between members in parts that fit a datagram; a receiver requests parts
//! until it has all of them.

use crate::digest::sha256;
use crate::document::MAX_DOCUMENT_BYTES;
use crate::Digest;
use std::collections::BTreeMap;

/// Length of each part but the last.
pub const PART_BYTES: usize = 800;
/// Parts that are requested, and sent, at once.
pub const MAX_PARTS_PER_REQUEST: usize = 8;
/// Complete documents that are stored.
const MAX_DOCUMENTS: usize = 64;
/// Documents of which only some parts are here.
const MAX_PARTIAL_DOCUMENTS: usize = 8;

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

    /// The part of a complete document that begins at `offset`: the length of the whole document, and the part's bytes.
    pub fn read_part(&mut self, digest: &Digest, offset: u32) -> Option<(u32, Vec<u8>)> {
        let document = self.get(digest)?.as_bytes();
        let start = offset as usize;
        let part = document.get(start..document.len().min(start + PART_BYTES))?;
        Some((document.len() as u32, part.to_vec()))
    }

    /// Takes a part of a document that was requested. Returns whether the document is complete with it and matches its digest; where
    /// it does not match, all of its parts are dropped.
    pub fn add_part(
        &mut self,
        digest: &Digest,
        offset: u32,
        total_bytes: u32,
        bytes: Vec<u8>,
    ) -> bool {
        let Some(partial) = self.partial.get_mut(digest) else {
            return false;
        };
        let total_bytes = total_bytes as usize;
        let fits_before = partial.total_bytes == 0 || partial.total_bytes == total_bytes;
        if !is_part(offset as usize, total_bytes, bytes.len()) || !fits_before {
            return false;
        }
        partial.total_bytes = total_bytes;
        partial.parts.insert(offset, bytes);
        if partial.parts.len() < total_bytes.div_ceil(PART_BYTES) {
            return false;
        }
        let parts = std::mem::take(&mut partial.parts);
        self.partial.remove(digest);
        let bytes: Vec<u8> = parts.into_values().flatten().collect();
        match String::from_utf8(bytes) {
            Ok(text) if sha256(&text) == *digest => {
                self.insert(&text);
                true
            }
            _ => false,
        }
    }
}

/// Whether a document of `total_bytes` has a part of this length at this offset.
fn is_part(offset: usize, total_bytes: usize, part_bytes: usize) -> bool {
    offset.is_multiple_of(PART_BYTES)
        && total_bytes <= MAX_DOCUMENT_BYTES
        && offset < total_bytes
        && part_bytes == PART_BYTES.min(total_bytes - offset)
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
