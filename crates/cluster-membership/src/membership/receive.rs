//! Handling of received datagrams: authentication, replay protection, and all contents other than member updates.

use super::member_updates::NameClaim;
use super::output::Output;
use super::send::{member_update, DatagramContent};
use super::state::Membership;
use crate::gauges::GaugeSnapshot;
use crate::session::{DatagramIdentity, DatagramVerdict};
use crate::usage_counters::InstanceKey;
use crate::wire::{
    DatagramBody, DatagramHeader, MemberUpdate, UsageGroup, MAX_PROBES_PER_DATAGRAM,
};
use std::net::SocketAddr;

/// Upper bound of the remembered peers, as a multiple of the maximum number of members, since some peers are not in
/// the member table.
const MAX_PEERS_PER_MEMBER: usize = 2;

impl Membership {
    /// Handles a datagram received from the address `from`.
    pub fn handle_datagram(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        bytes: &[u8],
        outputs: &mut Vec<Output>,
    ) {
        if self.is_superseded {
            return;
        }
        self.clock.observe_datagram(now_us);
        let Some(body) = self.open(now_us, from, bytes) else {
            return;
        };
        if body.header.from == self.config.name {
            // Either this process's own datagram, or one from another process under the same name.
            if body.header.instance_id != self.instance_id {
                let claim = NameClaim {
                    incarnation: body.header.incarnation,
                    instance_id: body.header.instance_id,
                    is_present: true,
                };
                self.handle_name_claim(now_us, claim, outputs);
            }
            return;
        }
        let Some(verdict) = self.classify_datagram(now_us, &body.header) else {
            return;
        };
        match verdict {
            DatagramVerdict::Accepted => {}
            DatagramVerdict::AcceptedNewInstance => self.record_new_instance(now_us, &body),
            DatagramVerdict::Duplicate => return,
            DatagramVerdict::Unproven => {
                self.reply_to_unproven(now_us, &body.header, from, None, outputs);
                return;
            }
            DatagramVerdict::Replaced => {
                // The reply is addressed to the replaced instance, so that its process learns that another one has
                // its name.
                let replaced = Some(body.header.instance_id);
                self.reply_to_unproven(now_us, &body.header, from, replaced, outputs);
                return;
            }
        }
        self.has_joined = true;
        self.handle_body(now_us, body, outputs);
    }

    /// Opens and decodes a datagram; returns `None` if its seal or body is invalid, or if its source exceeds the
    /// limit of invalid datagrams.
    fn open(&mut self, now_us: u64, from: SocketAddr, bytes: &[u8]) -> Option<DatagramBody> {
        if !self.invalid_seals.admit(now_us, from) {
            return None;
        }
        let body = self.keys.open(bytes).and_then(DatagramBody::decode);
        if body.is_none() {
            self.invalid_seals.record_invalid(now_us, from);
        }
        body
    }

    /// Records a datagram in the session of its sender and returns the verdict; `None` if there are too many peers,
    /// or if this sender exceeds its rate limit.
    fn classify_datagram(
        &mut self,
        now_us: u64,
        header: &DatagramHeader,
    ) -> Option<DatagramVerdict> {
        let max_peers = self.config.max_members * MAX_PEERS_PER_MEMBER;
        if !self.peers.contains_key(&header.from) && self.peers.len() >= max_peers {
            return None;
        }
        let running_us = self.clock.running_us();
        let own_instance_id = self.instance_id;
        let peer = self.peer_mut(now_us, &header.from);
        peer.last_datagram_at_us = running_us;
        if !peer.received.try_take(now_us, 1.0) {
            return None;
        }
        let identity = DatagramIdentity {
            to_instance_id: header.to_instance_id,
            instance_id: header.instance_id,
            incarnation: header.incarnation,
            sequence: header.sequence,
        };
        Some(peer.session.receive(own_instance_id, identity))
    }

    /// Resets the exchange with a sender whose new instance was accepted, and records when this instance became known.
    fn record_new_instance(&mut self, now_us: u64, body: &DatagramBody) {
        let sender = &body.header.from;
        if let Some(peer) = self.peers.get_mut(sender) {
            peer.reset_for_new_instance();
        }
        let own_update = body.members.iter().find(|m| m.record.name == *sender);
        let record = own_update
            .map(|update| &update.record)
            .or(self.table.record(sender));
        if let Some(record) = record {
            let instance = InstanceKey {
                gateway: record.number,
                instance_id: body.header.instance_id,
            };
            self.usage.record_instance(now_us, instance);
        }
    }

    /// Sends this member's record to the sender of an unproven datagram, so that the sender learns the current
    /// instance.
    fn reply_to_unproven(
        &mut self,
        now_us: u64,
        header: &DatagramHeader,
        address: SocketAddr,
        replaced_instance_id: Option<u64>,
        outputs: &mut Vec<Output>,
    ) {
        if self.unproven_replies.try_take(now_us, 1.0) {
            let content = DatagramContent {
                replaced_instance_id,
                ..DatagramContent::own_record()
            };
            self.send_to(now_us, &header.from, address, content, outputs);
        }
    }

    /// Handles the contents of a datagram from a proven instance.
    fn handle_body(&mut self, now_us: u64, body: DatagramBody, outputs: &mut Vec<Output>) {
        // The tables are compared before this datagram's updates change the local one.
        let differing = self.differing_members(now_us, &body.header.bucket_digests);
        for update in body.members {
            self.apply_member_update(now_us, update, outputs);
        }
        let header = body.header;
        if !self.peers.contains_key(&header.from) {
            return;
        }
        self.record_exchange(now_us, &header, body.gauges, body.usage);
        self.reply_to_requests(now_us, &header, differing, outputs);
        if !body.message.is_empty() {
            outputs.push(Output::MessageReceived {
                from: header.from,
                bytes: body.message,
            });
        }
    }

    /// Records the time of receipt, what the sender has received from this member, and the sender's gauges and usage.
    fn record_exchange(
        &mut self,
        now_us: u64,
        header: &DatagramHeader,
        gauges: GaugeSnapshot,
        usage: Vec<UsageGroup>,
    ) {
        let Some(peer) = self.peers.get_mut(&header.from) else {
            return;
        };
        peer.session.last_received_at_us = self.clock.running_us().max(1);
        peer.usage
            .wanted_gateways
            .clone_from(&header.wanted_gateways);
        let last_usage_change = self.usage.counters().last_change();
        let usage_acked = peer.usage.acked.max(header.usage_received);
        peer.usage.acked = usage_acked.min(last_usage_change);
        let gauges_acked = peer.gauges_acked.max(header.gauges_received);
        peer.gauges_acked = gauges_acked.min(self.gauges.version);
        peer.gauges.replace_if_later(now_us, gauges);
        if header.ping != 0 && peer.pending_acks.len() < MAX_PROBES_PER_DATAGRAM {
            peer.pending_acks.push(header.ping);
        }
        self.usage.merge(now_us, usage);
        if header.usage_after > peer.usage.received {
            // A datagram with earlier changes was lost or is late, so the changes in this one are not acknowledged yet.
            return;
        }
        peer.usage.received = peer.usage.received.max(header.usage_up_to);
        if header.is_usage_complete && !self.clock.is_catching_up() {
            let gateway = self
                .table
                .record(&header.from)
                .filter(|record| record.instance_id == header.instance_id)
                .map(|record| u32::from(record.number));
            self.fully_reported.extend(gateway);
        }
    }

    /// Handles the acknowledgements, probe requests, probe and table comparison in a datagram's header.
    fn reply_to_requests(
        &mut self,
        now_us: u64,
        header: &DatagramHeader,
        differing: Vec<MemberUpdate>,
        outputs: &mut Vec<Output>,
    ) {
        for ack in &header.acks {
            self.handle_ack(now_us, *ack, outputs);
        }
        for request in &header.indirect_pings {
            self.relay_ping(now_us, &header.from, request, outputs);
        }
        if header.ping != 0 {
            self.send(now_us, &header.from, DatagramContent::default(), outputs);
        }
        if !header.bucket_digests.is_empty() {
            self.send_differing(
                now_us,
                &header.from,
                differing,
                header.wants_digests,
                outputs,
            );
        }
    }

    /// Returns updates of all members in the buckets that differ from the sender's; none if `digests` is empty.
    fn differing_members(&self, now_us: u64, digests: &[u32]) -> Vec<MemberUpdate> {
        if digests.is_empty() {
            return Vec::new();
        }
        self.table
            .entries_in_differing_buckets(digests)
            .into_iter()
            .map(|entry| member_update(entry, now_us))
            .collect()
    }
}
