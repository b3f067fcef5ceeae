//! Charges a customer's quota and ceiling, by requests sent here and by usage that other gateways report. Beyond
//! the quota, the gateways together pass on only requests that are profitable by the plan's terms, and none draws
//! past its slice of a ceiling.

use super::limits::{CUSTOMER_IDLE_TIMEOUT_US, MAX_CUSTOMERS};
use crate::customer::{Customer, CustomerPlacement, GUESS_COST_FACTOR};
use crate::decaying_sum::DEMAND_TIME_CONSTANT_US;
use crate::gateway::Gateway;
use crate::interface::{Action, Plan, RequestId};
use crate::peer_reports::UsageAge;
use crate::random::random_unit;

/// Time constant of the numbers of queries that found capacity or did not.
const QUERY_RESULTS_TIME_CONSTANT_US: f64 = 20_000_000.0;
/// Number of successful queries assumed before any was made.
const PRIOR_SUCCESSES: f64 = 1.0;
/// Minimum net value of a request beyond the quota (its excess weight less its overrun cost), as a share of its
/// full value: below it, the queues that the request fills cost more than it earns.
const MIN_EXCESS_VALUE: f64 = 0.5;

/// Whether the net value of a request beyond its quota exceeds `MIN_EXCESS_VALUE`.
pub(super) fn excess_is_profitable(plan: &Plan) -> bool {
    plan.excess_weight - plan.overrun_cost > MIN_EXCESS_VALUE
}

impl Gateway {
    /// Returns the state of a customer, and creates it if the customer is not known yet; `None` where too many
    /// customers are tracked.
    pub(super) fn get_or_create_customer(
        &mut self,
        placement: &CustomerPlacement,
    ) -> Option<&mut Customer> {
        if !self.customers.contains_key(&placement.tag) {
            if self.customers.len() >= MAX_CUSTOMERS {
                return None;
            }
            let customer = self.new_customer(placement);
            self.customers.insert(placement.tag, customer);
        }
        let customer = self.customers.get_mut(&placement.tag)?;
        // A customer that was moved to another plan keeps its level.
        customer.plan = placement.plan;
        Some(customer)
    }

    fn new_customer(&mut self, placement: &CustomerPlacement) -> Customer {
        let now = self.now;
        let settings = &self.settings;
        let quota = &self.quotas[placement.plan];
        let fills_since = self
            .started_at
            .unwrap_or(now)
            .max(now.saturating_sub(CUSTOMER_IDLE_TIMEOUT_US));
        // Usage that other gateways reported before the customer was known here is charged as well.
        let reported = self
            .peer_reports
            .take_untracked_customer(placement.tag)
            .filter(|_| !quota.limits_concurrency);
        let reported_level =
            reported.map_or(quota.capacity, |usage| usage.remaining_units(quota, now));
        let mut customer = Customer::new(placement, quota, settings, fills_since);
        // Where gateways report their usage, the shares of silent ones are set aside; otherwise the even slice is
        // the maximum.
        let max_level = if settings.usage_report_ttl_us > 0 && !quota.limits_concurrency {
            quota.capacity
        } else {
            quota.capacity / f64::from(placement.gateway_count)
        };
        customer.level = reported_level.clamp(-quota.capacity, max_level);
        self.peer_reports
            .update_customer(now, settings, quota, &mut customer);
        let owns_by_messages = placement.owner == settings.gateway_index
            && settings.peer_messages
            && !settings.has_counter;
        customer.is_owner = placement.gateway_count <= 1 || owns_by_messages;
        customer.owner = placement.owner;
        customer
    }

    /// Whether a request whose quota is unknown is admitted without a query: only if recent queries show that this
    /// is profitable, and then with probability 1/`overuse_factor`², which leaves the quota as a whole used.
    pub(super) fn should_admit_without_query(
        &mut self,
        plan: usize,
        lacks_usage_reports: bool,
        overrun_cost: f64,
        overuse_factor: f64,
    ) -> bool {
        // A permit beyond the limit is held for as long as one within it, and blocks the next one.
        let cost_factor = if self.quotas[plan].limits_concurrency {
            GUESS_COST_FACTOR
        } else {
            1.0
        };
        let results = &self.query_results[plan];
        let failures = results
            .without_capacity
            .at(self.now, QUERY_RESULTS_TIME_CONSTANT_US);
        let successes = results
            .with_capacity
            .at(self.now, QUERY_RESULTS_TIME_CONSTANT_US);
        let prior = if lacks_usage_reports {
            PRIOR_SUCCESSES
        } else {
            0.0
        };
        let has_evidence = failures + successes + prior >= 1.0;
        let is_profitable = successes + prior > failures * (overrun_cost + 1.0) * cost_factor;
        has_evidence
            && is_profitable
            && random_unit(&mut self.rng) * overuse_factor * overuse_factor < 1.0
    }

    /// Records whether a query found capacity.
    pub(super) fn record_query_result(&mut self, plan: usize, has_capacity: bool) {
        let results = &mut self.query_results[plan];
        let result = if has_capacity {
            &mut results.with_capacity
        } else {
            &mut results.without_capacity
        };
        result.add(self.now, QUERY_RESULTS_TIME_CONSTANT_US, 1.0);
    }

    /// Charges a request that is about to be sent. Returns false if the ceiling forbids it.
    pub(super) fn charge_quota(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let units = request.units;
        let tag = request.customer;
        let Some(customer) = self.customers.get_mut(&tag) else {
            return true;
        };
        let quota = self.quotas[customer.plan];
        customer.refill(&quota, self.now);
        // Units that the counter already holds for this gateway are charged to the quota only, all others to the
        // ceiling too.
        let is_reserved = customer.reserved_units > 0.0
            && customer.reserved_units >= units
            && customer.level >= units;
        if quota.ceiling.is_some() && !is_reserved && customer.ceiling_level < units {
            return false;
        }
        if !is_reserved {
            customer.ceiling_level = (customer.ceiling_level - units).max(0.0);
        }
        let is_within_quota = !quota.limits_concurrency && customer.level >= units;
        customer.record_usage(self.now, units, is_within_quota);
        if is_within_quota && self.settings.usage_report_ttl_us > 0 {
            customer
                .shares
                .record_usage(self.now, self.settings.gateway_index, units);
            actions.push(Action::ReportUsage { tag, units });
        }
        true
    }

    /// Records usage that other gateways reported; that of a restarted gateway still counts. `reporting_gateways`
    /// have reported all their usage until now. `usage` holds the reporting gateway, the customer's tag and the
    /// units; `past_usage` the tag and the units used before a gateway's first report.
    pub(super) fn on_usage_reported(
        &mut self,
        reporting_gateways: &[u32],
        usage: &[(u32, u32, f64)],
        past_usage: &[(u32, f64)],
    ) {
        for &(from, tag, units) in usage {
            self.charge_reported_usage(from, tag, units, reporting_gateways.contains(&from));
        }
        for &(tag, units) in past_usage {
            self.charge_past_usage(tag, units);
        }
        for &gateway in reporting_gateways {
            if gateway < self.settings.gateways {
                self.peer_reports.record_usage_report(self.now, gateway);
            }
        }
    }

    /// Charges usage that the gateway `from` reported. Units used while that gateway was silent are charged to the
    /// share that was set aside for it. `has_reported_all`: the gateway itself has reported all its usage until
    /// now.
    fn charge_reported_usage(&mut self, from: u32, tag: u32, units: f64, has_reported_all: bool) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(&tag) else {
            self.record_untracked_customer(tag, units, UsageAge::Current);
            return;
        };
        let quota = self.quotas[customer.plan];
        self.peer_reports
            .update_customer(now, &self.settings, &quota, customer);
        let common_units =
            customer
                .shares
                .charge_reported(now, &quota, from, units, has_reported_all);
        // Usage that the counter reported already is not charged twice.
        let counts_reports = customer.follows_peer_reports(now) || !customer.is_synced(now);
        if common_units > 0.0 && counts_reports {
            customer.refill(&quota, now);
            customer.level = (customer.level - common_units).max(-quota.capacity);
            customer
                .others_demand
                .add(now, DEMAND_TIME_CONSTANT_US, common_units);
        }
    }

    /// Charges past usage. It may be older than what the store has been filled with since, so it empties the store
    /// and no more.
    fn charge_past_usage(&mut self, tag: u32, units: f64) {
        let Some(customer) = self.customers.get_mut(&tag) else {
            self.record_untracked_customer(tag, units, UsageAge::PossiblyStale);
            return;
        };
        customer.level = (customer.level - units).max(customer.level.min(0.0));
    }

    /// Records reported usage of a customer that is not known here.
    fn record_untracked_customer(&mut self, tag: u32, units: f64, age: UsageAge) {
        self.peer_reports
            .record_untracked_customer(self.now, MAX_CUSTOMERS, tag, units, age);
    }
}
