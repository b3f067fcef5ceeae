//! A test rig: one gateway that events are sent to and whose actions are looked at.
#![allow(dead_code)]

use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, CustomerId, Event, Gateway, ListKind, Micros,
    Request, RequestId, ServerEntry, ServerId, Settings, Timer,
};

pub struct Rig {
    pub gateway: Gateway,
    pub now: Micros,
    next: u64,
}

impl Rig {
    pub fn new(settings: Settings) -> Self {
        Rig::seeded(settings, 1)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        Rig {
            gateway: Gateway::new(settings, seed).expect("settings"),
            now: 1_000_000_000,
            next: 1,
        }
    }

    /// A rig whose list holds `n` ready servers, all started long ago.
    pub fn with_servers(settings: Settings, n: usize) -> Self {
        Rig::new(settings).with_listed(n)
    }

    pub fn with_listed(mut self, n: usize) -> Self {
        let entries = (0..n)
            .map(|i| ServerEntry::ready(&format!("s{i}"), "a"))
            .collect();
        self.update_servers(ListKind::Complete, entries);
        self
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        out
    }

    pub fn update_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.handle(Event::Servers { kind, entries })
    }

    pub fn request(&mut self, customer: &str) -> (RequestId, Vec<Action>) {
        self.request_with(|r| r.customer = CustomerId(customer.into()))
    }

    pub fn request_with(&mut self, change: impl FnOnce(&mut Request)) -> (RequestId, Vec<Action>) {
        let mut r = Request::new(self.next, "c", "basic", "read", 4_000_000);
        self.next += 1;
        change(&mut r);
        let id = r.id;
        (id, self.handle(Event::Request(r)))
    }

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

    /// Ends an attempt now that took so long.
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

    /// Lets a control interval pass, and its timer fire.
    pub fn interval(&mut self) -> Vec<Action> {
        self.now += 1_000_000;
        self.handle(Event::Timer(Timer::Interval))
    }
}

pub fn sent_server(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    })
}

/// Replies to all calls to a counter that stands at `total`, and to those that follow; `how` gives the status of each.
pub fn reply_to_calls(
    rig: &mut Rig,
    mut actions: Vec<Action>,
    total: &mut f64,
    mut how: impl FnMut() -> CompletionStatus,
) -> Vec<Action> {
    let mut k = 0;
    while k < actions.len() {
        if let Action::AddToCounter { name, amount, .. } = actions[k].clone() {
            let status = how();
            *total += if status == CompletionStatus::Served {
                amount
            } else {
                0.0
            };
            actions.extend(rig.handle(Event::CounterReply {
                name,
                status,
                total: *total,
            }));
        }
        k += 1;
    }
    actions
}

pub fn reply_and_find_send(
    rig: &mut Rig,
    actions: Vec<Action>,
    total: &mut f64,
) -> Option<ServerId> {
    sent_server(&reply_to_calls(rig, actions, total, || {
        CompletionStatus::Served
    }))
}

/// How many of `tries` requests are admitted while a counter that stands at `total` replies at once.
pub fn count_admitted_by_counter(
    rig: &mut Rig,
    width: u32,
    tries: usize,
    total: &mut f64,
) -> usize {
    let mut n = 0;
    for _ in 0..tries {
        let (id, actions) = rig.request_with(|r| r.gateway_count = width);
        if let Some(server) = reply_and_find_send(rig, actions, total) {
            n += 1;
            rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
        }
    }
    n
}

/// Sends one request after another, each answered after a while, and counts where they went.
pub fn count_sends_one_by_one(
    rig: &mut Rig,
    requests: usize,
    pause: Micros,
    takes: Micros,
) -> std::collections::BTreeMap<ServerId, usize> {
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..requests {
        rig.now += pause;
        let (id, actions) = rig.request("c");
        let server = sent_server(&actions).expect("sent");
        *counts.entry(server.clone()).or_default() += 1;
        rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, takes);
    }
    counts
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Settings with quotas that no test uses up.
pub fn unlimited_settings() -> Settings {
    let mut s = Settings::example();
    s.plans[0].rate = 1e6;
    s.plans[0].burst = 1e6;
    s
}
