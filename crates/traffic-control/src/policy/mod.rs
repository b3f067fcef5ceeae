//! Every decision of a gateway, with one file for each kind. This module dispatches events to them and collects the
//! resulting actions; state and its arithmetic are in the modules beside this folder.

mod admission;
mod admission_fractions;
mod attempts;
mod completion;
mod counter_queries;
mod effect_rule;
mod limits;
mod outcomes;
mod peer_messages;
mod policy_terms;
mod quota_charges;
mod server_choice;
mod usage_reports;

use self::admission::QueryPhase;
use self::limits::{CUSTOMER_IDLE_TIMEOUT_US, INTERVAL_US};
use crate::customer::Customer;
use crate::gateway::Gateway;
use crate::interface::{
    Action, Event, ListKind, Micros, RequestId, ServerEntry, Timer, UnservedReason,
};
use crate::pending_request::ClientState;
use crate::random::random_unit;

impl Gateway {
    /// Handles one event at time `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.start_if_first(actions);
        self.end_transition_if_due();
        match event {
            Event::PolicyChanged(terms) => self.on_policy_changed(terms),
            Event::LeaseStateChanged(state) => self.on_lease_state(state, actions),
            Event::Servers { kind, entries } => self.on_servers(kind, entries, actions),
            Event::Request(request) => self.on_request(request, actions),
            Event::Streaming(id) => self.on_streaming(id),
            Event::Suspended(id) => self.on_suspended(id),
            Event::Resumed(id) => self.on_resumed(id, actions),
            Event::Outcome(outcome) => self.on_outcome(&outcome, actions),
            Event::Overdue {
                request,
                attempt,
                elapsed_us,
            } => self.on_overdue(request, attempt, elapsed_us, actions),
            Event::ClientGone(id) => self.close_request(id, actions),
            Event::Timer(timer) => self.on_timer(timer, actions),
            Event::Peer { from, bytes } => self.on_peer_message(from, &bytes, actions),
            Event::Gateways(gateways) => {
                self.fleet.set_gateways(&gateways);
                self.assign_servers();
            }
            Event::HealthReports { from, reports } => {
                self.fleet.record_health_reports(from, reports, self.now);
            }
            Event::WallClock { ahead_us } => self.counter_clock.set_wall_offset(self.now, ahead_us),
            Event::GatewaysAbsent(gateways) => {
                self.peer_reports.absent_gateways = gateways.into_iter().collect();
            }
            Event::UsageReported {
                complete_gateways,
                uses,
                earlier_uses,
            } => {
                self.on_usage_reported(&complete_gateways, &uses, &earlier_uses);
            }
            Event::CounterReply {
                name,
                status,
                total,
            } => self.on_counter_reply(&name, status, total, actions),
        }
    }

    /// Sets the interval timer at the first event, and subscribes to the server list if it is sent only on request.
    fn start_if_first(&mut self, actions: &mut Vec<Action>) {
        if self.started_at.is_some() {
            return;
        }
        self.started_at = Some(self.now);
        actions.push(Action::SetTimer {
            after_us: INTERVAL_US,
            timer: Timer::Interval,
        });
        if self.settings.list_on_request {
            actions.push(Action::Subscribe);
        }
    }

    fn on_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        if kind == ListKind::Error && self.settings.list_on_request {
            actions.push(Action::Subscribe);
        }
        let rng = &mut self.rng;
        self.fleet
            .apply_list(kind, entries, self.now, || random_unit(rng));
        self.assign_servers();
        self.dispatch_requests_waiting_for_server(actions);
    }

    fn on_streaming(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.client = ClientState::Receiving;
        }
    }

    fn on_timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::Interval => self.on_interval(actions),
            Timer::Customer(tag) => self.on_customer_timer(tag, actions),
            Timer::Request(id) if self.waiting_requests.contains(&id) => {
                self.reject_or_fail(id, 0.0, UnservedReason::NoServer, actions);
            }
            Timer::Request(id) if self.has_overdue_attempt(id) => self.fail_if_useless(id, actions),
            Timer::Request(id) => self.on_query_timeout(id, actions),
        }
    }

    /// Ends a control interval.
    fn on_interval(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.counter_limiter.end_interval();
        self.fleet.update_outliers(now);
        actions.extend(self.update_fractions().map(Action::Log));
        let is_idle = |customer: &Customer| {
            now.saturating_sub(customer.active_at) >= CUSTOMER_IDLE_TIMEOUT_US
        };
        self.customers
            .retain(|_, customer| customer.open_attempts > 0 || !is_idle(customer));
        self.peer_reports
            .forget_untracked_customers(now, CUSTOMER_IDLE_TIMEOUT_US);
        let log = self.counter_monitor.clear_expired_doubt(now);
        actions.extend(log.map(Action::Log));
        self.dispatch_requests_waiting_for_server(actions);
        self.send_cell_reports(actions);
        actions.push(Action::SetTimer {
            after_us: INTERVAL_US,
            timer: Timer::Interval,
        });
    }

    /// Tries again to send the requests that wait for a server.
    fn dispatch_requests_waiting_for_server(&mut self, actions: &mut Vec<Action>) {
        for id in self.waiting_requests.clone() {
            self.dispatch(id, actions);
        }
    }

    /// Decides again on the requests that wait for a server.
    fn decide_requests_waiting_for_server(&mut self, actions: &mut Vec<Action>) {
        for id in self.waiting_requests.clone() {
            self.decide_request(id, QueryPhase::Open, actions);
        }
    }
}
