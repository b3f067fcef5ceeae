//! What this gateway knows of one customer's use and of what is left of its quota. State and the arithmetic of its
//! stores; what follows for a request is decided in `policy`.

mod concurrency;
mod counter_sync;
mod estimate;
mod reports;
mod store;
#[cfg(test)]
mod tests;

pub(crate) use concurrency::AttemptChange;
pub(crate) use estimate::{QuotaDecision, GUESS_COST_FACTOR};
pub(crate) use reports::RESERVATION_US;

use crate::concurrency_permits::ConcurrencyPermits;
use crate::counter::{PermitDigits, UsageLedger};
use crate::decaying_sum::{DecayingSum, DEMAND_TAU_US};
use crate::interface::{Ceiling, Micros, RequestId, Settings};
use crate::quota::Quota;
use crate::shares::StoreShares;
use std::collections::VecDeque;

/// A ceiling at least this many times the quota is held as two parts: the quota, and what is above it.
const SEPARATE_CEILING_FACTOR: f64 = 1.5;
/// Weight of the last time between two requests in their mean.
const MEAN_GAP_WEIGHT: f64 = 0.5;
/// A level that was synced counts this long; after that the even slice holds.
const SYNC_TIMEOUT_US: Micros = 1_500_000;

/// Where a customer's requests arrive, and who adds up its use.
#[derive(Clone, Copy)]
pub(crate) struct CustomerPlacement {
    pub tag: u32,
    /// Index of its plan.
    pub plan: usize,
    /// Gateways of its set.
    pub gateway_count: u32,
    /// The gateway that adds up its use, where there is no counter.
    pub owner: u32,
    /// Where this gateway stands in the set; at or past `gateway_count`: not of the set.
    pub position: u32,
}

/// One customer's state at this gateway.
#[derive(Default)]
pub(crate) struct Customer {
    pub tag: u32,
    /// Index of its plan.
    pub plan: usize,
    /// Gateways of its set.
    pub gateway_count: u32,
    /// The first gateway of its set; the others follow, counted round.
    pub first_gateway: u32,
    pub owner: u32,
    /// Whether this gateway adds up the customer's use: as its owner, or the only one that sees it.
    pub is_owner: bool,

    /// Units or permits in this gateway's bucket.
    pub level: f64,
    /// Units in this gateway's slice of the ceiling.
    pub ceiling_level: f64,
    pub refilled_at: Micros,
    /// When the level was last taken from the counter or the owner.
    pub synced_at: Option<Micros>,
    /// Used and not yet reported; negative: reported and not used.
    pub unreported: f64,
    /// Units that the counter holds for this gateway, and that were there.
    pub reserved_units: f64,
    /// What the call in flight corrects in the count.
    pub count_correction: f64,
    /// Since when the count has been out of step, below nothing.
    pub low_since: Option<Micros>,
    /// What else is known of its use.
    pub ledger: UsageLedger,

    /// When its last request came.
    pub active_at: Micros,
    /// Mean time between its requests here.
    pub mean_gap_us: f64,
    pub demand: DecayingSum,
    pub others_demand: DecayingSum,

    /// Attempts of the query that is in flight for this customer; 0: none.
    pub query_attempts: u8,
    /// Requests that wait for its reply.
    pub waiting_requests: Vec<RequestId>,
    /// Whether a timer will report what is unreported.
    pub report_scheduled: bool,

    /// Until when the other gateways' reports of their use count.
    pub peer_reports_until: Micros,
    /// Units used since these reports.
    pub used_since_reports: f64,
    /// Whose the store is while some gateways are silent.
    pub shares: StoreShares,

    pub open_attempts: u32,
    pub permits: ConcurrencyPermits,
    /// How permits are written in the count; `None`: as one sum.
    pub permit_digits: Option<PermitDigits>,
    /// The epoch in which its permits were last reported to the count.
    pub reported_epoch: u64,
    /// As owner: permits granted to other gateways, by when they lapse.
    pub granted_permits: VecDeque<Micros>,
}

impl Customer {
    /// A customer that was not known yet, with an empty bucket that fills since `at`.
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

    /// Whether its level goes by what all gateways used, and not by this one's slice.
    pub fn is_synced(&self, now: Micros) -> bool {
        let is_recent = self
            .synced_at
            .is_some_and(|at| now.saturating_sub(at) <= SYNC_TIMEOUT_US);
        self.is_owner
            || self.follows_peer_reports(now)
            || is_recent && !self.ledger.is_unreliable(now)
    }

    /// Whether its level was synced just now, not only recently.
    pub fn is_synced_now(&self, now: Micros) -> bool {
        self.synced_at == Some(now)
    }

    /// Takes a level that the counter or the owner reported.
    pub fn sync_level(&mut self, level: f64, now: Micros) {
        self.level = level;
        self.synced_at = Some(now);
        self.refilled_at = now;
    }

    /// Whether the even slice of the store is under one request.
    pub fn is_undersized(&self, quota: &Quota) -> bool {
        quota.capacity < quota.max_request_units * f64::from(self.gateway_count)
    }

    /// Whether its gateways are so many that each sees hardly any of its use, with at most the counter or the meter to
    /// report what the others use.
    pub fn is_sparse(&self, quota: &Quota) -> bool {
        quota.is_counter_only && (quota.limits_concurrency || self.gateway_count > 1)
    }

    /// Whether the ceiling is so far above the quota that the part above it is held separately.
    pub fn has_separate_ceiling(&self, quota: &Quota) -> bool {
        let is_far_above = |ceiling: Ceiling| {
            ceiling.depth >= SEPARATE_CEILING_FACTOR * quota.capacity
                && ceiling.rate >= SEPARATE_CEILING_FACTOR * quota.rate_per_s
        };
        quota.has_counter && self.is_sparse(quota) && quota.ceiling.is_some_and(is_far_above)
    }

    /// This gateway's share of what all gateways were recently asked for.
    pub fn demand_share(&self, now: Micros) -> f64 {
        let own = self.demand.at(now, DEMAND_TAU_US);
        let others = self.others_demand.at(now, DEMAND_TAU_US);
        if own + others > 0.0 {
            own / (own + others)
        } else {
            0.0
        }
    }

    /// Whether the reachable gateways of the set report each use: what they do not report may be used here, less what is
    /// set aside for the silent ones.
    pub fn follows_peer_reports(&self, now: Micros) -> bool {
        now < self.peer_reports_until
    }

    /// The other gateways have reported all their use; that counts until then.
    pub fn extend_peer_reports(&mut self, until: Micros) {
        if until > self.peer_reports_until {
            self.peer_reports_until = until;
            self.used_since_reports = 0.0;
        }
    }

    /// How many times its quota it uses, by the meter. Without a counter there is nothing else to go by.
    pub fn overuse_factor(&self, quota: &Quota, now: Micros) -> f64 {
        let gap_us = if quota.has_counter {
            0.0
        } else {
            self.mean_gap_us
        };
        self.ledger.overuse_factor_after(now, gap_us)
    }

    /// Records that a request came.
    pub fn record_demand(&mut self, now: Micros, units: f64) {
        if self.active_at > 0 {
            let gap_us = now.saturating_sub(self.active_at) as f64;
            self.mean_gap_us += MEAN_GAP_WEIGHT * (gap_us - self.mean_gap_us);
        }
        self.demand.add(now, DEMAND_TAU_US, units);
        self.active_at = now;
    }

    /// Records units that are used here, within the store or beyond it.
    pub fn record_usage(&mut self, now: Micros, units: f64, is_within_quota: bool) {
        if is_within_quota {
            self.level -= units;
            self.unreported += units;
            self.used_since_reports += units;
            self.reserved_units = (self.reserved_units - units).max(0.0);
        }
        self.ledger.record_own_usage(now, units);
    }

    /// Corrects an estimate of units that turned out to be too low by `excess_units`.
    pub fn settle_units(&mut self, excess_units: f64) {
        self.level -= excess_units;
        self.unreported += excess_units;
    }
}
