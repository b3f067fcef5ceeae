//! Reports usage that the counter or the owner does not know of yet, so that none stays unreported.

use crate::customer::{Customer, RESERVATION_TIMEOUT_US};
use crate::gateway::Gateway;
use crate::interface::{Action, Micros, Timer};
use crate::random::random_unit;

/// Minimum size of a usage report while the store is at least half full, as a share of the gateway's even slice of
/// the store.
const REPORT_BATCH_SHARE: f64 = 0.25;
/// Minimum size of any usage report, in units.
const MIN_REPORT_UNITS: f64 = 0.01;
/// Share of the saved calls to the counter that usage reports leave to queries and permits.
const KEPT_SHARE_FOR_QUERIES: f64 = 0.5;
/// Time for which spare permits are held, in mean reply times: returning a permit and requesting one again takes
/// two.
const SPARE_PERMIT_REPLIES: f64 = 3.0;

impl Gateway {
    /// Reports units that were used without a query, or reserved and not used: in batches while the store is at
    /// least half full, else at once.
    pub(super) fn report_usage(&mut self, tag: u32, actions: &mut Vec<Action>) {
        let wall = self.counter_clock.wall_clock(self.now);
        let Some(customer) = self.customers.get_mut(&tag) else {
            return;
        };
        let quota = &self.quotas[customer.plan];
        customer.begin_epoch_if_due(quota, wall);
        let lacks_usage_reports = customer.lacks_usage_reports(quota);
        // Units that one gateway of a large fleet reserved and did not use cannot be used by the others until they
        // are returned.
        let is_urgent =
            quota.limits_concurrency || lacks_usage_reports && customer.unreported < 0.0;
        let relative_cost = if lacks_usage_reports {
            (1.5 - quota.relative_cost).min(1.0)
        } else {
            1.0
        };
        let kept_share = if is_urgent {
            0.0
        } else {
            KEPT_SHARE_FOR_QUERIES * relative_cost
        };
        let batch_units = (REPORT_BATCH_SHARE * quota.capacity / f64::from(customer.gateway_count))
            .max(MIN_REPORT_UNITS);
        let min_units = if customer.level < quota.capacity / 2.0 {
            MIN_REPORT_UNITS
        } else {
            batch_units
        };
        let is_negligible = (customer.unreported + customer.reserved()).abs() < min_units;
        if is_negligible || customer.is_owner || customer.query_attempts != 0 {
            return;
        }
        if !self.settings.has_counter || self.counter_limiter.try_take(self.now, kept_share) {
            self.send_quota_query(tag, 0.0, actions);
        } else {
            self.schedule_usage_report(tag, actions);
        }
    }

    /// Schedules a report of what stays unreported in a large fleet without usage reports between gateways, as each
    /// gateway would keep some units.
    pub(super) fn schedule_usage_report(&mut self, tag: u32, actions: &mut Vec<Action>) {
        let needs_timer = |customer: &&mut Customer| {
            !customer.report_scheduled && customer.lacks_usage_reports(&self.quotas[customer.plan])
        };
        let Some(customer) = self.customers.get_mut(&tag).filter(needs_timer) else {
            return;
        };
        customer.report_scheduled = true;
        let base_delay_us = if customer.reserved_units > 0.0 {
            RESERVATION_TIMEOUT_US as f64
        } else {
            self.counter_limiter.refill_us()
        };
        let after_us = ((1.0 + random_unit(&mut self.rng)) * base_delay_us) as Micros;
        actions.push(Action::SetTimer {
            after_us,
            timer: Timer::Customer(tag),
        });
    }

    /// Schedules a review of a customer's spare permits, which returns those that no request needs.
    pub(super) fn schedule_permit_review(&self, tag: u32, actions: &mut Vec<Action>) {
        let after_us = self.counter_limiter.mean_reply_us() * SPARE_PERMIT_REPLIES;
        actions.push(Action::SetTimer {
            after_us: after_us as Micros,
            timer: Timer::Customer(tag),
        });
    }

    /// Handles a customer's timer: releases expired reservations and unneeded permits, and reports usage.
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
