//! State of the loss detection: the zone's serial, and the pending removals.

use crate::dnssd::wire::Name;
use std::collections::BTreeMap;

/// State of the zone's serial number (RFC 1982).
pub(super) struct SerialState {
    /// The earliest time of the next serial query.
    pub(super) next_query_at_us: u64,
    /// The newest serial seen; `None` before the first one.
    pub(super) newest: Option<u32>,
    /// Since when replies have had a serial older than `newest`; `None` while they have not.
    pub(super) regressed_since_us: Option<u64>,
}

impl SerialState {
    pub(super) fn new(now_us: u64) -> Self {
        SerialState {
            next_query_at_us: now_us,
            newest: None,
            regressed_since_us: None,
        }
    }
}

/// Pending removals: instances that are missing but not yet removed.
#[derive(Default)]
pub(super) struct RemovalState {
    /// Since when each missing instance has been absent from the rounds.
    pub(super) missing_since_us: BTreeMap<Name, u64>,
    /// Since when more than `max_loss_share` of the instances have been missing; `None` while they are not.
    pub(super) mass_loss_since_us: Option<u64>,
    /// Whether, since the last list without missing instances, another resolver has taken the lead or a zone with an
    /// older serial was accepted. Missing instances may then still exist, so they are removed only after missing for
    /// `confirmation_time`.
    pub(super) must_confirm: bool,
}
