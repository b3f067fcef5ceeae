//! When use that the counter or the owner does not know of yet is reported, so that none stays unreported.

use crate::customer::{Customer, RESERVATION_US};
use crate::gateway::Gateway;
use crate::interface::{Action, Micros, Timer};
use crate::random::random_unit;

/// Use is reported in lumps of this share of the burst slice while the store is half full.
const REPORT_LUMP_SHARE: f64 = 0.25;
/// Less than this is not worth a report.
const MIN_REPORT_UNITS: f64 = 0.01;
/// Share of the saved calls that reports of use leave to queries and permits.
const BURST_KEPT_FROM_REPORTS: f64 = 0.5;
/// Spare permits are held for so many mean replies: returning and requesting one again takes two.
const SPARE_PERMIT_REPLIES: f64 = 3.0;

impl Gateway {
    /// Reports what was used without a query or reserved in vain: in lumps while the store is full, else at once.
    pub(super) fn report_usage(&mut self, tag: u32, actions: &mut Vec<Action>) {
        let wall = self.counter_clock.wall_clock(self.now);
        let Some(customer) = self.customers.get_mut(&tag) else {
            return;
        };
        let quota = &self.quotas[customer.plan];
        customer.begin_epoch_if_due(quota, wall);
        let is_sparse = customer.is_sparse(quota);
        // What one of many gateways reserved and did not use is missed by the others.
        let is_urgent = quota.limits_concurrency || is_sparse && customer.unreported < 0.0;
        let relative_cost = if is_sparse {
            (1.5 - quota.relative_cost).min(1.0)
        } else {
            1.0
        };
        let kept_calls = if is_urgent {
            0.0
        } else {
            BURST_KEPT_FROM_REPORTS * relative_cost
        };
        let lump = (REPORT_LUMP_SHARE * quota.capacity / f64::from(customer.gateway_count))
            .max(MIN_REPORT_UNITS);
        let min_units = if customer.level < quota.capacity / 2.0 {
            MIN_REPORT_UNITS
        } else {
            lump
        };
        let is_negligible = (customer.unreported + customer.reserved()).abs() < min_units;
        if is_negligible || customer.is_owner || customer.query_attempts != 0 {
            return;
        }
        if !self.settings.has_counter || self.counter_limiter.try_take(self.now, kept_calls) {
            self.send_quota_query(tag, 0.0, actions);
        } else {
            self.schedule_usage_report(tag, actions);
        }
    }

    /// Schedules a report of what stays unreported where a customer's requests come rarely: of many gateways each would
    /// keep some.
    pub(super) fn schedule_usage_report(&mut self, tag: u32, actions: &mut Vec<Action>) {
        let needs_timer = |customer: &&mut Customer| {
            !customer.report_scheduled && customer.is_sparse(&self.quotas[customer.plan])
        };
        let Some(customer) = self.customers.get_mut(&tag).filter(needs_timer) else {
            return;
        };
        customer.report_scheduled = true;
        let pause_us = if customer.reserved_units > 0.0 {
            RESERVATION_US as f64
        } else {
            self.counter_limiter.refill_us()
        };
        let after_us = ((1.0 + random_unit(&mut self.rng)) * pause_us) as Micros;
        actions.push(Action::SetTimer {
            after_us,
            timer: Timer::Customer(tag),
        });
    }

    /// Schedules a review of the spare permits of a customer: those that nobody needs are returned.
    pub(super) fn schedule_permit_review(&self, tag: u32, actions: &mut Vec<Action>) {
        let after_us = self.counter_limiter.mean_reply_us() * SPARE_PERMIT_REPLIES;
        actions.push(Action::SetTimer {
            after_us: after_us as Micros,
            timer: Timer::Customer(tag),
        });
    }

    pub(super) fn on_customer_timer(&mut self, tag: u32, actions: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(&tag) else {
            return;
        };
        customer.report_scheduled = false;
        customer.release_expired_reservation(self.now);
        let review_is_due = customer.release_unneeded_permits();
        if review_is_due {
            self.schedule_permit_review(tag, actions);
        }
        self.report_usage(tag, actions);
    }
}
