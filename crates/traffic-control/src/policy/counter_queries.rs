//! Queries a customer's quota for waiting requests: at the counter, within the calls that it can take, or at the
//! gateway that owns the customer. Calls that decide a request take precedence over those that only report usage.

use super::admission::QueryPhase;
use super::limits::REPLY_MARGIN_US;
use super::peer_messages::MAX_MESSAGE_BYTES;
use crate::counter::{CounterCall, CounterReply};
use crate::customer::Customer;
use crate::gateway::Gateway;
use crate::gossip::{self, Message, QuotaRequest};
use crate::interface::{Action, CompletionStatus, Micros, RequestId, Timer};
use crate::quota::Quota;
use crate::random::random_unit;

/// Time for which a reply is awaited, twice in the case of an owner: short beside any latency objective.
const QUERY_TIMEOUT_US: Micros = 100_000;
/// Overuse factor above which a query only reads: beyond it a rejection is more likely than not.
const READ_ONLY_OVERUSE: f64 = 1.4;
/// Maximum number of queries to an owner for a request.
const MAX_QUERY_ATTEMPTS: u8 = 2;

impl Gateway {
    /// Queries the counter or the owner unless a call is in flight, and lets the request wait for the reply, as
    /// this gateway may know nothing of a customer. Returns false if no query is possible now.
    pub(super) fn query_quota(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let tag = request.customer;
        let units = request.quota_units;
        let remaining_us = request.deadline.saturating_sub(self.now);
        let Some(customer) = self.customers.get(&tag) else {
            return false;
        };
        // A client about to leave cannot wait for a reply.
        let can_query = self.settings.has_counter || self.settings.peer_messages;
        if !can_query || remaining_us < 4 * REPLY_MARGIN_US {
            return false;
        }
        if customer.query_attempts == 0 {
            let quota = self.quotas[customer.plan];
            let wanted_units = self.units_to_query(customer, &quota, units);
            if self.settings.has_counter && !self.take_query_call(tag, &quota) {
                return false;
            }
            self.send_quota_query(tag, wanted_units, actions);
        }
        let Some(customer) = self.customers.get_mut(&tag) else {
            return false;
        };
        customer.waiting_requests.push(id);
        customer.query_attempts = customer.query_attempts.max(1);
        actions.push(Action::SetTimer {
            after_us: QUERY_TIMEOUT_US.min((remaining_us - REPLY_MARGIN_US) / 2),
            timer: Timer::Request(id),
        });
        true
    }

    /// Returns the units to reserve with a query; 0, so that it only reads, where a rejection is likely: what is
    /// not added need not be returned.
    fn units_to_query(&self, customer: &Customer, quota: &Quota, units: f64) -> f64 {
        let overuses = customer.lacks_usage_reports(quota)
            && !customer.is_short_of_ceiling(quota, units)
            && customer.ledger.overuse_factor(self.now) > READ_ONLY_OVERUSE;
        let is_empty = customer.is_synced(self.now) && customer.level < units;
        if self.settings.has_counter && (is_empty || overuses) {
            0.0
        } else {
            units + customer.prefetch_units(quota, self.now)
        }
    }

    /// Takes a call to the counter if the rate limiter allows one. In a large fleet each gateway leaves the last
    /// saved calls to plans where a wrong guess costs more.
    fn take_query_call(&mut self, tag: u32, quota: &Quota) -> bool {
        let lacks_usage_reports = self
            .customers
            .get(&tag)
            .is_some_and(|customer| customer.lacks_usage_reports(quota));
        let kept_share = if lacks_usage_reports {
            1.0 - quota.relative_cost
        } else {
            0.0
        };
        kept_share < 1.0 && self.counter_limiter.try_take(self.now, kept_share)
    }

    /// Reports a customer's usage to the counter or the owner, and requests `wanted_units`.
    pub(super) fn send_quota_query(
        &mut self,
        tag: u32,
        wanted_units: f64,
        actions: &mut Vec<Action>,
    ) {
        let wall = self.counter_clock.wall_clock(self.now);
        let Some(customer) = self.customers.get_mut(&tag) else {
            return;
        };
        let quota = &self.quotas[customer.plan];
        customer.begin_epoch_if_due(quota, wall);
        if self.settings.has_counter {
            return self.send_counter_call(tag, wanted_units, actions);
        }
        let unreported_units = std::mem::take(&mut customer.unreported);
        if self.settings.peer_messages {
            let request = Message::QuotaRequest(QuotaRequest {
                tag,
                plan: customer.plan as u8,
                gateway_count: customer.gateway_count.min(65_535) as u16,
                wanted_units,
                unreported_units,
            });
            actions.push(Action::SendToPeer {
                to: customer.owner,
                bytes: gossip::encode(&request, MAX_MESSAGE_BYTES),
            });
        }
    }

    fn send_counter_call(&mut self, tag: u32, wanted_units: f64, actions: &mut Vec<Action>) {
        let window = self.counter_clock.window_at(self.now);
        let wall = self.counter_clock.wall_clock(self.now);
        let Some(customer) = self.customers.get_mut(&tag) else {
            return;
        };
        let quota = &self.quotas[customer.plan];
        let count = customer.count_name(quota, wall, window);
        let amount = customer.take_report_amount(wanted_units);
        let call = CounterCall {
            customer: tag,
            amount,
            wanted_units,
            sent_at: self.now,
            window,
        };
        self.counter_calls.record_sent(&count.name, call);
        let weight = customer.permit_digits.map_or(1.0, |digits| digits.weight());
        actions.push(Action::AddToCounter {
            name: count.name,
            amount: amount * weight,
            ttl_us: count.ttl_us,
        });
    }

    /// Handles the timeout of a waiting request's query: queries the owner once more, or decides the request
    /// without a reply.
    pub(super) fn on_query_timeout(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let tag = request.customer;
        let wanted_units = request.quota_units;
        let remaining_us = request.deadline.saturating_sub(self.now);
        let Some(customer) = self
            .customers
            .get_mut(&tag)
            .filter(|customer| customer.waiting_requests.contains(&id))
        else {
            return;
        };
        customer.query_attempts += 1;
        let may_query_again = !self.settings.has_counter
            && customer.query_attempts <= MAX_QUERY_ATTEMPTS
            && remaining_us > 2 * REPLY_MARGIN_US;
        if !may_query_again {
            return self.decide_waiting_requests(tag, true, actions);
        }
        self.send_quota_query(tag, wanted_units, actions);
        actions.push(Action::SetTimer {
            after_us: QUERY_TIMEOUT_US.min(remaining_us - REPLY_MARGIN_US),
            timer: Timer::Request(id),
        });
    }

    /// Decides the waiting requests of a customer. `may_report`: unreported usage may be sent at once. After a
    /// failed call it may not, as another one would fail too.
    pub(super) fn decide_waiting_requests(
        &mut self,
        tag: u32,
        may_report: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(customer) = self.customers.get_mut(&tag) else {
            return;
        };
        // Nothing is reported until all are decided: units that one request reserved and did not use may serve the
        // next.
        customer.query_attempts = 1;
        let waiting = std::mem::take(&mut customer.waiting_requests);
        if customer.is_synced_now(self.now) && !waiting.is_empty() {
            let plan = customer.plan;
            let has_capacity = customer.level >= 1.0;
            self.record_query_result(plan, has_capacity);
        }
        for id in waiting {
            self.decide_request(id, QueryPhase::Over, actions);
        }
        if let Some(customer) = self.customers.get_mut(&tag) {
            customer.query_attempts = 0;
        }
        if may_report {
            self.report_usage(tag, actions);
        }
        let holds_reservation = self
            .customers
            .get(&tag)
            .is_some_and(|customer| customer.reserved_units > 0.0);
        if !may_report || holds_reservation {
            self.schedule_usage_report(tag, actions);
        }
    }

    /// Handles the end of a call to the counter, and decides the requests that wait for it.
    pub(super) fn on_counter_reply(
        &mut self,
        name: &str,
        status: CompletionStatus,
        total: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(reply) = self.counter_calls.match_reply(name, total) else {
            return;
        };
        let tag = reply.call.customer;
        self.record_reply_time(status, &reply);
        if !self.customers.contains_key(&tag) {
            return;
        }
        let log = self.counter_monitor.record_call(self.now, is_reply(status));
        actions.extend(log.map(Action::Log));
        let missing_units = if status != CompletionStatus::Served || !total.is_finite() {
            self.record_missing_total(&reply, status);
            None
        } else {
            self.sync_with_counter(name, &reply, actions)
        };
        // All waiting requests are added to the count before they are decided. Otherwise two gateways could see the
        // same permit free, or a request could be rejected for lack of units that no query asked for.
        if let Some(units) = missing_units {
            if self.counter_limiter.try_take(self.now, 0.0) {
                return self.send_quota_query(tag, units, actions);
            }
        }
        self.decide_waiting_requests(tag, !status.never_ran(), actions);
    }

    /// Records the reply time of a call. A connection that failed or broke says nothing of how busy the counter is;
    /// a reply without a number does.
    fn record_reply_time(&mut self, status: CompletionStatus, reply: &CounterReply) {
        let is_connection_fault = matches!(
            status,
            CompletionStatus::ConnectionLost | CompletionStatus::NoConnection
        );
        if !is_connection_fault {
            self.counter_limiter
                .record_reply(self.now, reply.call.sent_at, is_reply(status));
        }
    }

    fn record_missing_total(&mut self, reply: &CounterReply, status: CompletionStatus) {
        if let Some(customer) = self.customers.get_mut(&reply.call.customer) {
            let quota = self.quotas[customer.plan];
            let amount = reply.call.amount;
            customer.record_missing_total(&quota, amount, status.never_ran(), self.now);
        }
    }

    /// Applies a total. Returns the units or permits that the waiting requests still need in the count, if any.
    fn sync_with_counter(
        &mut self,
        name: &str,
        reply: &CounterReply,
        actions: &mut Vec<Action>,
    ) -> Option<f64> {
        let now = self.now;
        let customer = self.customers.get_mut(&reply.call.customer)?;
        let quota = self.quotas[customer.plan];
        if customer.permit_digits.is_some() || customer.counts_in_epochs(&quota) {
            customer.sync_permits(&quota, reply, now);
            customer.set_spare_permits(customer.permits.spare);
            let wanted = customer.level.min(customer.waiting_requests.len() as f64);
            let is_member = customer.permit_digits.is_some_and(|d| d.is_member());
            let lacks_permits = is_member && wanted + customer.unreported >= 1.0;
            return lacks_permits.then_some(wanted);
        }
        let rate_share = customer.rate_share(&quota, now);
        let rng = &mut self.rng;
        let sync = customer.sync_units(&quota, rate_share, reply, now, || random_unit(rng));
        let has_separate_ceiling = customer.has_separate_ceiling(&quota);
        customer.reserved_units = if has_separate_ceiling {
            sync.reserved_units
        } else {
            0.0
        };
        if let Some(evidence) = sync.evidence {
            let log = self.counter_monitor.record_evidence(now, evidence, name);
            actions.extend(log.map(Action::Log));
        }
        let quota_units = |id| self.requests.get(id).map_or(0.0, |r| r.quota_units);
        let needed_units: f64 = customer.waiting_requests.iter().map(quota_units).sum();
        let is_needed = has_separate_ceiling
            && reply.call.wanted_units < needed_units
            && needed_units > customer.reserved_units
            && customer.level >= needed_units;
        is_needed.then_some(needed_units - customer.reserved_units)
    }
}

/// Whether the counter replied, with or without a number.
fn is_reply(status: CompletionStatus) -> bool {
    matches!(
        status,
        CompletionStatus::Served | CompletionStatus::ServerError
    )
}
