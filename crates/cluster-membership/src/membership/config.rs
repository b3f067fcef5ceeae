//! Configuration of a member.

use std::net::SocketAddr;

/// Percentage of the datagram budget reserved for periodic updates; the rest is for probes, replies and anti-entropy.
const UPDATE_BUDGET_PERCENT: u64 = 85;
/// How long a usage report remains valid, in update intervals: more than one, since datagrams may be lost.
const REPORT_TTL_INTERVALS: u64 = 6;
/// Shortest time for which a usage report remains valid.
const MIN_REPORT_TTL_US: u64 = 300_000;

/// Configuration of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Name of the member, unique in the cluster and stable across restarts.
    pub name: String,
    /// Number of this gateway.
    pub number: u16,
    /// Number of gateways; their numbers are below this.
    pub gateway_count: u16,
    /// Availability zone of the member.
    pub zone: String,
    /// Region of the member.
    pub region: String,
    /// Version of the program that the member runs.
    pub program: String,
    /// Address at which the other members reach this one.
    pub advertise: SocketAddr,
    /// Addresses of members to contact in order to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Interval between updates to the same member, in microseconds; longer where the budgets do not suffice.
    pub update_interval_us: u64,
    /// Interval between probes, in microseconds.
    pub probe_interval_us: u64,
    /// Budget of bytes sent per second.
    pub bytes_per_s: u64,
    /// Budget of datagrams sent per second.
    pub messages_per_s: u64,
    /// Upper bound of the retained usage counters.
    pub max_usage_counters: usize,
    /// Upper bound of the members in the table.
    pub max_members: usize,
    /// How long a member that is dead or has left is remembered, in microseconds.
    pub forget_us: u64,
    /// Time of the start in milliseconds since 1970. A later process under the same name has a higher value.
    pub started_at_unix_ms: u64,
    /// Seed of all random choices of the member.
    pub seed: u64,
}

impl MembershipConfig {
    /// Returns the interval between updates to the same member in microseconds, stretched so that updates to `others`
    /// members stay within the datagram budget.
    pub(super) fn scaled_update_interval_us(&self, others: usize) -> u64 {
        let updates_per_s = (self.messages_per_s * UPDATE_BUDGET_PERCENT / 100).max(1);
        self.update_interval_us
            .max(others as u64 * 1_000_000 / updates_per_s)
    }

    /// Returns how long the usage reported by a gateway remains valid without a new report, in microseconds.
    pub fn usage_report_ttl_us(&self) -> u64 {
        let others = usize::from(self.gateway_count.saturating_sub(1));
        (self.scaled_update_interval_us(others) * REPORT_TTL_INTERVALS).max(MIN_REPORT_TTL_US)
    }
}
