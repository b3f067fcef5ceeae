//! Rate limit of the datagrams examined from sources that sent invalid seals, so that senders without a valid key do
//! not exhaust the processor.

use crate::token_bucket::TokenBucket;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Invalid datagrams examined per second from one source, and together from all sources that are not counted
/// separately.
const MAX_INVALID_PER_S: f64 = 50.0;
/// Upper bound of the sources that are counted separately.
const MAX_SOURCES: usize = 256;

/// Counts invalid datagrams by source and decides whether further ones are examined.
pub(super) struct InvalidSealLimiter {
    by_source: BTreeMap<SocketAddr, TokenBucket>,
    other_sources: TokenBucket,
    has_new_flood: bool,
    is_flood_reported: bool,
}

impl InvalidSealLimiter {
    pub fn new() -> InvalidSealLimiter {
        InvalidSealLimiter {
            by_source: BTreeMap::new(),
            other_sources: TokenBucket::new(MAX_INVALID_PER_S),
            has_new_flood: false,
            is_flood_reported: false,
        }
    }

    /// Returns whether to examine a datagram from `source`. A datagram that is not admitted counts as part of a flood.
    pub fn admit(&mut self, now_us: u64, source: SocketAddr) -> bool {
        let is_admitted = match self.by_source.get_mut(&source) {
            Some(invalid) => invalid.has_tokens(now_us),
            None => self.by_source.len() < MAX_SOURCES || self.other_sources.has_tokens(now_us),
        };
        if !is_admitted {
            self.has_new_flood = true;
        }
        is_admitted
    }

    /// Counts an invalid datagram from `source`.
    pub fn record_invalid(&mut self, now_us: u64, source: SocketAddr) {
        if self.by_source.len() < MAX_SOURCES {
            self.by_source
                .entry(source)
                .or_insert_with(|| TokenBucket::new(MAX_INVALID_PER_S));
        }
        self.by_source
            .get_mut(&source)
            .unwrap_or(&mut self.other_sources)
            .spend(now_us, 1.0);
    }

    /// Returns true at the first call after the rate limit rejected a datagram, and false at all other calls.
    pub fn take_unreported_flood(&mut self) -> bool {
        let is_flooded = std::mem::take(&mut self.has_new_flood);
        is_flooded && !std::mem::replace(&mut self.is_flood_reported, true)
    }
}
