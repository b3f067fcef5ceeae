//! Simulation of a scenario, and the digest of the actions in it.

use crate::world::{Scenario, SIMULATED_GATEWAYS};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, Health, ListKind, Micros, Request,
    RequestId, ServerId, Timer,
};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Duration of a simulation, in seconds of virtual time.
const SECONDS: u64 = 12;

/// The ways in which an attempt fails.
const FAULTS: [CompletionStatus; 6] = [
    CompletionStatus::ServerError,
    CompletionStatus::Rejected,
    CompletionStatus::NoAnswer,
    CompletionStatus::NoConnection,
    CompletionStatus::ConnectionLost,
    CompletionStatus::NotSent,
];

/// The ways in which a counter call fails.
const COUNTER_FAULTS: [CompletionStatus; 3] = [
    CompletionStatus::ServerError,
    CompletionStatus::NoAnswer,
    CompletionStatus::NoConnection,
];

/// A running simulation of a scenario.
pub struct Simulation {
    scenario: Scenario,
    rng: Pcg64Mcg,
    now: Micros,
    gateways: Vec<Gateway>,
    /// Scheduled events with their gateways, by time and then in the order of scheduling.
    due: BTreeMap<(Micros, u64), (usize, Event)>,
    scheduled: u64,
    /// Counts of the shared counter, by name.
    counts: BTreeMap<String, f64>,
    /// Number of attempts of each request.
    attempts: BTreeMap<(usize, RequestId), u32>,
    digest: u64,
    /// Number of actions by kind, in the order of the recorded header; `timers` includes subscriptions and log lines.
    action_counts: [u64; 8],
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let simulated = scenario.gateways.min(SIMULATED_GATEWAYS);
        let gateways = (0..simulated).map(|gateway_index| {
            Gateway::new(
                scenario.settings(gateway_index),
                scenario.seed + u64::from(gateway_index),
            )
            .expect("the settings are valid")
        });
        let mut simulation = Simulation {
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            now: 1_000_000_000,
            gateways: gateways.collect(),
            due: BTreeMap::new(),
            scheduled: 0,
            counts: BTreeMap::new(),
            attempts: BTreeMap::new(),
            digest: 0xcbf2_9ce4_8422_2325,
            action_counts: [0; 8],
            scenario,
        };
        for g in 0..simulated as usize {
            simulation.schedule(
                0,
                g,
                Event::Servers {
                    kind: ListKind::Complete,
                    entries: simulation.scenario.list(),
                },
            );
        }
        simulation
    }

    fn schedule(&mut self, after: Micros, gateway: usize, event: Event) {
        self.scheduled += 1;
        self.due
            .insert((self.now + after, self.scheduled), (gateway, event));
    }

    /// Returns a random number from 0 to 1, inclusive.
    fn random_unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Returns a random number less than `n`.
    fn random_below(&mut self, n: u32) -> u32 {
        self.rng.next_u32() % n.max(1)
    }

    /// Runs the simulation to its end: schedules requests and list updates for each gateway, and handles them and all events
    /// that follow. Returns the digest and the number of actions by kind.
    pub fn run(mut self) -> (u64, [u64; 8]) {
        let end = self.now + SECONDS * 1_000_000;
        let simulated = self.gateways.len();
        for g in 0..simulated {
            let mut at = 0;
            while at < SECONDS * 1_000_000 {
                at += (-(1.0 - self.random_unit() * 0.999_999).ln() / self.scenario.requests_per_s
                    * 1e6) as Micros;
                let request = self.request();
                if self.random_unit() < 0.03 {
                    let after = at + Micros::from(self.random_below(100_000));
                    self.schedule(after, g, Event::ClientGone(request.id));
                }
                self.schedule(at, g, Event::Request(request));
            }
            for second in 1..SECONDS {
                let change = self.list_event(second);
                let after = second * 1_000_000 + Micros::from(self.random_below(900_000));
                self.schedule(after, g, change);
            }
        }
        while let Some(((at, _), (g, event))) = self.due.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            // A takeover: a new process starts from the persisted list. Attempts, calls and timers of the old process are dropped.
            if matches!(
                &event,
                Event::Servers {
                    kind: ListKind::Persisted,
                    ..
                }
            ) {
                let survives = |e: &Event| matches!(e, Event::Request(_) | Event::Servers { .. });
                self.due.retain(|_, (owner, e)| *owner != g || survives(e));
                let settings = self.scenario.settings(g as u32);
                self.gateways[g] = Gateway::new(settings, self.scenario.seed ^ at)
                    .expect("the settings are valid");
            }
            let mut out = Vec::new();
            self.gateways[g].handle(at, event, &mut out);
            for action in out {
                self.carry_out(g, action);
            }
        }
        let open_requests: u64 = self.gateways.iter().map(|g| g.open_requests() as u64).sum();
        self.add_to_digest(&format!(
            "{open_requests} open, {} avoided",
            self.gateways[0].avoided_server_count()
        ));
        (self.digest, self.action_counts)
    }

    fn request(&mut self) -> Request {
        let n = self.random_below(self.scenario.customers);
        let plan = ["small", "places", "large"][n as usize % 3];
        let class = if self.random_unit() < 0.7 {
            "read"
        } else {
            "write"
        };
        let patience_us = 150_000 + Micros::from(self.random_below(1_500_000));
        let id = self.scheduled + 1;
        let mut r = Request::new(id, &format!("customer-{n}"), plan, class, patience_us);
        r.units = f64::from(1 + self.random_below(6));
        r.gateway_count = [1, 2, 3, 60, 300][n as usize % 5].min(self.scenario.gateways);
        r.first_gateway = if r.gateway_count < 4 {
            0
        } else {
            n % self.scenario.gateways
        };
        r.low_priority = self.random_unit() < 0.05;
        if self.random_unit() < 0.02 {
            r.sticky_server = Some((
                ServerId(format!("s{}", n % 4).as_str().into()),
                self.random_unit() < 0.5,
            ));
        }
        r
    }

    /// Draws an update of the server list: a drain, removal or restart, the complete list, a takeover, or a discovery error.
    fn list_event(&mut self, second: u64) -> Event {
        let n = self.random_below(self.scenario.servers as u32) as usize;
        let mut entry = self.scenario.entry(n);
        let kind = match self.random_below(6) {
            0 => {
                entry.health = Health::Draining;
                ListKind::Partial
            }
            1 => {
                entry.health = Health::Removed;
                ListKind::Partial
            }
            2 | 3 => {
                entry.started_us = 1_000_000_000 + second * 1_000_000;
                ListKind::Partial
            }
            4 => {
                return Event::Servers {
                    kind: ListKind::Complete,
                    entries: self.scenario.list(),
                }
            }
            _ if self.scenario.seed.is_multiple_of(3) => {
                return Event::Servers {
                    kind: ListKind::Persisted,
                    entries: self.scenario.list(),
                }
            }
            _ => ListKind::Error,
        };
        Event::Servers {
            kind,
            entries: vec![entry],
        }
    }

    /// Carries out an action of gateway `g` by scheduling the events that follow from it.
    fn carry_out(&mut self, g: usize, action: Action) {
        let now = self.now;
        let recorded = recorded_form(&action);
        let kind = match action {
            Action::Send {
                request,
                server,
                timeout_us,
                ..
            } => {
                self.schedule_outcome(g, request, server, timeout_us);
                0
            }
            Action::Cancel { .. } => 1,
            Action::Reject { .. } => 2,
            Action::Fail { .. } => 3,
            Action::SetTimer { after_us, timer } => {
                self.schedule(after_us, g, Event::Timer(timer));
                7
            }
            Action::SendToPeer { to, bytes } => {
                self.deliver_message(g, to as usize, bytes);
                4
            }
            Action::AddToCounter {
                name,
                amount,
                ttl_us: _,
            } => {
                self.add_to_counter(g, name, amount);
                5
            }
            Action::ReportUsage { tag, units } => {
                self.deliver_usage_report(g, tag, units);
                6
            }
            Action::Subscribe | Action::Log(_) => 7,
        };
        self.action_counts[kind] += 1;
        self.add_to_digest(&format!("{now} {g} {recorded}"));
    }

    /// Schedules the end of an attempt.
    fn schedule_outcome(
        &mut self,
        g: usize,
        request: RequestId,
        server: ServerId,
        timeout_us: Micros,
    ) {
        let attempts = self.attempts.entry((g, request)).or_default();
        let attempt = *attempts;
        *attempts += 1;
        let work_us = Micros::from(self.random_below(120_000));
        let stretch = if self.random_unit() < 0.05 { 8 } else { 1 };
        let slowdown = if self.servers_are_slow() { 4 } else { 1 };
        let mut elapsed_us = (20_000 + work_us * stretch) * slowdown;
        let mut status = CompletionStatus::Served;
        if self.random_unit() < self.scenario.fault_rate {
            status = FAULTS[self.random_below(6) as usize];
            elapsed_us /= 3;
        }
        if timeout_us > 0 && elapsed_us > timeout_us {
            status = CompletionStatus::NoAnswer;
            elapsed_us = timeout_us;
        }
        let mut outcome = AttemptOutcome::new(request, attempt, server, status, elapsed_us);
        outcome.closed = status == CompletionStatus::Served;
        outcome.settled_units = (self.random_unit() < 0.1).then_some(2.0);
        outcome.metered_use =
            (self.random_unit() < 0.5).then(|| f64::from((self.now / 1_000_000 % 5) as u32) * 0.6);
        self.schedule(elapsed_us, g, Event::Outcome(outcome));
    }

    /// Delivers a peer message, unless it is lost.
    fn deliver_message(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if to < self.gateways.len() && self.random_unit() > self.scenario.fault_rate {
            let from = from as u32;
            self.schedule(1_000, to, Event::Peer { from, bytes });
        }
    }

    /// Delivers a usage report to all other gateways.
    fn deliver_usage_report(&mut self, from: usize, tag: u32, units: f64) {
        for other in (0..self.gateways.len()).filter(|o| *o != from) {
            let report = Event::UsageReported {
                complete_gateways: vec![from as u32],
                uses: vec![(from as u32, tag, units)],
                earlier_uses: Vec::new(),
            };
            self.schedule(2_000, other, report);
        }
    }

    /// Returns whether the servers are slow; in scenarios with faults they are slow for four seconds.
    fn servers_are_slow(&self) -> bool {
        self.scenario.fault_rate > 0.0
            && (3_000_000..7_000_000).contains(&(self.now - 1_000_000_000))
    }

    /// Adds to a count that gateways outside the simulation add to as well. In scenarios with faults some calls fail, and the
    /// counter is down for two seconds.
    fn add_to_counter(&mut self, g: usize, name: String, amount: f64) {
        let added_by_others = f64::from(self.scenario.gateways.saturating_sub(SIMULATED_GATEWAYS))
            .min(20.0)
            * self.random_unit()
            * 0.05;
        let is_down = (5_000_000..7_000_000).contains(&(self.now - 1_000_000_000))
            && self.scenario.fault_rate > 0.0;
        let status = if is_down || self.random_unit() < self.scenario.fault_rate {
            COUNTER_FAULTS[self.random_below(3) as usize]
        } else {
            CompletionStatus::Served
        };
        let total = self.counts.entry(name.clone()).or_default();
        if matches!(
            status,
            CompletionStatus::Served | CompletionStatus::NoAnswer
        ) {
            *total += amount + added_by_others.floor();
        }
        let total = *total;
        let after = 1_500
            + Micros::from(self.random_below(4_000))
            + if status == CompletionStatus::NoAnswer {
                50_000
            } else {
                0
            };
        self.schedule(
            after,
            g,
            Event::CounterReply {
                name,
                status,
                total,
            },
        );
    }

    /// Adds a line to the digest (FNV-1a, 64 bits).
    fn add_to_digest(&mut self, line: &str) {
        let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        self.digest = line.bytes().fold(self.digest, step);
    }
}

/// Returns an action as the digests record it. The texts are independent of identifiers in the code, which may change.
fn recorded_form(action: &Action) -> String {
    let request_text = |id: &RequestId| format!("RequestId({})", id.0);
    match action {
        // The recordings are older than `pass_on_after_us`, which follows from the request's deadline.
        Action::Send { request, server, timeout_us, begin_within_us, .. } => format!(
            "Send {{ request: {}, server: ServerId({:?}), timeout_us: {timeout_us}, begin_within_us: {begin_within_us} }}",
            request_text(request),
            server.0
        ),
        Action::Cancel { request, attempt } => {
            format!("Cancel {{ request: {}, attempt: {attempt} }}", request_text(request))
        }
        // Reasons are for logs only and are left out.
        Action::Reject { request, retry_after_us, reason: _ } => {
            format!("Refuse {{ request: {}, retry_after_us: {retry_after_us} }}", request_text(request))
        }
        Action::Fail { request, reason: _ } => format!("Fail {{ request: {} }}", request_text(request)),
        Action::SetTimer { after_us, timer } => {
            let timer = match timer {
                Timer::Interval => "Interval".to_string(),
                Timer::Request(id) => format!("Request({})", request_text(id)),
                Timer::Customer(tag) => format!("Customer({tag})"),
            };
            format!("SetTimer {{ after_us: {after_us}, timer: {timer} }}")
        }
        Action::SendToPeer { to, bytes } => format!("Tell {{ to: {to}, bytes: {bytes:?} }}"),
        // Amounts are rounded: logarithms and powers may differ in the last digits on another machine.
        Action::AddToCounter { name, amount, ttl_us } => format!("Count {name} {amount:.6} {ttl_us}"),
        Action::ReportUsage { tag, units } => format!("Used {{ tag: {tag}, units: {units:?} }}"),
        Action::Subscribe => "Subscribe".to_string(),
        Action::Log(line) => format!("Log({line:?})"),
    }
}
