//! Documents that are being fetched from other members.

use crate::Digest;
use std::collections::BTreeMap;

/// Missing parts of a document are requested again after this.
const RETRY_INTERVAL_US: u64 = 30_000;
/// A document that nobody sends is given up after this.
const FETCH_TIMEOUT_US: u64 = 30_000_000;
/// Documents that are fetched at once, and checks that wait for one.
pub(super) const MAX_FETCHES: usize = 8;

/// One document that is being fetched.
struct Fetch {
    /// Members that should have it; the next one to ask moves to the front.
    sources: Vec<String>,
    started_at: u64,
    retry_at: u64,
}

/// The documents that are being fetched, by digest.
#[derive(Default)]
pub(super) struct DocumentFetches {
    by_digest: BTreeMap<Digest, Fetch>,
}

impl DocumentFetches {
    /// Starts to fetch a document, or adds `source` to the members that should have it. Does nothing beyond [`MAX_FETCHES`].
    pub(super) fn start(&mut self, now: u64, digest: Digest, source: &str) {
        if self.by_digest.len() >= MAX_FETCHES && !self.by_digest.contains_key(&digest) {
            return;
        }
        let fetch = self.by_digest.entry(digest).or_insert(Fetch {
            sources: Vec::new(),
            started_at: now,
            retry_at: now,
        });
        if !fetch.sources.iter().any(|known| known == source) {
            fetch.sources.push(source.into());
        }
    }

    /// Stops to fetch a document.
    pub(super) fn remove(&mut self, digest: &Digest) {
        self.by_digest.remove(digest);
    }

    /// Drops what has timed out, and returns what has to be requested now and from whom. Each retry asks another member.
    pub(super) fn take_due(&mut self, now: u64) -> Vec<(String, Digest)> {
        self.by_digest
            .retain(|_, fetch| now < fetch.started_at + FETCH_TIMEOUT_US);
        let mut due = Vec::new();
        for (digest, fetch) in &mut self.by_digest {
            if now < fetch.retry_at {
                continue;
            }
            fetch.retry_at = now + RETRY_INTERVAL_US;
            fetch.sources.rotate_left(1);
            if let Some(source) = fetch.sources.first() {
                due.push((source.clone(), *digest));
            }
        }
        due
    }
}
