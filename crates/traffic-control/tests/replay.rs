//! Whether the decisions are still the same ones. Drawn worlds (gateways, servers, a counter, peers, reloads and takeovers)
//! are played against the module, and a digest of all its actions is compared with the one that was recorded. A change
//! that is to alter behaviour records them anew, in a commit of its own that says what it gains:
//!
//!     RECORD=1 cargo test -p frosthatch_traffic_control --test replay
#![expect(
    clippy::default_trait_access,
    clippy::match_bool,
    clippy::struct_excessive_bools,
    clippy::too_many_lines
)]

use frosthatch_traffic_control::{
    Action, AttemptOutcome, Ceiling, CompletionStatus, Effect, Event, Gateway, Health, ListKind,
    Micros, Plan, Request, RequestClass, RequestId, Scope, ServerEntry, ServerId, Settings, Timer,
};
use proptest::prelude::{any, prop_oneof, Just, Strategy};
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::LazyLock;

const GOLDEN: &str = "tests/golden/replay.txt";
/// Worlds of each size of fleet.
const WORLDS_PER_FLEET: usize = 12;
/// Of a fleet so many gateways are played; what the others do shows in the counts.
const PLAYED_GATEWAYS: u32 = 4;
const SECONDS: u64 = 12;

#[derive(Clone, Debug)]
struct World {
    gateways: u32,
    counter: bool,
    peers: bool,
    usage_reports: bool,
    effect: u8,
    servers: usize,
    customers: u32,
    per_s: f64, // requests that each gateway gets a second
    quota: f64,
    max_open: u32,
    ceiling: f64,    // times the quota; 0: none
    fault_rate: f64, // part of attempts and calls that end badly
    cancel: bool,
    seed: u64,
}

fn worlds(gateways: u32) -> impl Strategy<Value = World> {
    let known = (any::<bool>(), any::<bool>(), any::<bool>());
    let fleet = (0u8..3, 1usize..90, 1u32..16, 5.0..80.0f64);
    let quotas = (1.0..60.0f64, 1u32..9, prop_oneof![Just(0.0), 1.2..3.0f64]);
    let rest = (
        prop_oneof![Just(0.0), 0.01..0.4f64],
        any::<bool>(),
        any::<u64>(),
    );
    (known, fleet, quotas, rest).prop_map(move |(known, fleet, quotas, rest)| World {
        gateways,
        counter: known.0,
        peers: known.1,
        usage_reports: known.2 && !known.0,
        effect: fleet.0,
        servers: fleet.1,
        customers: fleet.2,
        per_s: fleet.3,
        quota: quotas.0,
        max_open: quotas.1,
        ceiling: quotas.2,
        fault_rate: rest.0,
        cancel: rest.1,
        seed: rest.2,
    })
}

impl World {
    fn settings(&self, me: u32) -> Settings {
        let class = |name: &str, aim_us, worth, effect| RequestClass {
            name: name.into(),
            latency_objective_us: aim_us,
            deadline_us: 3 * aim_us,
            effect,
            priority_weight: worth,
            late_weight: 0.0,
        };
        let effect = match self.effect {
            0 => Effect::Repeatable,
            1 => Effect::Keyed {
                scope: Scope::Cell,
                window_us: 750_000,
            },
            _ => Effect::Once,
        };
        let plan = |name: &str, rate: f64, max_open, price, excess_worth, ceiling: f64| Plan {
            name: name.into(),
            rate,
            burst: rate * 2.0,
            max_open,
            price,
            excess_weight: excess_worth,
            overrun_cost: 1.0 - excess_worth,
            ceiling: (ceiling > 0.0).then_some(Ceiling {
                rate: rate * ceiling,
                depth: rate * ceiling * 2.0,
            }),
        };
        Settings {
            gateways: self.gateways,
            me,
            classes: vec![
                class("read", 600_000, 2.0, Effect::Repeatable),
                class("write", 300_000, 5.0, effect),
            ],
            plans: vec![
                plan("small", self.quota / 8.0, 0, 0.5, 0.9, 0.0),
                plan("places", 0.0, self.max_open, 1.3, 0.0, 0.0),
                plan("large", self.quota, 0, 1.8, 0.0, self.ceiling),
            ],
            max_attempts: 4,
            parallel_attempts: false,
            cancel: self.cancel,
            peer_messages: self.peers,
            peer_messages_per_s: 100.0,
            counter: self.counter,
            usage_report_ttl_us: if self.usage_reports { 400_000 } else { 0 },
            meter_period_us: 1_000_000,
            cross_zone_cost: 0.02,
            max_units: 6.0,
            retries: Default::default(),
            ..Settings::example()
        }
    }

    fn entry(&self, n: usize) -> ServerEntry {
        ServerEntry {
            cell: (n % 5) as u64,
            weight: 1.0 + (n % 3) as f64 / 2.0,
            ..ServerEntry::ready(
                &format!("s{n}"),
                if n.is_multiple_of(2) { "a" } else { "b" },
            )
        }
    }

    fn list(&self) -> Vec<ServerEntry> {
        (0..self.servers).map(|n| self.entry(n)).collect()
    }
}

struct Play {
    world: World,
    rng: Pcg64Mcg,
    now: Micros,
    gateways: Vec<Gateway>,
    // By time, then in the order in which they came up.
    due: BTreeMap<(Micros, u64), (usize, Event)>,
    events: u64,
    counts: BTreeMap<String, f64>,
    attempts: BTreeMap<(usize, RequestId), u32>,
    digest: u64,
    action_counts: [u64; 8],
}

impl Play {
    fn new(world: World) -> Play {
        let played = world.gateways.min(PLAYED_GATEWAYS);
        let gateways = (0..played).map(|me| {
            Gateway::new(world.settings(me), world.seed + u64::from(me)).expect("settings")
        });
        let mut play = Play {
            rng: Pcg64Mcg::seed_from_u64(world.seed),
            now: 1_000_000_000,
            gateways: gateways.collect(),
            due: BTreeMap::new(),
            events: 0,
            counts: BTreeMap::new(),
            attempts: BTreeMap::new(),
            digest: 0xcbf2_9ce4_8422_2325,
            action_counts: [0; 8],
            world,
        };
        for g in 0..played as usize {
            play.schedule(
                0,
                g,
                Event::Servers {
                    kind: ListKind::Complete,
                    entries: play.world.list(),
                },
            );
        }
        play
    }

    fn schedule(&mut self, after: Micros, gateway: usize, event: Event) {
        self.events += 1;
        self.due
            .insert((self.now + after, self.events), (gateway, event));
    }

    fn random_unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn below(&mut self, n: u32) -> u32 {
        self.rng.next_u32() % n.max(1)
    }

    /// All of it: what comes in for each gateway, and what follows.
    fn run(mut self) -> (u64, [u64; 8]) {
        let (end, played) = (self.now + SECONDS * 1_000_000, self.gateways.len());
        for g in 0..played {
            let mut at = 0;
            while at < SECONDS * 1_000_000 {
                at += (-(1.0 - self.random_unit() * 0.999_999).ln() / self.world.per_s * 1e6)
                    as Micros;
                let request = self.request();
                if self.random_unit() < 0.03 {
                    let after = at + Micros::from(self.below(100_000));
                    self.schedule(after, g, Event::ClientGone(request.id));
                }
                self.schedule(at, g, Event::Request(request));
            }
            for second in 1..SECONDS {
                let change = self.list_event(second);
                let after = second * 1_000_000 + Micros::from(self.below(900_000));
                self.schedule(after, g, change);
            }
        }
        while let Some(((at, _), (g, event))) = self.due.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            // A takeover: another process with the list that this one had. What was out is nobody's.
            if matches!(
                &event,
                Event::Servers {
                    kind: ListKind::Persisted,
                    ..
                }
            ) {
                let stays = |e: &Event| matches!(e, Event::Request(_) | Event::Servers { .. });
                self.due.retain(|_, (of, e)| *of != g || stays(e));
                let settings = self.world.settings(g as u32);
                self.gateways[g] = Gateway::new(settings, self.world.seed ^ at).expect("settings");
            }
            let mut out = Vec::new();
            self.gateways[g].handle(at, event, &mut out);
            for action in out {
                self.carry_out(g, action);
            }
        }
        let left: u64 = self.gateways.iter().map(|g| g.open_requests() as u64).sum();
        self.add_to_digest(&format!(
            "{left} open, {} avoided",
            self.gateways[0].avoided()
        ));
        (self.digest, self.action_counts)
    }

    fn request(&mut self) -> Request {
        let n = self.below(self.world.customers);
        let plan = ["small", "places", "large"][n as usize % 3];
        let class = if self.random_unit() < 0.7 {
            "read"
        } else {
            "write"
        };
        let patience = 150_000 + Micros::from(self.below(1_500_000));
        let id = self.events + 1;
        let mut r = Request::new(id, &format!("customer-{n}"), plan, class, patience);
        r.units = f64::from(1 + self.below(6));
        r.gateway_count = [1, 2, 3, 60, 300][n as usize % 5].min(self.world.gateways);
        r.first_gateway = if r.gateway_count < 4 {
            0
        } else {
            n % self.world.gateways
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

    /// News of the list: drains, cold starts, all of it again, or a takeover.
    fn list_event(&mut self, second: u64) -> Event {
        let n = self.below(self.world.servers as u32) as usize;
        let mut entry = self.world.entry(n);
        let kind = match self.below(6) {
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
                    entries: self.world.list(),
                }
            }
            _ if self.world.seed.is_multiple_of(3) => {
                return Event::Servers {
                    kind: ListKind::Persisted,
                    entries: self.world.list(),
                }
            }
            _ => ListKind::Error,
        };
        Event::Servers {
            kind,
            entries: vec![entry],
        }
    }

    fn carry_out(&mut self, g: usize, action: Action) {
        let (now, recorded) = (self.now, recorded_form(&action));
        let kind = match action {
            Action::Send {
                request,
                server,
                timeout_us,
                begin_within_us: _,
            } => {
                let n = self.attempts.entry((g, request)).or_default();
                let attempt = *n;
                *n += 1;
                let took = 20_000
                    + Micros::from(self.below(120_000))
                        * if self.random_unit() < 0.05 { 8 } else { 1 };
                let took = if self.servers_are_slow() {
                    took * 4
                } else {
                    took
                };
                let (mut status, mut took) = match self.random_unit() < self.world.fault_rate {
                    false => (CompletionStatus::Served, took),
                    true => {
                        let bad = [
                            CompletionStatus::ServerError,
                            CompletionStatus::Rejected,
                            CompletionStatus::NoAnswer,
                            CompletionStatus::NoConnection,
                            CompletionStatus::ConnectionLost,
                            CompletionStatus::NotSent,
                        ];
                        (bad[self.below(6) as usize], took / 3)
                    }
                };
                if timeout_us > 0 && took > timeout_us {
                    (status, took) = (CompletionStatus::NoAnswer, timeout_us);
                }
                let mut o = AttemptOutcome::new(request, attempt, server, status, took);
                o.closed = status == CompletionStatus::Served;
                o.settled_units = (self.random_unit() < 0.1).then_some(2.0);
                o.metered_use = (self.random_unit() < 0.5)
                    .then(|| f64::from((self.now / 1_000_000 % 5) as u32) * 0.6);
                self.schedule(took, g, Event::Outcome(o));
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
                if (to as usize) < self.gateways.len() && self.random_unit() > self.world.fault_rate
                {
                    self.schedule(
                        1_000,
                        to as usize,
                        Event::Peer {
                            from: g as u32,
                            bytes,
                        },
                    );
                }
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
                for other in (0..self.gateways.len()).filter(|o| *o != g) {
                    self.schedule(2_000, other, {
                        let (heard, uses) = (vec![g as u32], vec![(g as u32, tag, units)]);
                        Event::UsageReported {
                            heard,
                            uses,
                            past: Vec::new(),
                        }
                    });
                }
                6
            }
            Action::Subscribe | Action::Log(_) => 7,
        };
        self.action_counts[kind] += 1;
        self.add_to_digest(&format!("{now} {g} {recorded}"));
    }

    /// Where there is trouble the servers are slow for four seconds.
    fn servers_are_slow(&self) -> bool {
        self.world.fault_rate > 0.0 && (3_000_000..7_000_000).contains(&(self.now - 1_000_000_000))
    }

    /// The others of the fleet add, too; now and then it fails, and once it is down for two seconds.
    fn add_to_counter(&mut self, g: usize, name: String, amount: f64) {
        let others = f64::from(self.world.gateways.saturating_sub(PLAYED_GATEWAYS)).min(20.0)
            * self.random_unit()
            * 0.05;
        let down = (5_000_000..7_000_000).contains(&(self.now - 1_000_000_000))
            && self.world.fault_rate > 0.0;
        let status = match down || self.random_unit() < self.world.fault_rate {
            false => CompletionStatus::Served,
            true => [
                CompletionStatus::ServerError,
                CompletionStatus::NoAnswer,
                CompletionStatus::NoConnection,
            ][self.below(3) as usize],
        };
        let total = self.counts.entry(name.clone()).or_default();
        if matches!(
            status,
            CompletionStatus::Served | CompletionStatus::NoAnswer
        ) {
            *total += amount + others.floor();
        }
        let total = *total;
        let after = 1_500
            + Micros::from(self.below(4_000))
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

    /// FNV-1a, 64 bits.
    fn add_to_digest(&mut self, line: &str) {
        let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        self.digest = line.bytes().fold(self.digest, step);
    }
}

/// An action in the words of the record, which do not change with the names of the code.
fn recorded_form(action: &Action) -> String {
    let of = |id: &RequestId| format!("RequestId({})", id.0);
    match action {
        Action::Send { request, server, timeout_us, begin_within_us } => format!(
            "Send {{ request: {}, server: ServerId({:?}), timeout_us: {timeout_us}, begin_within_us: {begin_within_us} }}",
            of(request),
            server.0
        ),
        Action::Cancel { request, attempt } => {
            format!("Cancel {{ request: {}, attempt: {attempt} }}", of(request))
        }
        // Reasons are for logs.
        Action::Reject { request, retry_after_us, reason: _ } => {
            format!("Refuse {{ request: {}, retry_after_us: {retry_after_us} }}", of(request))
        }
        Action::Fail { request, reason: _ } => format!("Fail {{ request: {} }}", of(request)),
        Action::SetTimer { after_us, timer } => {
            let timer = match timer {
                Timer::Interval => "Interval".to_string(),
                Timer::Request(id) => format!("Request({})", of(id)),
                Timer::Customer(tag) => format!("Customer({tag})"),
            };
            format!("SetTimer {{ after_us: {after_us}, timer: {timer} }}")
        }
        Action::SendToPeer { to, bytes } => format!("Tell {{ to: {to}, bytes: {bytes:?} }}"),
        // Of no weight here: the last digits of what a logarithm or a power gives on another machine.
        Action::AddToCounter { name, amount, ttl_us } => format!("Count {name} {amount:.6} {ttl_us}"),
        Action::ReportUsage { tag, units } => format!("Used {{ tag: {tag}, units: {units:?} }}"),
        Action::Subscribe => "Subscribe".to_string(),
        Action::Log(line) => format!("Log({line:?})"),
    }
}

fn play_all() -> String {
    let mut text = String::from(
        "# gateways world: sends cancels refusals failures tells counts uses timers digest\n",
    );
    for gateways in [1, 3, 30, 300] {
        let mut runner = TestRunner::deterministic();
        for n in 0..WORLDS_PER_FLEET {
            let world = worlds(gateways)
                .new_tree(&mut runner)
                .expect("a world")
                .current();
            let (digest, seen) = Play::new(world).run();
            let seen = seen.map(|n| n.to_string()).join(" ");
            writeln!(text, "{gateways} {n}: {seen} {digest:016x}").expect("to memory");
        }
    }
    text
}

/// Played once for all tests that only look at it.
static RESULTS: LazyLock<String> = LazyLock::new(play_all);

#[test]
fn the_decisions_are_those_that_were_recorded() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(GOLDEN);
    let now = RESULTS.as_str();
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, now).expect("written");
    }
    let recorded = std::fs::read_to_string(path).expect("recorded digests");
    for (recorded, now) in recorded.lines().zip(now.lines()) {
        assert_eq!(recorded, now, "recorded on the left");
    }
    assert_eq!(recorded.lines().count(), now.lines().count());
}

/// Every kind of action occurs in the recorded worlds, or a digest would say little.
#[test]
fn the_worlds_show_all_kinds_of_actions() {
    let mut sums = [0u64; 8];
    for line in RESULTS.lines().skip(1) {
        let figures = line.split_once(": ").expect("figures").1.split(' ');
        figures
            .zip(&mut sums)
            .for_each(|(f, sum)| *sum += f.parse::<u64>().unwrap_or(0));
    }
    assert!(sums.iter().all(|n| *n > 100), "{sums:?}");
}

/// The same events give the same actions, whatever else this process has done before.
#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(play_all(), *RESULTS);
}
