//! Sends attempts: determines the server and the timeout, and keeps to the retry budget, so that further attempts
//! stay a small share of the load.

use super::limits::REPLY_MARGIN_US;
use super::server_choice::ServerChoice;
use crate::customer::AttemptChange;
use crate::gateway::Gateway;
use crate::interface::{Action, Effect, LeaseState, Micros, RequestId, Timer, UnservedReason};
use crate::pending_request::{Attempt, AttemptState, ClientState, PendingRequest};

/// Timeout of an attempt, while another one could follow, as a multiple of the usual time.
const ATTEMPT_TIMEOUT_MULTIPLE: f64 = 4.0;
/// Minimum timeout of such an attempt as a share of the remaining time: most late answers are slow work, not
/// silence.
const MIN_ATTEMPT_TIMEOUT_SHARE: f64 = 0.4;

/// How an attempt counts against the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptKind {
    /// The first attempt, which earns a fraction of a further one.
    First,
    /// An attempt after earlier ones of which nothing was sent. It costs nothing.
    Replacement,
    /// Any further attempt, which costs one token of the budget.
    Retry,
}

impl AttemptKind {
    /// Returns the kind of the request's next attempt.
    fn for_next_attempt(request: &PendingRequest) -> Self {
        if request.attempts.is_empty() {
            AttemptKind::First
        } else if request.attempts.iter().any(|a| !a.is_unsent) {
            AttemptKind::Retry
        } else {
            AttemptKind::Replacement
        }
    }

    fn retry_cost(self) -> f64 {
        match self {
            AttemptKind::First | AttemptKind::Replacement => 0.0,
            AttemptKind::Retry => 1.0,
        }
    }
}

impl Gateway {
    /// Sends the request to a server if the rules allow one. Otherwise a request without any attempt waits for a
    /// server until its send deadline, and any other one gets its final answer.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.client == ClientState::Away {
            return self.reject_if_harmless(id, actions);
        }
        let class = request.class;
        let send_deadline = request.send_deadline;
        let kind = AttemptKind::for_next_attempt(request);
        let choice = if self.may_attempt(request, kind) {
            self.choose_server(id)
        } else {
            None
        };
        let failure_reason = match &choice {
            None if kind != AttemptKind::First => Some(UnservedReason::AttemptsFailed),
            None => (self.now >= send_deadline).then_some(UnservedReason::NoServer),
            Some(_) => (kind == AttemptKind::First && !self.charge_quota(id, actions))
                .then_some(UnservedReason::Ceiling),
        };
        if let Some(reason) = failure_reason {
            return self.reject_or_fail(id, self.latency_bound_us(class), reason, actions);
        }
        match choice {
            Some(choice) => self.send_attempt(id, kind, choice, actions),
            None => self.wait_for_server(id, send_deadline, actions),
        }
    }

    /// Handles that no client waits for the request at present.
    pub(super) fn on_suspended(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.client = ClientState::Away;
        }
    }

    /// Handles that a client waits for a suspended request again: if its attempt has ended meanwhile, another one may be
    /// sent now.
    pub(super) fn on_resumed(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests.get_mut(&id);
        let Some(request) = request.filter(|r| r.client == ClientState::Away) else {
            return;
        };
        request.client = ClientState::Waiting;
        if !request.has_attempt_in_flight() {
            self.dispatch(id, actions);
        }
    }

    /// Rejects a suspended request if its client's repeat may be treated as a new request. Any other one is held: only an
    /// attempt within the effect rule may follow, once its client is back.
    fn reject_if_harmless(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests.get(&id);
        if request.is_some_and(|r| r.may_reject(&self.settings)) {
            self.reject_or_fail(id, 0.0, UnservedReason::AttemptsFailed, actions);
        }
    }

    /// Whether an attempt of this kind may be sent now.
    fn may_attempt(&self, request: &PendingRequest, kind: AttemptKind) -> bool {
        if kind == AttemptKind::First {
            return self.lease_state == LeaseState::Held;
        }
        let is_exhausted = request.attempts.len() as u32 >= self.settings.max_attempts;
        let exceeds_budget = kind == AttemptKind::Retry && self.retry_tokens < 1.0;
        let remaining_us = request.deadline.saturating_sub(self.now);
        !is_exhausted && !exceeds_budget && remaining_us > REPLY_MARGIN_US
    }

    /// Lets the request wait until the server list changes, at most until `send_deadline`: it is answered while its
    /// client can still try another gateway.
    fn wait_for_server(&mut self, id: RequestId, send_deadline: Micros, actions: &mut Vec<Action>) {
        if self.waiting_requests.insert(id) {
            actions.push(Action::SetTimer {
                after_us: send_deadline - self.now,
                timer: Timer::Request(id),
            });
        }
    }

    fn send_attempt(
        &mut self,
        id: RequestId,
        kind: AttemptKind,
        choice: ServerChoice,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let customer = request.customer;
        let remaining_us = request.deadline.saturating_sub(now);
        let timeout_us = self
            .attempt_timeout_us(request, remaining_us)
            .unwrap_or(remaining_us);
        if kind == AttemptKind::First {
            self.cells[request.cell].admitted += 1.0;
        }
        self.charge_retry_budget(kind);
        self.waiting_requests.remove(&id);
        self.record_attempt(customer, AttemptChange::Begins, actions);
        self.report_usage(customer, actions);
        let ServerChoice {
            server,
            available_sends,
        } = choice;
        let Some(zone_and_cell) = self.fleet.record_send(&server, available_sends, now) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let begin_within_us = request.begin_within_us(&self.settings, now);
        request.attempts.push(Attempt {
            server: server.clone(),
            zone_and_cell,
            sent_at: now,
            state: AttemptState::InFlight,
            is_unsent: false,
            is_overdue: false,
            retry_cost: kind.retry_cost(),
        });
        actions.push(Action::Send {
            request: id,
            server,
            timeout_us,
            begin_within_us,
            pass_on_after_us: remaining_us.saturating_sub(REPLY_MARGIN_US),
        });
    }

    fn charge_retry_budget(&mut self, kind: AttemptKind) {
        let budget = self.settings.retries;
        let earned = if kind == AttemptKind::First {
            budget.ratio
        } else {
            0.0
        };
        self.retry_tokens = (self.retry_tokens + earned - kind.retry_cost()).min(budget.max_saved);
    }

    /// Returns the timeout that protects against silent servers: an attempt that takes much longer than is usual
    /// for its units ends while there is time for another one, if that may go to another server. `None`: the
    /// attempt may take all the remaining time.
    fn attempt_timeout_us(&self, request: &PendingRequest, remaining_us: Micros) -> Option<Micros> {
        let latency = &self.server_latency.classes[request.class];
        let relative_units = (request.units / latency.mean_units.max(1e-9)).max(1.0);
        let usual_us = latency.mean_us * relative_units;
        let timeout_us = (usual_us * ATTEMPT_TIMEOUT_MULTIPLE)
            .max(remaining_us as f64 * MIN_ATTEMPT_TIMEOUT_SHARE)
            as Micros;
        let next_attempt = request.attempts.len() as u32 + 1;
        let has_another_attempt =
            self.retry_tokens >= 1.0 && next_attempt < self.settings.max_attempts;
        let may_repeat = match self.settings.classes[request.class].effect {
            Effect::Repeatable => true,
            Effect::Keyed { .. } => self.fleet.ready_servers().nth(1).is_some(),
            Effect::Once => false,
        };
        let leaves_time =
            timeout_us as f64 + usual_us + REPLY_MARGIN_US as f64 <= remaining_us as f64;
        (has_another_attempt && may_repeat && latency.mean_us > 0.0 && leaves_time)
            .then_some(timeout_us)
    }

    /// Records that an attempt begins or ends, with the permit that it takes from its customer or returns.
    pub(super) fn record_attempt(
        &mut self,
        customer: u32,
        change: AttemptChange,
        actions: &mut Vec<Action>,
    ) {
        let wall = self.counter_clock.wall_clock(self.now);
        let Some(state) = self.customers.get_mut(&customer) else {
            return;
        };
        let quota = &self.quotas[state.plan];
        let Some(spare) = state.record_attempt(quota, change, self.now, wall) else {
            return;
        };
        let review_is_due = state.set_spare_permits(spare);
        if review_is_due && change == AttemptChange::Ends {
            self.schedule_permit_review(customer, actions);
        }
    }
}
