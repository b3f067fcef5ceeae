//! The data of a member, and what is read and set from outside.

use super::config::MembershipConfig;
use super::invalid_seal_limiter::InvalidSealLimiter;
use super::log_limiter::LogLimiter;
use super::output::Output;
use super::peer::{heard_at_us, Peer};
use super::run_clock::RunClock;
use crate::failure_detector::FailureDetector;
use crate::gauges::Gauges;
use crate::member_table::{MemberTable, View};
use crate::record::{LifecyclePhase, Liveness, MemberRecord};
use crate::seal::Keys;
use crate::token_bucket::TokenBucket;
use crate::usage_counters::InstanceKey;
use crate::usage_gossip::UsageGossip;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Replies per second to senders that have not proven that they are not replayed.
const MAX_UNPROVEN_REPLIES_PER_S: f64 = 100.0;

/// One member, as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// Its record.
    pub record: MemberRecord,
    /// Microseconds since it was last heard itself; `None`: never.
    pub heard_us: Option<u64>,
}

/// A probe made on behalf of another member.
pub(super) struct RelayedPing {
    /// Name of the member that asked for it.
    pub requester: String,
    /// The number under which that member expects the acknowledgement.
    pub requester_ping: u32,
    /// When it is given up, in microseconds of running time.
    pub expires_at_us: u64,
}

/// This process as a member of the cluster.
pub struct Membership {
    pub(super) config: MembershipConfig,
    pub(super) keys: Keys,
    pub(super) instance_id: u64,
    pub(super) rng: Pcg64Mcg,
    pub(super) clock: RunClock,
    pub(super) table: MemberTable,
    pub(super) detector: FailureDetector,
    pub(super) usage: UsageGossip,
    pub(super) gauges: Gauges,
    pub(super) peers: BTreeMap<String, Peer>,
    /// Probes made on behalf of others, by our number for them.
    pub(super) relayed_pings: BTreeMap<u32, RelayedPing>,
    /// Numbers of the gateways that have reported all of their own usage since the last tick.
    pub(super) fully_reported: BTreeSet<u32>,
    /// Numbers of the members that are not heard directly.
    pub(super) unheard_gateways: Vec<u16>,
    /// Numbers that no gateway uses, as last reported.
    pub(super) absent_gateways: Vec<u32>,
    pub(super) invalid_seals: InvalidSealLimiter,
    pub(super) byte_budget: TokenBucket,
    pub(super) message_budget: TokenBucket,
    pub(super) unproven_replies: TokenBucket,
    pub(super) log_limiter: LogLimiter,
    pub(super) next_seed_contact_at_us: u64,
    pub(super) next_sync_at_us: u64,
    /// Whether the table is of use: another member was heard, or there are no seeds.
    pub(super) has_joined: bool,
    /// Whether a later process runs under this name. This one then neither sends nor receives.
    pub superseded: bool,
    pub(super) has_left: bool,
}

impl Membership {
    /// A member that is joining. It does nothing before the first tick.
    pub fn new(config: MembershipConfig, keys: Keys) -> Membership {
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let instance_id = rng.next_u64() | 1;
        let own_record = own_record(&config, instance_id);
        let instance = InstanceKey {
            gateway: config.number,
            instance_id,
        };
        Membership {
            keys,
            instance_id,
            clock: RunClock::new(&config),
            table: MemberTable::new(own_record, config.max_members.max(2), config.forget_us),
            detector: FailureDetector::new(config.probe_interval_us, rng.next_u64()),
            usage: UsageGossip::new(instance, config.gateways, config.max_entries),
            gauges: Gauges::default(),
            rng,
            peers: BTreeMap::new(),
            relayed_pings: BTreeMap::new(),
            fully_reported: BTreeSet::new(),
            unheard_gateways: Vec::new(),
            absent_gateways: Vec::new(),
            invalid_seals: InvalidSealLimiter::new(),
            byte_budget: TokenBucket::new(config.bytes_per_s as f64),
            message_budget: TokenBucket::new(config.messages_per_s as f64),
            unproven_replies: TokenBucket::new(MAX_UNPROVEN_REPLIES_PER_S),
            log_limiter: LogLimiter::new(),
            next_seed_contact_at_us: 0,
            next_sync_at_us: 0,
            has_joined: config.seeds.iter().all(|seed| *seed == config.advertise),
            superseded: false,
            has_left: false,
            config,
        }
    }

    /// The record of this member.
    pub fn own_record(&self) -> &MemberRecord {
        self.table.own_record()
    }

    /// The set of ready members.
    pub fn view(&self) -> &View {
        self.table.view()
    }

    /// Region, zone and name of the ready members, sorted in this order.
    pub fn ready_members(&self) -> Vec<(&str, &str, &str)> {
        self.table.ready_members()
    }

    /// All known members, this one included.
    pub fn members(&self) -> impl Iterator<Item = MemberStatus> + '_ {
        self.table.records().map(|record| MemberStatus {
            record: record.clone(),
            heard_us: self.unheard_for_us(&record.name),
        })
    }

    /// Names of all other members that are present.
    pub fn present_members(&self) -> impl Iterator<Item = &str> {
        self.table
            .present_others()
            .map(|record| record.name.as_str())
    }

    /// The usage of all gateways.
    pub fn usage(&self) -> &UsageGossip {
        &self.usage
    }

    /// All gauges of another member; `None` if nothing was exchanged with it.
    pub fn gauges(&self, member: &str) -> Option<&Gauges> {
        self.peers.get(member).map(|peer| &peer.gauges)
    }

    /// A gauge of a member, and when it was measured by this member's clock.
    pub fn gauge(&self, member: &str, name: &str) -> Option<(f64, u64)> {
        if member == self.config.name {
            self.gauges.get(name)
        } else {
            self.gauges(member)?.get(name)
        }
    }

    /// Records that this gateway admitted units of a customer.
    pub fn record_usage(&mut self, tag: u32, units: f64) {
        self.usage.record_own(tag, units);
    }

    /// Sets one of this member's gauges, measured at `now_us`. Returns whether it is in bounds (see [`Gauges::set`]).
    pub fn set_gauge(&mut self, now_us: u64, name: &str, value: f64) -> bool {
        self.gauges.set(now_us, name, value)
    }

    /// Stops publishing one of this member's gauges.
    pub fn clear_gauge(&mut self, name: &str) {
        self.gauges.clear(name);
    }

    /// Replaces the cluster's keys.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Publishes the phase of this member, unless it has left.
    pub fn set_phase(&mut self, now_us: u64, phase: LifecyclePhase) {
        if self.own_record().phase != phase && !self.has_left {
            self.table.publish_own(now_us, phase, 0);
        }
    }

    /// Microseconds of running time since a member was last heard itself; `None`: never.
    fn unheard_for_us(&self, name: &str) -> Option<u64> {
        let heard_at_us = heard_at_us(&self.peers, name);
        (heard_at_us > 0).then(|| self.clock.running_us().saturating_sub(heard_at_us))
    }

    /// Outputs a log line, unless there are too many.
    pub(super) fn log(&mut self, now_us: u64, line: String, outputs: &mut Vec<Output>) {
        if self.log_limiter.admit(now_us) {
            outputs.push(Output::Log(line));
        }
    }
}

fn own_record(config: &MembershipConfig, instance_id: u64) -> MemberRecord {
    MemberRecord {
        name: config.name.clone(),
        number: config.number,
        zone: config.zone.clone(),
        region: config.region.clone(),
        address: config.advertise,
        instance_id,
        incarnation: config.started_ms.max(1),
        phase: LifecyclePhase::Joining,
        liveness: Liveness::Alive,
        program: config.program.clone(),
    }
}
