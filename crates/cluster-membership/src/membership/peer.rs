//! What is known of another member beside its record.

use crate::gauges::Gauges;
use crate::session::Session;
use crate::token_bucket::TokenBucket;
use crate::usage_gossip::UsageProgress;
use std::collections::BTreeMap;

/// A member may send this many times the datagrams of regular updates ...
const MAX_UPDATE_FACTOR: f64 = 4.0;
/// ... and this many more, for probes and replies.
const MAX_EXTRA_DATAGRAMS_PER_S: f64 = 100.0;

/// State of the exchange with one other member.
pub(super) struct Peer {
    pub session: Session,
    /// When a datagram last came from it, proven or not, in microseconds of running time.
    pub last_datagram_at_us: u64,
    pub usage: UsageProgress,
    pub gauges: Gauges,
    /// Version of our gauges that it has.
    pub gauges_acked: u64,
    /// When the next update is due, in microseconds.
    pub next_update_at_us: u64,
    pub received: TokenBucket,
    /// Numbers of its probes that the next datagram acknowledges.
    pub pending_acks: Vec<u32>,
    /// Datagrams sent to its instance since that has proven itself; the first ones carry our record.
    pub proven_sends: u8,
}

impl Peer {
    /// A peer that nothing is known of. The first datagram to it has the sequence number after `last_sent_sequence`.
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

    /// Forgets what an earlier instance had and sent.
    pub fn reset_for_new_instance(&mut self) {
        self.usage = UsageProgress::default();
        self.gauges = Gauges::default();
        self.gauges_acked = 0;
        self.proven_sends = 0;
    }
}

/// When a member was last heard itself, in microseconds of running time; 0: never.
pub(super) fn heard_at_us(peers: &BTreeMap<String, Peer>, name: &str) -> u64 {
    peers.get(name).map_or(0, |peer| peer.session.heard_at_us)
}
