//! Documents by their digest. They go from member to member in parts that fit a datagram, asked for until all have come.

use crate::document::{sha256, MOST_BYTES};
use std::collections::BTreeMap;

/// Bytes of one part.
pub const PART: usize = 800;
/// Parts that are asked for at once.
const AT_ONCE: usize = 8;
/// Documents that are kept, and those of which some parts have come.
const MOST: usize = 64;
const MOST_PARTIAL: usize = 8;

type Digest = [u8; 32];

#[derive(Default)]
struct Partial {
    parts: BTreeMap<u32, Vec<u8>>,
    bytes: usize,
    since: u64,
}

#[derive(Default)]
pub struct DocumentStore {
    whole: BTreeMap<Digest, (u64, String)>,
    partial: BTreeMap<Digest, Partial>,
    /// Grows with each that is used: the one that was not for longest makes room.
    uses: u64,
}

impl DocumentStore {
    pub fn get(&mut self, digest: &Digest) -> Option<&str> {
        self.uses += 1;
        let (used, text) = self.whole.get_mut(digest)?;
        *used = self.uses;
        Some(text)
    }

    /// Version 0 has none.
    pub fn has(&self, digest: &Digest) -> bool {
        *digest == [0; 32] || self.whole.contains_key(digest)
    }

    pub fn put(&mut self, text: &str) -> Digest {
        let digest = sha256(text);
        self.uses += 1;
        self.whole.insert(digest, (self.uses, text.to_string()));
        self.partial.remove(&digest);
        while self.whole.len() > MOST {
            let oldest = self
                .whole
                .iter()
                .min_by_key(|(_, (used, _))| *used)
                .map(|(d, _)| *d);
            oldest.map(|d| self.whole.remove(&d));
        }
        digest
    }

    /// Where the next parts begin that are to be asked for.
    pub fn missing(&mut self, digest: &Digest) -> Vec<u32> {
        if self.has(digest) {
            return Vec::new();
        }
        self.uses += 1;
        let (uses, known) = (self.uses, self.partial.contains_key(digest));
        if !known && self.partial.len() >= MOST_PARTIAL {
            let oldest = self
                .partial
                .iter()
                .min_by_key(|(_, p)| p.since)
                .map(|(d, _)| *d);
            oldest.map(|d| self.partial.remove(&d));
        }
        let partial = self.partial.entry(*digest).or_insert(Partial {
            since: uses,
            ..Partial::default()
        });
        // How long it is the first part tells.
        let bytes = if partial.parts.is_empty() {
            1
        } else {
            partial.bytes
        };
        let all = (0..bytes.div_ceil(PART)).map(|n| (n * PART) as u32);
        all.filter(|at| !partial.parts.contains_key(at))
            .take(AT_ONCE)
            .collect()
    }

    /// A part of one that is whole here: its length, and the bytes.
    pub fn part(&mut self, digest: &Digest, at: u32) -> Option<(u32, Vec<u8>)> {
        let text = self.get(digest)?.as_bytes();
        let from = at as usize;
        let part = text.get(from..text.len().min(from + PART))?;
        Some((text.len() as u32, part.to_vec()))
    }

    /// A part came. True: with it the document is whole, and is what its digest says.
    pub fn came(&mut self, digest: &Digest, at: u32, of: u32, bytes: Vec<u8>) -> bool {
        let Some(partial) = self.partial.get_mut(digest) else {
            return false;
        };
        let (from, of) = (at as usize, of as usize);
        let right =
            from % PART == 0 && of <= MOST_BYTES && from < of && bytes.len() == PART.min(of - from);
        if !right || partial.bytes != 0 && partial.bytes != of {
            return false;
        }
        partial.bytes = of;
        partial.parts.insert(at, bytes);
        if partial.parts.len() < of.div_ceil(PART) {
            return false;
        }
        let whole: Vec<u8> = self
            .partial
            .remove(digest)
            .into_iter()
            .flat_map(|p| p.parts.into_values().flatten())
            .collect();
        match String::from_utf8(whole) {
            // Else somebody sent something else: it is asked for anew.
            Ok(text) if sha256(&text) == *digest => self.put(&text) == *digest,
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_come_in_any_order_and_make_the_whole() {
        let text: String = (0..3_000)
            .map(|n| char::from(b'a' + (n % 26) as u8))
            .collect();
        let (mut here, mut there) = (DocumentStore::default(), DocumentStore::default());
        let digest = here.put(&text);
        assert_eq!(there.missing(&digest), [0]);
        let mut whole = false;
        for _ in 0..3 {
            let mut wanted = there.missing(&digest);
            wanted.reverse();
            for at in wanted {
                let (of, bytes) = here.part(&digest, at).expect("it is there");
                whole |= there.came(&digest, at, of, bytes);
            }
        }
        assert!(
            whole && there.get(&digest) == Some(text.as_str()) && there.missing(&digest).is_empty()
        );
    }

    #[test]
    fn what_is_not_what_its_digest_says_is_asked_for_anew() {
        let (mut here, mut there) = (DocumentStore::default(), DocumentStore::default());
        let digest = here.put("version = 1");
        there.missing(&digest);
        assert!(!there.came(&digest, 0, 11, b"version = 2".to_vec()));
        assert!(!there.has(&digest));
        assert_eq!(there.missing(&digest), [0]);
        for (at, of, bytes) in [(1, 11, 10), (0, 11, 5), (0, 1 << 30, PART), (800, 11, 3)] {
            assert!(
                !there.came(&digest, at, of, vec![b'x'; bytes]),
                "{at} {of} {bytes}"
            );
        }
        assert!(there.came(&digest, 0, 11, b"version = 1".to_vec()));
    }

    #[test]
    fn tables_are_bounded() {
        let mut t = DocumentStore::default();
        let first = t.put("first");
        for n in 0..MOST {
            t.get(&first);
            t.put(&n.to_string());
            t.missing(&[n as u8 + 1; 32]);
        }
        assert!(t.has(&first), "it is used");
        assert!(t.whole.len() <= MOST && t.partial.len() <= MOST_PARTIAL);
    }
}
