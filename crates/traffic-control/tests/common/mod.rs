//! A gateway under test with its own clock, and helpers that handle its actions.
#![allow(dead_code)]

use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, CustomerId, Event, Gateway, ListKind, Micros,
    Request, RequestId, ServerEntry, ServerId, Settings, Timer,
};

/// A gateway whose clock and events a test controls.
pub struct TestGateway {
    pub inner: Gateway,
    /// Current time of the gateway; a test moves it forward.
    pub now: Micros,
    next_request_id: u64,
}

impl TestGateway {
    pub fn new(settings: Settings) -> Self {
        TestGateway::with_seed(settings, 1)
    }

    /// Creates a gateway whose random numbers start from `seed`.
    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        TestGateway {
            inner: Gateway::new(settings, seed).expect("the settings are valid"),
            now: 1_000_000_000,
            next_request_id: 1,
        }
    }

    /// Creates a gateway whose server list holds `n` ready servers, all started long ago.
    pub fn with_servers(settings: Settings, n: usize) -> Self {
        TestGateway::new(settings).with_listed_servers(n)
    }

    /// Lists the servers `s0`, `s1` and so on, `n` in all, which are ready and started long ago.
    pub fn with_listed_servers(mut self, n: usize) -> Self {
        let entries = (0..n)
            .map(|i| ServerEntry::ready(&format!("s{i}"), "a"))
            .collect();
        self.update_servers(ListKind::Complete, entries);
        self
    }

    /// Handles an event at the current time and returns the actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.inner.handle(self.now, event, &mut actions);
        actions
    }

    pub fn update_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.handle(Event::Servers { kind, entries })
    }

    /// Handles a request of one unit by `customer`.
    pub fn request(&mut self, customer: &str) -> (RequestId, Vec<Action>) {
        self.request_with(|r| r.customer = CustomerId(customer.into()))
    }

    /// Handles a request that `change` has adjusted.
    pub fn request_with(&mut self, change: impl FnOnce(&mut Request)) -> (RequestId, Vec<Action>) {
        let mut r = Request::new(self.next_request_id, "c", "basic", "read", 4_000_000);
        self.next_request_id += 1;
        change(&mut r);
        let id = r.id;
        (id, self.handle(Event::Request(r)))
    }

    /// Moves the clock forward by `after` and ends an attempt that took this time.
    pub fn end_attempt_after(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: &ServerId,
        status: CompletionStatus,
        after: Micros,
    ) -> Vec<Action> {
        self.now += after;
        self.end_attempt(id, attempt, server, status, after)
    }

    /// Ends an attempt at the current time; `took` is its duration.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: &ServerId,
        status: CompletionStatus,
        took: Micros,
    ) -> Vec<Action> {
        let mut o = AttemptOutcome::new(id, attempt, server.clone(), status, took);
        o.closed = status == CompletionStatus::Served;
        self.handle(Event::Outcome(o))
    }

    /// Moves the clock forward by one control interval and handles its timer.
    pub fn run_interval(&mut self) -> Vec<Action> {
        self.now += 1_000_000;
        self.handle(Event::Timer(Timer::Interval))
    }
}

/// Returns the server of the first send among `actions`.
pub fn sent_server(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    })
}

/// Replies to all counter calls among `actions` and to those that follow from the replies, and returns all actions.
/// `total` is the count in units, to which each served call adds its amount; `status_of_next_call` yields the status of each reply.
pub fn reply_to_calls(
    gateway: &mut TestGateway,
    mut actions: Vec<Action>,
    total: &mut f64,
    mut status_of_next_call: impl FnMut() -> CompletionStatus,
) -> Vec<Action> {
    let mut k = 0;
    while k < actions.len() {
        if let Action::AddToCounter { name, amount, .. } = actions[k].clone() {
            let status = status_of_next_call();
            *total += if status == CompletionStatus::Served {
                amount
            } else {
                0.0
            };
            actions.extend(gateway.handle(Event::CounterReply {
                name,
                status,
                total: *total,
            }));
        }
        k += 1;
    }
    actions
}

/// Replies to all counter calls as served and returns the server of the first send.
pub fn reply_and_find_send(
    gateway: &mut TestGateway,
    actions: Vec<Action>,
    total: &mut f64,
) -> Option<ServerId> {
    sent_server(&reply_to_calls(gateway, actions, total, || {
        CompletionStatus::Served
    }))
}

/// Returns how many of `tries` requests are admitted while the counter replies at once. `gateway_count` is the number of
/// gateways that the customer uses, and `total` is the count in units.
pub fn count_admitted_by_counter(
    gateway: &mut TestGateway,
    gateway_count: u32,
    tries: usize,
    total: &mut f64,
) -> usize {
    let mut n = 0;
    for _ in 0..tries {
        let (id, actions) = gateway.request_with(|r| r.gateway_count = gateway_count);
        if let Some(server) = reply_and_find_send(gateway, actions, total) {
            n += 1;
            gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
    }
    n
}

/// Sends requests one at a time and returns how many went to each server. Each request comes `pause` after the previous
/// answer and is answered `took` later.
pub fn count_sends_one_by_one(
    gateway: &mut TestGateway,
    requests: usize,
    pause: Micros,
    took: Micros,
) -> std::collections::BTreeMap<ServerId, usize> {
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..requests {
        gateway.now += pause;
        let (id, actions) = gateway.request("c");
        let server = sent_server(&actions).expect("a ready server is listed");
        *counts.entry(server.clone()).or_default() += 1;
        gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, took);
    }
    counts
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Returns settings with quotas that no test uses up.
pub fn unlimited_settings() -> Settings {
    let mut s = Settings::example();
    s.plans[0].rate = 1e6;
    s.plans[0].burst = 1e6;
    s
}
