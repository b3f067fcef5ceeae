//! State of the detection of losses.

use crate::dnssd::wire::Name;
use std::collections::BTreeMap;

/// The zone's serial number (RFC 1982).
pub(super) struct SerialState {
    /// The serial is not queried before this time.
    pub(super) query_at_us: u64,
    /// The newest serial seen.
    pub(super) newest: Option<u32>,
    /// Since when replies have had an older serial.
    pub(super) regressed_since_us: Option<u64>,
}

impl SerialState {
    pub(super) fn new(now_us: u64) -> Self {
        SerialState {
            query_at_us: now_us,
            newest: None,
            regressed_since_us: None,
        }
    }
}

/// Removals that are not trusted yet.
#[derive(Default)]
pub(super) struct RemovalState {
    /// Since when each instance has been missing from the rounds.
    pub(super) missing_since_us: BTreeMap<Name, u64>,
    /// Since when a large share of the instances has been missing.
    pub(super) mass_loss_since_us: Option<u64>,
    /// Whether the last list came from another resolver or an older zone: what is missing may still exist, so a second
    /// answer has to confirm it.
    pub(super) must_confirm: bool,
}
