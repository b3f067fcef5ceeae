//! Queries in flight, and the browsing round that some of them belong to.

use super::events::Transport;
use crate::dnssd::wire::{Name, Record, RecordData, RecordType};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of CNAMEs followed within one answer, and maximum number of follow-up queries for one question.
pub(super) const MAX_ALIAS_HOPS: u8 = 8;

/// The purpose of a query, which decides how its reply is used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum QueryPurpose {
    /// Lists the instances of a service name (PTR), as part of a round.
    Browse,
    /// Reads the zone's serial (SOA), as part of a round.
    Serial,
    /// Reads a record set of one instance or host, outside rounds.
    Detail,
}

/// The content of a query: the record set, the resolver that it is sent to, and its purpose.
pub(super) struct Question {
    pub(super) name: Name,
    pub(super) record_type: RecordType,
    pub(super) resolver: SocketAddr,
    pub(super) transport: Transport,
    pub(super) purpose: QueryPurpose,
    /// Number of follow-up queries sent so far, each for a CNAME target that the reply before did not resolve.
    pub(super) alias_hops: u8,
    /// The name under which the records are stored; differs from `name` after a CNAME was followed.
    pub(super) owner: Name,
}

/// A query in flight.
pub(super) struct PendingQuery {
    /// The message id in the DNS header.
    pub(super) message_id: u16,
    pub(super) deadline_us: u64,
    pub(super) question: Question,
}

/// A browsing round whose replies are being collected.
pub(super) struct BrowseRound {
    pub(super) started_at_us: u64,
    pub(super) outstanding_queries: u32,
    pub(super) has_failed: bool,
    /// Whether all replies to the PTR queries so far have the AA bit.
    pub(super) is_authoritative: bool,
    pub(super) instance_names: BTreeSet<Name>,
    pub(super) additional_records: Vec<Record>,
    /// The lowest TTL of the PTR records, in seconds.
    pub(super) min_ttl_s: u32,
    pub(super) serial: Option<u32>,
}

impl BrowseRound {
    pub(super) fn new(started_at_us: u64, outstanding_queries: u32) -> Self {
        BrowseRound {
            started_at_us,
            outstanding_queries,
            has_failed: false,
            is_authoritative: true,
            instance_names: BTreeSet::new(),
            additional_records: Vec::new(),
            min_ttl_s: u32::MAX,
            serial: None,
        }
    }
}

/// Returns the name at the end of the CNAME chain in an answer section; `None` if the chain is longer than
/// [`MAX_ALIAS_HOPS`] or a loop.
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
