//! Tests the invariants of a gateway under random event streams with a fixed seed: requests go only to ready servers, each
//! request is answered once and before its deadline, the ceiling slice is not exceeded, and the same events give the same
//! actions.

mod common;

use frosthatch_traffic_control::{
    Action, AttemptOutcome, Ceiling, CompletionStatus, Effect, Event, Gateway, Health, ListKind,
    Micros, Request, RequestId, Scope, ServerEntry, ServerId, Settings, Timer,
};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::{Config, RngSeed};
use std::collections::{BTreeMap, BTreeSet};

fn settings() -> Settings {
    let mut s = common::unlimited_settings();
    s.gateways = 3;
    s.peer_messages = true;
    s.peer_messages_per_s = 100.0;
    s.has_counter = true;
    s.plans[0].ceiling = Some(Ceiling {
        rate: 50.0,
        depth: 30.0,
    });
    s.classes[0].effect = Effect::Keyed {
        scope: Scope::Cell,
        window_us: 500_000,
    };
    s
}

const STATUSES: [CompletionStatus; 6] = [
    CompletionStatus::Served,
    CompletionStatus::ServerError,
    CompletionStatus::Rejected,
    CompletionStatus::NoAnswer,
    CompletionStatus::NoConnection,
    CompletionStatus::ConnectionLost,
];

/// An attempt in flight.
struct AttemptInFlight {
    request: RequestId,
    number: u32,
    server: ServerId,
    sent_at: Micros,
}

/// A gateway, the state of its simulated clients and servers, and its actions.
struct Simulation {
    gateway: Gateway,
    now: Micros,
    next_request: u64,
    ready_servers: BTreeSet<ServerId>,
    in_flight: Vec<AttemptInFlight>,
    /// Number of attempts of each request.
    attempts: BTreeMap<RequestId, u32>,
    /// Number of final answers to each request.
    answers: BTreeMap<RequestId, u32>,
    /// Time when the client of each request gives up.
    deadlines: BTreeMap<RequestId, Micros>,
    /// Timers with the times when they are due.
    timers: Vec<(Micros, Timer)>,
    /// All actions so far.
    actions: Vec<Action>,
    /// Units drawn from the ceiling slice.
    drawn_units: f64,
}

/// Start of the virtual time.
const START_US: Micros = 7_000_000;

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            gateway: Gateway::new(settings(), 5).expect("the settings are valid"),
            now: START_US,
            next_request: 1u64,
            ready_servers: BTreeSet::new(),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            answers: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            timers: Vec::new(),
            actions: Vec::new(),
            drawn_units: 0.0,
        }
    }

    /// Returns the next event. Attempts in flight at their client's deadline and timers that are due by `until` come first, in
    /// order of time; at equal times the attempt comes first. Otherwise `kind` and `pick` select the event.
    fn next_event(&mut self, kind: u8, pick: u8, until: Micros) -> Option<Event> {
        self.timers.sort_by_key(|timer| timer.0);
        self.in_flight.sort_by_key(|o| self.deadlines[&o.request]);
        let timer_at = self.timers.first().map_or(Micros::MAX, |t| t.0);
        let overdue = self
            .in_flight
            .first()
            .map(|o| self.deadlines[&o.request])
            .filter(|deadline| *deadline <= until.min(timer_at));
        if let Some(deadline) = overdue {
            self.now = self.now.max(deadline);
            return Some(self.end_attempt(0, CompletionStatus::NoAnswer));
        }
        if self.timers.first().is_some_and(|t| t.0 <= until) {
            let (at, timer) = self.timers.remove(0);
            self.now = self.now.max(at);
            return Some(Event::Timer(timer));
        }
        self.selected_event(kind, pick, until)
    }

    /// Returns a request, a list update, a peer message or the end of an attempt, by `kind`; `pick` selects its contents.
    fn selected_event(&mut self, kind: u8, pick: u8, until: Micros) -> Option<Event> {
        match kind % 6 {
            0 | 1 => {
                self.now = until;
                Some(self.request())
            }
            2 => {
                self.now = until;
                Some(self.list_update(pick))
            }
            3 => Some(Event::Peer {
                from: u32::from(pick % 3),
                bytes: vec![1, pick, 0, 0, pick],
            }),
            _ => {
                self.now = until;
                if self.in_flight.is_empty() {
                    return None;
                }
                let index = usize::from(pick) % self.in_flight.len();
                Some(self.end_attempt(index, STATUSES[usize::from(pick) % 6]))
            }
        }
    }

    fn request(&mut self) -> Event {
        let mut request = Request::new(self.next_request, "c", "basic", "read", 2_000_000);
        request.gateway_count = 3;
        self.next_request += 1;
        self.deadlines.insert(request.id, self.now + 2_000_000);
        Event::Request(request)
    }

    fn list_update(&mut self, pick: u8) -> Event {
        let health = [Health::Ready, Health::Draining, Health::Removed][usize::from(pick) % 3];
        let entry = ServerEntry {
            health,
            cell: u64::from(pick % 2),
            ..ServerEntry::ready(&format!("s{}", pick % 5), "a")
        };
        if health == Health::Ready {
            self.ready_servers.insert(entry.server.clone());
        } else {
            self.ready_servers.remove(&entry.server);
        }
        Event::Servers {
            kind: ListKind::Partial,
            entries: vec![entry],
        }
    }

    /// Removes the attempt at `index` from those in flight and returns its outcome.
    fn end_attempt(&mut self, index: usize, status: CompletionStatus) -> Event {
        let ended = self.in_flight.remove(index);
        let mut outcome = AttemptOutcome::new(
            ended.request,
            ended.number,
            ended.server,
            status,
            self.now - ended.sent_at,
        );
        let is_served = status == CompletionStatus::Served;
        outcome.closed = self.answers.contains_key(&ended.request) || is_served;
        if is_served {
            self.answers.entry(ended.request).or_insert(1);
        }
        Event::Outcome(outcome)
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.actions.extend(actions);
    }

    /// Records an action and checks it against the invariants.
    fn check(&mut self, action: &Action) {
        match action {
            Action::Send {
                request, server, ..
            } => {
                assert!(
                    self.ready_servers.contains(server),
                    "requests go only to servers that are listed as ready"
                );
                assert!(
                    !self.answers.contains_key(request),
                    "no attempt is sent after the answer"
                );
                let attempts = self.attempts.entry(*request).or_default();
                self.drawn_units += f64::from(u8::from(*attempts == 0));
                self.in_flight.push(AttemptInFlight {
                    request: *request,
                    number: *attempts,
                    server: server.clone(),
                    sent_at: self.now,
                });
                *attempts += 1;
            }
            Action::Reject { request, .. } | Action::Fail { request, .. } => {
                *self.answers.entry(*request).or_default() += 1;
                assert_eq!(self.answers[request], 1, "a request is answered only once");
                assert!(
                    self.now <= self.deadlines[request],
                    "a request is answered before its deadline"
                );
            }
            Action::SetTimer { after_us, timer } => {
                self.timers.push((self.now + after_us, *timer));
            }
            _ => {}
        }
    }

    /// Checks the drawn units against the slice: a third of the ceiling's depth and rate.
    fn check_ceiling(&self) {
        let drawn_units = self.drawn_units;
        let slice_units = 10.0 + 50.0 / 3.0 * ((self.now - START_US) as f64 / 1e6);
        assert!(
            drawn_units <= slice_units + 1e-6,
            "{drawn_units} units drawn from a ceiling slice of {slice_units}"
        );
    }

    fn check_all_answered(&self) {
        let unanswered = self
            .deadlines
            .keys()
            .filter(|id| !self.answers.contains_key(id))
            .count();
        assert_eq!(unanswered, 0, "every request is answered");
    }
}

/// Handles the events of a stream and checks every action. Returns all actions and the units drawn from the ceiling slice.
fn run_stream(steps: &[(u8, u8, u32)]) -> (Vec<Action>, f64) {
    let mut simulation = Simulation::new();
    // Enough further steps for every request to be answered.
    let final_steps = |n: usize| (0..n).map(|_| (5u8, 3u8, 5_000_000u32));
    for (kind, pick, us) in steps.iter().copied().chain(final_steps(400)) {
        let until = simulation.now + Micros::from(us);
        if let Some(event) = simulation.next_event(kind, pick, until) {
            simulation.handle(event);
        }
        simulation.check_ceiling();
    }
    simulation.check_all_answered();
    (simulation.actions, simulation.drawn_units)
}

proptest! {
    #![proptest_config(Config { cases: 64, rng_seed: RngSeed::Fixed(20_261_128), failure_persistence: None, ..Config::default() })]

    #[test]
    fn the_invariants_hold_and_the_same_events_give_the_same_actions(
        steps in proptest::collection::vec((any::<u8>(), any::<u8>(), 0u32..200_000), 1..300)
    ) {
        let (first, drawn_units) = run_stream(&steps);
        let (second, _) = run_stream(&steps);
        prop_assert_eq!(first, second);
        prop_assert!(drawn_units >= 0.0);
    }
}
