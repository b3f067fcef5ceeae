//! The wire format of a datagram's body: postcard (postcard.jamesmunns.com/wire-format), in which integers have
//! variable length. Fields are not named on the wire, so their order must not change.

use crate::gauges::GaugeSnapshot;
use crate::record::MemberRecord;
use crate::seal::{MAX_DATAGRAM_BYTES, SEAL_OVERHEAD_BYTES};
use crate::usage_counters::UsageKey;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Upper bound of the length of [`DatagramHeader::wanted_gateways`].
pub const MAX_WANTED_GATEWAYS: usize = 32;
/// Upper bound of the acknowledgements in one datagram, and likewise of the indirect ping requests.
pub const MAX_PROBES_PER_DATAGRAM: usize = 16;
/// Bytes of a datagram reserved for the encoded lengths of lists.
const LIST_LENGTH_BYTES: usize = 16;
/// Upper bound of the customers in one [`UsageGroup`], so that the length of its list fits into one byte.
const MAX_GROUP_TOTALS: usize = 127;

/// A request to probe another member for the sender (SWIM's indirect ping).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IndirectPing {
    /// Name of the member to probe.
    pub target: String,
    /// The sender's number of the probe, to be acknowledged to it.
    pub ping: u32,
}

/// The fields of every datagram: sender, receiver, and the state of their exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DatagramHeader {
    /// Name of the sender.
    pub from: String,
    /// Process instance of the sender.
    pub instance_id: u64,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Process instance of the receiver; 0 if the sender does not know it yet.
    pub to_instance_id: u64,
    /// Sequence number, which grows with each datagram from the sender to this receiver.
    pub sequence: u64,
    /// Number of a probe that the receiver has to acknowledge; 0 for none.
    pub ping: u32,
    /// Numbers of the receiver's probes that the datagram acknowledges.
    pub acks: Vec<u32>,
    /// Members that the receiver is to probe for the sender.
    pub indirect_pings: Vec<IndirectPing>,
    /// Digests of the buckets of the sender's member table, for anti-entropy; empty for no comparison. The receiver
    /// replies with the members of the buckets that differ.
    pub bucket_digests: Vec<u32>,
    /// Whether the receiver is to reply with its own bucket digests as well.
    pub wants_digests: bool,
    /// Change number after which the datagram covers the sender's usage changes (exclusive).
    pub usage_after: u64,
    /// Change number up to which the datagram covers the sender's usage changes (inclusive).
    pub usage_up_to: u64,
    /// Whether the datagram carries all of the sender's own usage that the receiver lacks.
    pub is_usage_complete: bool,
    /// Change number up to which the sender has received all usage changes of the receiver.
    pub usage_received: u64,
    /// Numbers of the gateways from which the sender receives no datagrams directly, so that the receiver relays
    /// their usage.
    pub wanted_gateways: Vec<u16>,
    /// Version of the receiver's gauges that the sender has.
    pub gauges_received: u64,
}

/// The state of a member, as known to the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Latest record of the member.
    pub record: MemberRecord,
    /// Seconds since the member died or left; 0 while it is present.
    pub age_s: u32,
    /// Short hashes of the names of the members that suspect this one.
    pub suspectors: Vec<u32>,
}

/// The usage that a gateway admitted of one customer in one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerTotal {
    /// Customer.
    pub tag: u32,
    /// Total in thousandths of a unit.
    pub total: u64,
}

/// Usage counters of one gateway instance and window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageGroup {
    /// Gateway, instance and window.
    pub key: UsageKey,
    /// Counters by customer.
    pub totals: Vec<CustomerTotal>,
}

/// The contents of one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DatagramBody {
    /// Sender, receiver, probes and acknowledgements.
    pub header: DatagramHeader,
    /// Updates of members.
    pub members: Vec<MemberUpdate>,
    /// Usage counters.
    pub usage: Vec<UsageGroup>,
    /// Gauges of the sender.
    pub gauges: GaugeSnapshot,
    /// A message of another subsystem; empty for none.
    pub message: Vec<u8>,
}

impl DatagramBody {
    /// Decodes a body; returns `None` if it is malformed, or has trailing bytes or a list that is too long.
    pub fn decode(bytes: &[u8]) -> Option<DatagramBody> {
        let (body, rest) = postcard::take_from_bytes::<DatagramBody>(bytes).ok()?;
        let header = &body.header;
        let is_in_bounds = header.wanted_gateways.len() <= MAX_WANTED_GATEWAYS
            && header.acks.len() <= MAX_PROBES_PER_DATAGRAM
            && header.indirect_pings.len() <= MAX_PROBES_PER_DATAGRAM;
        (rest.is_empty() && is_in_bounds).then_some(body)
    }
}

/// Composes the body of a datagram within its size limit. The caller adds the most important contents first.
pub struct DatagramWriter {
    free_bytes: usize,
    members: Vec<MemberUpdate>,
    usage: Vec<UsageGroup>,
    gauges: GaugeSnapshot,
    message: Vec<u8>,
}

impl DatagramWriter {
    /// Creates an empty datagram and reserves space for `header`. The header passed to [`DatagramWriter::finish`] may
    /// differ from it only in `usage_after`, `usage_up_to` and `is_usage_complete`.
    pub fn new(header: &DatagramHeader) -> DatagramWriter {
        let widest = DatagramHeader {
            usage_after: u64::MAX,
            usage_up_to: u64::MAX,
            ..header.clone()
        };
        let reserved = SEAL_OVERHEAD_BYTES + encoded_bytes(&widest) + LIST_LENGTH_BYTES;
        DatagramWriter {
            free_bytes: MAX_DATAGRAM_BYTES.saturating_sub(reserved),
            members: Vec::new(),
            usage: Vec::new(),
            gauges: GaugeSnapshot::default(),
            message: Vec::new(),
        }
    }

    /// Adds a member if that leaves at least `reserve_bytes` free. Returns whether it was added.
    pub fn add_member(&mut self, update: MemberUpdate, reserve_bytes: usize) -> bool {
        let bytes = encoded_bytes(&update);
        let is_added = bytes + reserve_bytes <= self.free_bytes && self.allocate(bytes);
        if is_added {
            self.members.push(update);
        }
        is_added
    }

    /// Adds a usage counter if it fits. Returns whether it was added.
    pub fn add_usage(&mut self, key: UsageKey, tag: u32, total: u64) -> bool {
        let total_bytes = varint_bytes(u64::from(tag)) + varint_bytes(total);
        let continues_group = self
            .usage
            .last()
            .is_some_and(|group| group.key == key && group.totals.len() < MAX_GROUP_TOTALS);
        let group_bytes = if continues_group {
            0
        } else {
            varint_bytes(u64::from(key.gateway))
                + varint_bytes(key.instance_id)
                + varint_bytes(u64::from(key.window))
                + 1
        };
        if !self.allocate(total_bytes + group_bytes) {
            return false;
        }
        if !continues_group {
            let totals = Vec::new();
            self.usage.push(UsageGroup { key, totals });
        }
        if let Some(group) = self.usage.last_mut() {
            group.totals.push(CustomerTotal { tag, total });
        }
        true
    }

    /// Adds all gauges if they fit. Returns whether they were added.
    pub fn add_gauges(&mut self, snapshot: GaugeSnapshot) -> bool {
        let is_added = self.allocate(encoded_bytes(&snapshot.gauges) + 10);
        if is_added {
            self.gauges = snapshot;
        }
        is_added
    }

    /// Adds the message if it fits. Returns whether it was added.
    pub fn add_message(&mut self, bytes: Vec<u8>) -> bool {
        let is_added = self.allocate(bytes.len() + 2);
        if is_added {
            self.message = bytes;
        }
        is_added
    }

    /// Returns the encoded body.
    pub fn finish(self, header: DatagramHeader) -> Vec<u8> {
        let body = DatagramBody {
            header,
            members: self.members,
            usage: self.usage,
            gauges: self.gauges,
            message: self.message,
        };
        // Cannot fail: serialization of these types returns no error, and the vector grows as needed.
        postcard::to_allocvec(&body).unwrap_or_default()
    }

    /// Takes `bytes` from the free space if they fit. Returns whether they did.
    fn allocate(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.free_bytes;
        if fits {
            self.free_bytes -= bytes;
        }
        fits
    }
}

/// Returns the encoded length of a value in bytes.
fn encoded_bytes(value: &impl Serialize) -> usize {
    postcard::to_allocvec(value).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

/// Returns the length of an integer in LEB128, in bytes.
fn varint_bytes(n: u64) -> usize {
    (64 - (n | 1).leading_zeros() as usize).div_ceil(7)
}
