//! Queries in flight, and the round of browsing that some of them belong to.

use super::events::Transport;
use crate::dnssd::wire::{Name, Record, RecordData, RecordType};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// CNAMEs that are followed for one question at most.
pub(super) const MAX_ALIAS_HOPS: u8 = 8;

/// What the reply to a query is used for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum QueryPurpose {
    /// PTR records of the service, in a round.
    Browse,
    /// The zone's serial, in a round.
    Serial,
    /// A record set of one instance or host.
    Detail,
}

pub(super) struct Question {
    pub(super) name: Name,
    pub(super) record_type: RecordType,
    pub(super) resolver: SocketAddr,
    pub(super) transport: Transport,
    pub(super) purpose: QueryPurpose,
    /// CNAMEs followed so far with queries of their own.
    pub(super) hops: u8,
    /// The name that the records are stored under; differs from `name` once a CNAME was followed.
    pub(super) owner: Name,
}

pub(super) struct PendingQuery {
    /// The id in the DNS header.
    pub(super) message_id: u16,
    pub(super) deadline_us: u64,
    pub(super) question: Question,
}

/// One round of browsing, while its replies come in.
pub(super) struct BrowseRound {
    pub(super) started_at_us: u64,
    pub(super) outstanding_queries: u32,
    pub(super) has_failed: bool,
    /// Whether all replies so far had the AA bit.
    pub(super) is_authoritative: bool,
    pub(super) names: BTreeSet<Name>,
    pub(super) additional: Vec<Record>,
    /// The lowest TTL of the PTR records.
    pub(super) ttl_s: u32,
    pub(super) serial: Option<u32>,
}

impl BrowseRound {
    pub(super) fn new(started_at_us: u64, outstanding_queries: u32) -> Self {
        BrowseRound {
            started_at_us,
            outstanding_queries,
            has_failed: false,
            is_authoritative: true,
            names: BTreeSet::new(),
            additional: Vec::new(),
            ttl_s: u32::MAX,
            serial: None,
        }
    }
}

/// The name at the end of the CNAMEs in an answer section; `None` where they form a loop.
pub(super) fn follow_aliases(from: &Name, answer: &[Record]) -> Option<Name> {
    let mut current = from.clone();
    for _ in 0..=MAX_ALIAS_HOPS {
        let target = answer.iter().find_map(|record| match &record.data {
            RecordData::Cname(target) if record.owner == current => Some(target.clone()),
            _ => None,
        });
        match target {
            Some(target) => current = target,
            None => return Some(current),
        }
    }
    None
}
