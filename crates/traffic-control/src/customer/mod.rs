//! State of one customer at this gateway: its usage, and what is left of its quota. The quota is a token bucket,
//! the store, that all gateways share. State and its arithmetic only; decisions on requests are in `policy`.

mod concurrency;
mod counter_sync;
mod estimate;
mod reports;
mod store;
#[cfg(test)]
mod tests;

pub(crate) use concurrency::AttemptChange;
pub(crate) use estimate::{QuotaDecision, GUESS_COST_FACTOR};
pub(crate) use reports::RESERVATION_TIMEOUT_US;

use crate::concurrency_permits::ConcurrencyPermits;
use crate::counter::{PermitDigits, UsageLedger};
use crate::decaying_sum::{DecayingSum, DEMAND_TIME_CONSTANT_US};
use crate::interface::{Ceiling, Micros, RequestId, Settings};
use crate::quota::Quota;
use crate::shares::BucketShares;
use std::collections::VecDeque;

/// Ratio of ceiling to quota from which the ceiling is held as two parts: the quota, and what is above it.
const SEPARATE_CEILING_FACTOR: f64 = 1.5;
/// Weight of the newest interval between two requests in the mean interval.
const MEAN_GAP_WEIGHT: f64 = 0.5;
/// Time for which a synced level is used; after that the gateway uses its share by the meter, at least the even
/// slice.
const SYNC_TIMEOUT_US: Micros = 1_500_000;

/// The gateways at which a customer's requests arrive, and the one that adds up its usage.
#[derive(Clone, Copy)]
pub(crate) struct CustomerPlacement {
    /// Hash of the customer's name.
    pub tag: u32,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Number of gateways in the customer's set.
    pub gateway_count: u32,
    /// Gateway that adds up the customer's usage where there is no counter.
    pub owner: u32,
    /// Position of this gateway in the set; at or above `gateway_count`, it is not in the set.
    pub position: u32,
}

/// One customer's state at this gateway.
#[derive(Default)]
pub(crate) struct Customer {
    /// Hash of the customer's name.
    pub tag: u32,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Number of gateways in the customer's set.
    pub gateway_count: u32,
    /// First gateway of the set; the others follow it in index order, wrapping around.
    pub first_gateway: u32,
    /// Gateway that adds up the customer's usage where there is no counter.
    pub owner: u32,
    /// Whether this gateway adds up the customer's usage: as its owner, or as the only gateway of the set.
    pub is_owner: bool,

    /// Units or permits left for this gateway: the store's level while synced, else the level of the gateway's
    /// slice.
    pub level: f64,
    /// Units in this gateway's slice of the ceiling.
    pub ceiling_level: f64,
    /// Time of the last refill of the level and of the ceiling slice.
    pub refilled_at: Micros,
    /// Time at which the level was last taken from the counter or the owner.
    pub synced_at: Option<Micros>,
    /// Units or permits used and not yet reported; negative: reported and not used.
    pub unreported: f64,
    /// Units that the count contains for this gateway's next requests, as far as the store held them at the last
    /// sync.
    pub reserved_units: f64,
    /// Units by which the call in flight corrects the count.
    pub count_correction: f64,
    /// Time since which the level by the count has been below minus the capacity; `None` while it is not.
    pub overcounted_since: Option<Micros>,
    /// Evidence about the customer's usage beside the counter's totals.
    pub ledger: UsageLedger,

    /// Time of the customer's last request.
    pub active_at: Micros,
    /// Mean interval between the customer's requests at this gateway.
    pub mean_gap_us: f64,
    /// Recent demand at this gateway, in units.
    pub demand: DecayingSum,
    /// Recent demand at the other gateways, as far as it was reported, in units.
    pub others_demand: DecayingSum,

    /// Number of times that the present call to the counter or the owner was sent; 0 if none is in flight. It is 1
    /// while the waiting requests are decided, so that nothing is reported meanwhile.
    pub query_attempts: u8,
    /// Requests that wait for the reply to the query.
    pub waiting_requests: Vec<RequestId>,
    /// Whether a timer is set that reports unreported usage.
    pub report_scheduled: bool,

    /// Time until which the other gateways' usage reports are valid.
    pub peer_reports_until: Micros,
    /// Units used at this gateway since these reports.
    pub used_since_reports: f64,
    /// Shares of the store while some gateways of the set are silent.
    pub shares: BucketShares,

    /// Number of the customer's attempts in flight at this gateway.
    pub open_attempts: u32,
    /// Spare permits, and the use of permits by the other gateways.
    pub permits: ConcurrencyPermits,
    /// Encoding of the permits in the count; `None`: they are counted as one sum.
    pub permit_digits: Option<PermitDigits>,
    /// Epoch in which the open attempts were last reported to the count.
    pub reported_epoch: u64,
    /// As owner, the times at which the permits granted to other gateways lapse.
    pub granted_permits: VecDeque<Micros>,
}

impl Customer {
    /// Creates the state of a customer that was not known yet, with an empty bucket that fills since `at`.
    pub fn new(
        placement: &CustomerPlacement,
        quota: &Quota,
        settings: &Settings,
        at: Micros,
    ) -> Self {
        let gateways = settings.gateways;
        Customer {
            tag: placement.tag,
            gateway_count: placement.gateway_count,
            refilled_at: at,
            permit_digits: PermitDigits::new(
                quota.capacity,
                placement.gateway_count,
                placement.position,
            )
            .filter(|_| quota.limits_concurrency && settings.has_counter),
            first_gateway: (settings.gateway_index + gateways - placement.position) % gateways,
            ledger: UsageLedger::new(quota.rate_per_s),
            ..Customer::default()
        }
    }

    /// Whether the level accounts for the usage of all gateways; otherwise it is that of this gateway's slice.
    pub fn is_synced(&self, now: Micros) -> bool {
        let is_recent = self
            .synced_at
            .is_some_and(|at| now.saturating_sub(at) <= SYNC_TIMEOUT_US);
        self.is_owner
            || self.follows_peer_reports(now)
            || is_recent && !self.ledger.totals_are_unreliable(now)
    }

    /// Whether the level was synced at `now`, not only recently.
    pub fn is_synced_now(&self, now: Micros) -> bool {
        self.synced_at == Some(now)
    }

    /// Sets the level to one that the counter or the owner reported.
    pub fn sync_level(&mut self, level: f64, now: Micros) {
        self.level = level;
        self.synced_at = Some(now);
        self.refilled_at = now;
    }

    /// Whether an even slice of the store is less than the largest request.
    pub fn has_undersized_slice(&self, quota: &Quota) -> bool {
        quota.capacity < quota.max_request_units * f64::from(self.gateway_count)
    }

    /// Whether the fleet is large and its gateways learn each other's usage from at most the counter or the meter,
    /// where the customer uses more than one gateway or its quota limits concurrency.
    pub fn lacks_usage_reports(&self, quota: &Quota) -> bool {
        quota.is_counter_only && (quota.limits_concurrency || self.gateway_count > 1)
    }

    /// Whether the ceiling is so far above the quota that the part above the quota is held separately.
    pub fn has_separate_ceiling(&self, quota: &Quota) -> bool {
        let is_far_above = |ceiling: Ceiling| {
            ceiling.depth >= SEPARATE_CEILING_FACTOR * quota.capacity
                && ceiling.rate >= SEPARATE_CEILING_FACTOR * quota.rate_per_s
        };
        quota.has_counter
            && self.lacks_usage_reports(quota)
            && quota.ceiling.is_some_and(is_far_above)
    }

    /// Returns this gateway's share of the recent demand at all gateways; 0 without any demand.
    pub fn demand_share(&self, now: Micros) -> f64 {
        let own = self.demand.at(now, DEMAND_TIME_CONSTANT_US);
        let others = self.others_demand.at(now, DEMAND_TIME_CONSTANT_US);
        if own + others > 0.0 {
            own / (own + others)
        } else {
            0.0
        }
    }

    /// Whether all reachable gateways of the set report their usage, and the level follows these reports: what they
    /// do not report may be used here, less what is set aside for the silent ones.
    pub fn follows_peer_reports(&self, now: Micros) -> bool {
        now < self.peer_reports_until
    }

    /// Records that the other gateways have reported all their usage, and that these reports are valid until
    /// `until`.
    pub fn extend_peer_reports(&mut self, until: Micros) {
        if until > self.peer_reports_until {
            self.peer_reports_until = until;
            self.used_since_reports = 0.0;
        }
    }

    /// Returns how many times its quota the customer uses, by the meter. Without a counter nothing else shows that,
    /// so a reading is used for longer if requests are rare.
    pub fn overuse_factor(&self, quota: &Quota, now: Micros) -> f64 {
        let gap_us = if quota.has_counter {
            0.0
        } else {
            self.mean_gap_us
        };
        self.ledger.overuse_factor_for_gap(now, gap_us)
    }

    /// Records a new request of `units`.
    pub fn record_demand(&mut self, now: Micros, units: f64) {
        if self.active_at > 0 {
            let gap_us = now.saturating_sub(self.active_at) as f64;
            self.mean_gap_us += MEAN_GAP_WEIGHT * (gap_us - self.mean_gap_us);
        }
        self.demand.add(now, DEMAND_TIME_CONSTANT_US, units);
        self.active_at = now;
    }

    /// Records units used at this gateway, within the quota or beyond it.
    pub fn record_usage(&mut self, now: Micros, units: f64, is_within_quota: bool) {
        if is_within_quota {
            self.level -= units;
            self.unreported += units;
            self.used_since_reports += units;
            self.reserved_units = (self.reserved_units - units).max(0.0);
        }
        self.ledger.record_own_usage(now, units);
    }

    /// Charges the `excess_units` by which a request's units exceeded their estimate; negative if they were fewer.
    pub fn settle_units(&mut self, excess_units: f64) {
        self.level -= excess_units;
        self.unreported += excess_units;
    }
}
