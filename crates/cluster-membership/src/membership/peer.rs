//! State of the datagram exchange with one other member, beyond the member's record.

use crate::gauges::Gauges;
use crate::session::Session;
use crate::token_bucket::TokenBucket;
use crate::usage_gossip::UsageProgress;
use std::collections::BTreeMap;

/// Datagrams accepted from a member per second, as a multiple of its regular updates.
const MAX_UPDATE_FACTOR: f64 = 4.0;
/// Datagrams accepted from a member per second in addition, for probes and replies.
const MAX_EXTRA_DATAGRAMS_PER_S: f64 = 100.0;

/// State of the exchange with one other member.
pub(super) struct Peer {
    pub session: Session,
    /// When a datagram last arrived from the member, whether or not its instance is proven, in microseconds of
    /// running time.
    pub last_datagram_at_us: u64,
    /// Progress of the exchange of usage.
    pub usage: UsageProgress,
    /// Gauges of the member.
    pub gauges: Gauges,
    /// Latest version of this member's gauges that the other member has acknowledged.
    pub gauges_acked: u64,
    /// When the next update to the member is due, in microseconds.
    pub next_update_at_us: u64,
    /// Rate limit of datagrams accepted from the member.
    pub received: TokenBucket,
    /// Numbers of the member's probes that the next datagram to it acknowledges.
    pub pending_acks: Vec<u32>,
    /// How many datagrams were sent to the member's instance since that was proven; the first ones carry this
    /// member's record.
    pub proven_sends: u8,
}

impl Peer {
    /// Creates the state for a member with which nothing was exchanged. The first datagram to it has the sequence
    /// number after `last_sent_sequence`.
    pub fn new(updates_per_s: f64, last_sent_sequence: u64) -> Peer {
        let max_received_per_s = updates_per_s * MAX_UPDATE_FACTOR + MAX_EXTRA_DATAGRAMS_PER_S;
        Peer {
            session: Session::starting_after(last_sent_sequence),
            last_datagram_at_us: 0,
            usage: UsageProgress::default(),
            gauges: Gauges::default(),
            gauges_acked: 0,
            next_update_at_us: 0,
            received: TokenBucket::new(max_received_per_s),
            pending_acks: Vec::new(),
            proven_sends: 0,
        }
    }

    /// Resets what the previous instance of the member had acknowledged and sent.
    pub fn reset_for_new_instance(&mut self) {
        self.usage = UsageProgress::default();
        self.gauges = Gauges::default();
        self.gauges_acked = 0;
        self.proven_sends = 0;
    }
}

/// Returns when a datagram was last received directly from the member `name`, in microseconds of running time; 0 if
/// never.
pub(super) fn last_received_at_us(peers: &BTreeMap<String, Peer>, name: &str) -> u64 {
    peers
        .get(name)
        .map_or(0, |peer| peer.session.last_received_at_us)
}
