//! Bookkeeping of the documents that are being fetched from other members.

use crate::Digest;
use std::collections::BTreeMap;

/// Interval between requests for the missing parts of a document.
const RETRY_INTERVAL_US: u64 = 30_000;
/// Time after which the fetch of an incomplete document is abandoned.
const FETCH_TIMEOUT_US: u64 = 30_000_000;
/// Maximum number of documents fetched at the same time, and of checks that wait for a document.
pub(super) const MAX_FETCHES: usize = 8;

/// The fetch of one document.
struct Fetch {
    /// The members that should have the document, in rotating order; each request is sent to the next one.
    sources: Vec<String>,
    started_at: u64,
    retry_at: u64,
}

/// The fetches in progress, by document digest.
#[derive(Default)]
pub(super) struct DocumentFetches {
    by_digest: BTreeMap<Digest, Fetch>,
}

impl DocumentFetches {
    /// Starts the fetch of a document, or adds `source` to its sources. Ignores new documents beyond [`MAX_FETCHES`].
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

    /// Ends the fetch of a document.
    pub(super) fn remove(&mut self, digest: &Digest) {
        self.by_digest.remove(digest);
    }

    /// Drops the fetches that have timed out, and returns the documents to request now, each with the member to
    /// request it from. Each retry goes to the next source.
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
