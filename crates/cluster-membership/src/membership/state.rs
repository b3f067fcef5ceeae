//! The data of the state machine, with its constructor, accessors and setters.

use super::config::MembershipConfig;
use super::invalid_seal_limiter::InvalidSealLimiter;
use super::log_limiter::LogLimiter;
use super::output::Output;
use super::peer::{last_received_at_us, Peer};
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

/// Replies per second to unproven datagrams, which may be replayed.
const MAX_UNPROVEN_REPLIES_PER_S: f64 = 100.0;

/// The status of one member, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// Latest record of the member.
    pub record: MemberRecord,
    /// Microseconds of running time since a datagram was last received directly from the member; `None` if never.
    pub since_received_us: Option<u64>,
}

/// A probe in flight on behalf of another member.
pub(super) struct RelayedPing {
    /// Name of the member that requested the probe.
    pub requester: String,
    /// The requester's number of the probe, to be acknowledged to it.
    pub requester_ping: u32,
    /// When the probe is abandoned, in microseconds of running time.
    pub expires_at_us: u64,
}

/// The state machine of this process as a member of the cluster.
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
    /// Probes in flight on behalf of other members, by this member's number of the probe.
    pub(super) relayed_pings: BTreeMap<u32, RelayedPing>,
    /// Numbers of the gateways from which, since the last tick, a datagram arrived that completes this member's
    /// knowledge of their own usage.
    pub(super) fully_reported: BTreeSet<u32>,
    /// Gateway numbers of the present members from which no datagrams arrive directly.
    pub(super) silent_gateways: Vec<u16>,
    /// Gateway numbers in the last [`Output::GatewaysAbsent`].
    pub(super) absent_gateways: Vec<u32>,
    pub(super) invalid_seals: InvalidSealLimiter,
    pub(super) byte_budget: TokenBucket,
    pub(super) datagram_budget: TokenBucket,
    pub(super) unproven_replies: TokenBucket,
    pub(super) log_limiter: LogLimiter,
    pub(super) next_seed_contact_at_us: u64,
    pub(super) next_comparison_at_us: u64,
    /// Whether the member table can be relied on: a datagram of another member was accepted, or there is no seed but
    /// this member.
    pub(super) has_joined: bool,
    /// Whether a later process is running under this member's name. This process then neither sends nor handles
    /// datagrams.
    pub is_superseded: bool,
    /// Whether [`Membership::leave`] was called.
    pub(super) has_left: bool,
}

impl Membership {
    /// Creates a member in the phase [`LifecyclePhase::Joining`]. It sends nothing before the first tick.
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
            usage: UsageGossip::new(instance, config.gateway_count, config.max_usage_counters),
            gauges: Gauges::default(),
            rng,
            peers: BTreeMap::new(),
            relayed_pings: BTreeMap::new(),
            fully_reported: BTreeSet::new(),
            silent_gateways: Vec::new(),
            absent_gateways: Vec::new(),
            invalid_seals: InvalidSealLimiter::new(),
            byte_budget: TokenBucket::new(config.bytes_per_s as f64),
            datagram_budget: TokenBucket::new(config.messages_per_s as f64),
            unproven_replies: TokenBucket::new(MAX_UNPROVEN_REPLIES_PER_S),
            log_limiter: LogLimiter::new(),
            next_seed_contact_at_us: 0,
            next_comparison_at_us: 0,
            has_joined: config.seeds.iter().all(|seed| *seed == config.advertise),
            is_superseded: false,
            has_left: false,
            config,
        }
    }

    /// Returns the record of this member.
    pub fn own_record(&self) -> &MemberRecord {
        self.table.own_record()
    }

    /// Returns the summary of the set of ready members.
    pub fn view(&self) -> &View {
        self.table.view()
    }

    /// Returns region, zone and name of each ready member, sorted by these three.
    pub fn ready_members(&self) -> Vec<(&str, &str, &str)> {
        self.table.ready_members()
    }

    /// Iterates over all known members, including this one.
    pub fn members(&self) -> impl Iterator<Item = MemberStatus> + '_ {
        self.table.records().map(|record| MemberStatus {
            record: record.clone(),
            since_received_us: self.time_since_received_us(&record.name),
        })
    }

    /// Iterates over the names of all other present members.
    pub fn present_members(&self) -> impl Iterator<Item = &str> {
        self.table
            .present_others()
            .map(|record| record.name.as_str())
    }

    /// Returns the usage of all gateways.
    pub fn usage(&self) -> &UsageGossip {
        &self.usage
    }

    /// Returns all gauges of another member; `None` if nothing was exchanged with the member.
    pub fn gauges(&self, member: &str) -> Option<&Gauges> {
        self.peers.get(member).map(|peer| &peer.gauges)
    }

    /// Returns a gauge of a member, and when it was measured, in microseconds of this member's clock.
    pub fn gauge(&self, member: &str, name: &str) -> Option<(f64, u64)> {
        if member == self.config.name {
            self.gauges.get(name)
        } else {
            self.gauges(member)?.get(name)
        }
    }

    /// Records that this gateway admitted `units` of the customer `tag`.
    pub fn record_usage(&mut self, tag: u32, units: f64) {
        self.usage.record_own(tag, units);
    }

    /// Sets one of this member's gauges to a value measured at `now_us`. Returns whether the gauge is in bounds (see
    /// [`Gauges::set`]).
    pub fn set_gauge(&mut self, now_us: u64, name: &str, value: f64) -> bool {
        self.gauges.set(now_us, name, value)
    }

    /// Stops publishing one of this member's gauges.
    pub fn clear_gauge(&mut self, name: &str) {
        self.gauges.clear(name);
    }

    /// Replaces the keys that seal and open datagrams.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Publishes a new lifecycle phase of this member, unless the member has left.
    pub fn set_phase(&mut self, now_us: u64, phase: LifecyclePhase) {
        if self.own_record().phase != phase && !self.has_left {
            self.table.publish_own(now_us, phase, 0);
        }
    }

    /// Returns the running time since a datagram was last received directly from a member, in microseconds; `None` if
    /// never.
    fn time_since_received_us(&self, name: &str) -> Option<u64> {
        let last_received_at_us = last_received_at_us(&self.peers, name);
        (last_received_at_us > 0)
            .then(|| self.clock.running_us().saturating_sub(last_received_at_us))
    }

    /// Outputs a log line, unless the rate limit of log lines is exceeded.
    pub(super) fn log(&mut self, now_us: u64, line: String, outputs: &mut Vec<Output>) {
        if self.log_limiter.admit(now_us) {
            outputs.push(Output::Log(line));
        }
    }
}

/// Returns the first record of this member.
fn own_record(config: &MembershipConfig, instance_id: u64) -> MemberRecord {
    MemberRecord {
        name: config.name.clone(),
        number: config.number,
        zone: config.zone.clone(),
        region: config.region.clone(),
        address: config.advertise,
        instance_id,
        incarnation: config.started_at_unix_ms.max(1),
        phase: LifecyclePhase::Joining,
        liveness: Liveness::Alive,
        program: config.program.clone(),
    }
}
