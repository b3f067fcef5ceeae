//! Composition of datagrams.

use super::output::Output;
use super::peer::Peer;
use super::state::Membership;
use crate::member_table::MemberEntry;
use crate::record::LifecyclePhase;
use crate::seal::{MAX_DATAGRAM_BYTES, SEAL_OVERHEAD_BYTES};
use crate::usage_counters::InstanceKey;
use crate::wire::{
    DatagramHeader, DatagramWriter, IndirectPing, MemberUpdate, MAX_PROBES_PER_DATAGRAM,
};
use std::iter::Peekable;
use std::net::SocketAddr;

/// Upper bound of the length of a message of another subsystem, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 880;

/// Bytes of a datagram reserved for usage counters when disseminated members are added.
const USAGE_RESERVE_BYTES: usize = 400;
/// How many datagrams to a newly proven instance carry this member's record: more than one, since datagrams may be
/// lost.
const OWN_RECORD_SENDS: u8 = 3;
/// Upper bound of the members notified by one call of [`Membership::leave`].
const MAX_LEAVE_NOTICES: usize = 64;

/// The contents of one datagram in addition to what every datagram carries.
#[derive(Default)]
pub(super) struct DatagramContent<'a> {
    /// Number of a probe for the receiver to acknowledge; 0 for none.
    pub ping: u32,
    /// Numbers of the acknowledged probes.
    pub acks: Vec<u32>,
    /// Members for the receiver to probe.
    pub indirect_pings: Vec<IndirectPing>,
    /// Digests of this member's table, for the receiver to compare; empty for no comparison.
    pub bucket_digests: Vec<u32>,
    /// Whether the receiver is to reply with its digests.
    pub wants_digests: bool,
    /// Whether the datagram carries this member's record.
    pub has_own_record: bool,
    /// Whether the datagram carries this member's record of the receiver.
    pub has_receiver_record: bool,
    /// The replaced instance of the receiver to address in place of the current one.
    pub replaced_instance_id: Option<u64>,
    /// Message of another subsystem; empty for none.
    pub message: Vec<u8>,
    /// Members to send in place of those to disseminate.
    pub members: Option<&'a mut Peekable<std::vec::IntoIter<MemberUpdate>>>,
}

impl DatagramContent<'_> {
    /// Creates the content of a probe.
    pub fn ping(ping: u32) -> Self {
        DatagramContent {
            ping,
            ..DatagramContent::default()
        }
    }

    /// Creates content with the record of this member.
    pub fn own_record() -> Self {
        DatagramContent {
            has_own_record: true,
            ..DatagramContent::default()
        }
    }

    /// Creates content with this member's record of the receiver, so that the receiver can refute a wrong one.
    pub fn receiver_record() -> Self {
        DatagramContent {
            has_receiver_record: true,
            ..DatagramContent::default()
        }
    }
}

/// The receiver of one datagram, and this member's state of the exchange with it.
struct Receiver {
    /// Gateway number and instance that the datagram is addressed to.
    instance: InstanceKey,
    /// Sequence number of the datagram.
    sequence: u64,
    /// Whether this instance is proven: a datagram from it was addressed to this process's instance. An unproven
    /// instance is sent neither messages nor gossip.
    is_proven: bool,
    /// Whether the receiver is gone according to the member table, or another instance has its name.
    is_outdated: bool,
    /// Whether the receiver may still lack this member's record.
    needs_own_record: bool,
    /// Change number up to which this member has received all usage changes of the receiver.
    usage_received: u64,
    /// Version of the receiver's gauges that this member has.
    gauges_received: u64,
    /// Numbers of the receiver's probes to acknowledge.
    pending_acks: Vec<u32>,
}

impl Membership {
    /// Notifies up to [`MAX_LEAVE_NOTICES`] present members that this one leaves. Each further call and each tick
    /// repeats that.
    pub fn leave(&mut self, now_us: u64, outputs: &mut Vec<Output>) {
        if self.is_superseded {
            return;
        }
        self.set_phase(now_us, LifecyclePhase::Left);
        self.has_left = true;
        let names: Vec<String> = self
            .present_members()
            .take(MAX_LEAVE_NOTICES)
            .map(String::from)
            .collect();
        for name in names {
            self.send(now_us, &name, DatagramContent::own_record(), outputs);
        }
    }

    /// Sends a message of at most [`MAX_MESSAGE_BYTES`] bytes to a member once. The message is dropped if the
    /// member's instance is not proven, since the datagrams that named it may have been replayed.
    pub fn send_message(
        &mut self,
        now_us: u64,
        to: &str,
        message: Vec<u8>,
        outputs: &mut Vec<Output>,
    ) {
        if !self.is_superseded && !self.has_left {
            let content = DatagramContent {
                message,
                ..DatagramContent::default()
            };
            self.send(now_us, to, content, outputs);
        }
    }

    /// Sends a datagram to a member of the table.
    pub(super) fn send(
        &mut self,
        now_us: u64,
        name: &str,
        content: DatagramContent,
        outputs: &mut Vec<Output>,
    ) {
        let Some(address) = self.table.record(name).map(|record| record.address) else {
            return;
        };
        self.send_to(now_us, name, address, content, outputs);
    }

    /// Sends a datagram to a member that need not be in the table.
    pub(super) fn send_to(
        &mut self,
        now_us: u64,
        name: &str,
        address: SocketAddr,
        mut content: DatagramContent,
        outputs: &mut Vec<Output>,
    ) {
        let mut receiver = self.address_receiver(now_us, name, content.replaced_instance_id);
        // The receiver of a table comparison may have forgotten this member.
        content.has_own_record |= content.wants_digests || receiver.needs_own_record;
        content.has_receiver_record |= receiver.is_outdated;
        let mut header = self.header_to(&mut receiver, &mut content);
        let mut writer = DatagramWriter::new(&header);
        self.write_addressed_records(now_us, name, &content, &mut writer);
        // The byte budget does not delay messages, but once it is spent they are sent without gossip.
        let has_message = !content.message.is_empty();
        let is_only_message = has_message && !self.byte_budget.has_tokens(now_us);
        if receiver.is_proven {
            if has_message {
                writer.add_message(content.message);
            }
            if !is_only_message {
                self.write_members(now_us, content.members, &mut writer);
                self.write_usage_and_gauges(now_us, name, &receiver, &mut header, &mut writer);
            }
        }
        self.transmit(now_us, address, writer, header, outputs);
    }

    /// Assigns the next sequence number, schedules the member's next update, takes its pending acknowledgements, and
    /// determines the instance to address.
    fn address_receiver(
        &mut self,
        now_us: u64,
        name: &str,
        replaced_instance_id: Option<u64>,
    ) -> Receiver {
        let others = self.table.len().saturating_sub(1);
        let update_interval_us = self.config.scaled_update_interval_us(others);
        let known = self.table.record(name);
        let known_instance_id = known.map(|record| record.instance_id);
        let is_known_present = known.is_some_and(|record| record.is_present());
        let gateway = known.map_or(u16::MAX, |record| record.number);
        let peer = self.peer_mut(now_us, name);
        peer.next_update_at_us = now_us + update_interval_us;
        peer.session.last_sent_sequence += 1;
        let claimed_instance_id = peer.session.claimed_instance_id;
        let current_instance_id = if claimed_instance_id != 0 {
            claimed_instance_id
        } else {
            known_instance_id.unwrap_or(0)
        };
        let instance_id = replaced_instance_id.unwrap_or(current_instance_id);
        let proven_instance_id = peer.session.proven_instance_id;
        let is_proven = proven_instance_id != 0 && proven_instance_id == instance_id;
        let needs_own_record = peer.proven_sends < OWN_RECORD_SENDS;
        if is_proven {
            peer.proven_sends = peer.proven_sends.saturating_add(1);
        }
        let is_outdated =
            known_instance_id.is_some_and(|known| !is_known_present || known != instance_id);
        let instance = InstanceKey {
            gateway,
            instance_id,
        };
        Receiver {
            instance,
            sequence: peer.session.last_sent_sequence,
            is_proven,
            is_outdated,
            needs_own_record,
            usage_received: peer.usage.received,
            gauges_received: peer.gauges.version,
            pending_acks: std::mem::take(&mut peer.pending_acks),
        }
    }

    /// Returns the header of a datagram, with those contents that the header carries.
    fn header_to(&self, receiver: &mut Receiver, content: &mut DatagramContent) -> DatagramHeader {
        let mut acks = std::mem::take(&mut receiver.pending_acks);
        acks.append(&mut content.acks);
        acks.truncate(MAX_PROBES_PER_DATAGRAM);
        DatagramHeader {
            ping: content.ping,
            acks,
            indirect_pings: std::mem::take(&mut content.indirect_pings),
            bucket_digests: std::mem::take(&mut content.bucket_digests),
            wants_digests: content.wants_digests,
            usage_received: receiver.usage_received,
            gauges_received: receiver.gauges_received,
            ..self.header(receiver.instance.instance_id, receiver.sequence)
        }
    }

    /// Returns a header with the fields that every datagram carries.
    pub(super) fn header(&self, to_instance_id: u64, sequence: u64) -> DatagramHeader {
        let own = self.table.own_record();
        DatagramHeader {
            from: own.name.clone(),
            instance_id: self.instance_id,
            incarnation: own.incarnation,
            to_instance_id,
            sequence,
            wanted_gateways: self.silent_gateways.clone(),
            ..DatagramHeader::default()
        }
    }

    /// Adds the records of the sender and of the receiver, as requested by `content`.
    fn write_addressed_records(
        &self,
        now_us: u64,
        name: &str,
        content: &DatagramContent,
        writer: &mut DatagramWriter,
    ) {
        let own_name = self.config.name.as_str();
        let own = content.has_own_record.then_some(own_name);
        let receiver = content.has_receiver_record.then_some(name);
        for name in own.into_iter().chain(receiver) {
            if let Some(entry) = self.table.entry(name) {
                writer.add_member(member_update(entry, now_us), 0);
            }
        }
    }

    /// Adds the given members, or those to disseminate.
    fn write_members(
        &mut self,
        now_us: u64,
        members: Option<&mut Peekable<std::vec::IntoIter<MemberUpdate>>>,
        writer: &mut DatagramWriter,
    ) {
        let Some(members) = members else {
            self.table.drain_disseminations(|entry| {
                writer.add_member(member_update(entry, now_us), USAGE_RESERVE_BYTES)
            });
            return;
        };
        while let Some(update) = members.peek() {
            if !writer.add_member(update.clone(), 0) {
                return;
            }
            members.next();
        }
    }

    /// Adds the usage that the receiver lacks, and the gauges if the receiver has an earlier version.
    fn write_usage_and_gauges(
        &mut self,
        now_us: u64,
        name: &str,
        receiver: &Receiver,
        header: &mut DatagramHeader,
        writer: &mut DatagramWriter,
    ) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        header.usage_after = peer.usage.acked;
        let coverage = self.usage.write(&mut peer.usage, receiver.instance, writer);
        header.usage_up_to = coverage.up_to;
        header.is_usage_complete = coverage.is_complete;
        if peer.gauges_acked < self.gauges.version {
            writer.add_gauges(self.gauges.snapshot(now_us));
        }
    }

    /// Seals a datagram, outputs it, and charges it to the budgets.
    pub(super) fn transmit(
        &mut self,
        now_us: u64,
        to: SocketAddr,
        writer: DatagramWriter,
        header: DatagramHeader,
        outputs: &mut Vec<Output>,
    ) {
        let bytes = self.keys.seal(&writer.finish(header));
        debug_assert!((SEAL_OVERHEAD_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes.len()));
        self.byte_budget.spend(now_us, bytes.len() as f64);
        self.datagram_budget.spend(now_us, 1.0);
        outputs.push(Output::Send { to, bytes });
    }

    /// Returns the state of the exchange with a member, and creates it if there is none.
    pub(super) fn peer_mut(&mut self, now_us: u64, name: &str) -> &mut Peer {
        let update_interval_us = self.config.scaled_update_interval_us(self.table.len());
        let updates_per_s = 1e6 / update_interval_us as f64;
        // At most one datagram per millisecond is sent to a member, so the uptime in milliseconds is above all
        // sequence numbers that were sent before the member was forgotten.
        let last_sent_sequence = self.clock.uptime_us(now_us) / 1_000;
        self.peers
            .entry(name.into())
            .or_insert_with(|| Peer::new(updates_per_s, last_sent_sequence))
    }
}

/// Returns the update of a member in the form in which it is sent to others.
pub(super) fn member_update(entry: &MemberEntry, now_us: u64) -> MemberUpdate {
    let age_s = if entry.record.is_present() {
        0
    } else {
        now_us.saturating_sub(entry.since_us) / 1_000_000
    };
    MemberUpdate {
        record: entry.record.clone(),
        age_s: u32::try_from(age_s).unwrap_or(u32::MAX),
        suspectors: entry.suspectors.clone(),
    }
}
