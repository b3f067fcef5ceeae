//! Configuration of a member.

use std::net::SocketAddr;

/// Percentage of the message budget that is for periodic updates; the rest is for probes, replies and anti-entropy.
const UPDATE_BUDGET_PERCENT: u64 = 85;
/// Usage reports remain valid for this many update intervals, since some datagrams may be lost.
const REPORT_TTL_INTERVALS: u64 = 6;
/// Shortest time for which usage reports remain valid.
const MIN_REPORT_TTL_US: u64 = 300_000;

/// What a member is configured with.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Name, unique in the cluster and stable across restarts.
    pub name: String,
    /// Number of this gateway.
    pub number: u16,
    /// How many gateway numbers there are.
    pub gateways: u16,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Version of the program.
    pub program: String,
    /// Address at which the other members reach this one.
    pub advertise: SocketAddr,
    /// Addresses of members to join by.
    pub seeds: Vec<SocketAddr>,
    /// How often each other member is sent an update; less often where the budgets do not suffice.
    pub update_interval_us: u64,
    /// Interval between probes.
    pub probe_interval_us: u64,
    /// Budget of bytes sent.
    pub bytes_per_s: u64,
    /// Budget of datagrams sent.
    pub messages_per_s: u64,
    /// Upper bound of the usage counters that are retained.
    pub max_entries: usize,
    /// Upper bound of the members in the table.
    pub max_members: usize,
    /// How long a member that is dead or has left is remembered.
    pub forget_us: u64,
    /// Milliseconds since 1970 at the start: a later process under the same name has more.
    pub started_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl MembershipConfig {
    /// How often each of this many other members is sent an update, as far as the message budget allows.
    pub(super) fn interval_for_members_us(&self, others: usize) -> u64 {
        let updates_per_s = (self.messages_per_s * UPDATE_BUDGET_PERCENT / 100).max(1);
        self.update_interval_us
            .max(others as u64 * 1_000_000 / updates_per_s)
    }

    /// How long the usage reported by a gateway remains valid without a new report.
    pub fn usage_report_ttl_us(&self) -> u64 {
        let others = usize::from(self.gateways.saturating_sub(1));
        (self.interval_for_members_us(others) * REPORT_TTL_INTERVALS).max(MIN_REPORT_TTL_US)
    }
}
