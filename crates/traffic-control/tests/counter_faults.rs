//! Four gateways, a counter that goes wrong and a meter, in virtual time: what comes too much, and what the honest still get.

use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, ListKind, Micros, Request, RequestId,
    ServerEntry, ServerId, Settings, Timer,
};
use std::collections::{BTreeMap, VecDeque};

const STEP_US: Micros = 5_000;
thread_local! {
    /// A count lives for a minute: whether it ends within a fault is up to the start.
    static START: std::cell::Cell<Micros> = const { std::cell::Cell::new(965_000_000) };
    /// Units a second, burst, and most units of one request.
    static PLAN: std::cell::Cell<(f64, f64, f64)> = const { std::cell::Cell::new((40.0, 80.0, 1.0)) };
}

fn rate() -> f64 {
    PLAN.with(std::cell::Cell::get).0
}

fn burst() -> f64 {
    PLAN.with(std::cell::Cell::get).1
}

/// A large plan, and a small one whose requests may be large beside it; counts that end at different times.
fn for_each_plan(play: impl Fn()) {
    for (plan, start) in [
        ((40.0, 80.0, 1.0), 965),
        ((40.0, 80.0, 1.0), 1_003),
        ((6.0, 24.0, 6.0), 965),
        ((6.0, 24.0, 6.0), 1_003),
    ] {
        println!("{plan:?} from {start}");
        PLAN.with(|p| p.set(plan));
        START.with(|s| s.set(start * 1_000_000));
        play();
    }
}
const GATEWAYS: usize = 4;
/// A call, and a request, take this long.
const CALL_US: Micros = 2_000;
const SERVED_US: Micros = 20_000;
/// A call without an answer is given up after this.
const CALL_TIMEOUT_US: Micros = 50_000;
const METER_DELAY_US: Micros = 600_000;
/// Customers 0 and 1 ask for four times their quota evenly; the others for a part of theirs, most of it at one gateway.
const DEMAND_PER_QUOTA: [f64; 6] = [4.0, 4.0, 0.4, 0.6, 0.8, 0.9];

#[derive(Clone, Copy, PartialEq)]
enum TotalFault {
    None,
    By(f64),
    NoNumber,
}

struct Counter {
    replicas: Vec<BTreeMap<String, f64>>,
    replica_of_gateway: [usize; GATEWAYS],
    is_lost: bool,
    /// Names of that one of three parts get no answer.
    lost_part: Option<usize>,
    delay: Micros,
    total_fault: TotalFault,
}

struct World {
    now: Micros,
    gateways: Vec<Option<Gateway>>,
    timers: Vec<BTreeMap<Micros, Vec<Timer>>>,
    ends: VecDeque<(Micros, usize, RequestId, ServerId)>,
    calls: BTreeMap<(Micros, u64), (usize, Event)>,
    counter: Counter,
    meter_lost: bool,
    periods: BTreeMap<(usize, u64), f64>,
    customer_of: BTreeMap<RequestId, usize>,
    asked: Vec<Vec<Micros>>,
    sent: Vec<Vec<Micros>>,
    moved: bool,
    state: u64,
    next: u64,
    counted: u64,
    logs: Vec<String>,
}

fn settings(me: usize) -> Settings {
    let mut s = Settings::example();
    (s.gateways, s.me, s.counter) = (GATEWAYS as u32, me as u32, true);
    (s.plans[0].rate, s.plans[0].burst, s.max_units) = PLAN.with(std::cell::Cell::get);
    (s.meter_period_us, s.parallel_attempts) = (1_000_000, false);
    s
}

impl World {
    fn new() -> World {
        let counter = Counter {
            replicas: vec![BTreeMap::new()],
            replica_of_gateway: [0; GATEWAYS],
            is_lost: false,
            lost_part: None,
            delay: CALL_US,
            total_fault: TotalFault::None,
        };
        let mut world = World {
            now: START.with(std::cell::Cell::get),
            gateways: (0..GATEWAYS).map(|_| None).collect(),
            timers: vec![BTreeMap::new(); GATEWAYS],
            ends: VecDeque::new(),
            calls: BTreeMap::new(),
            counter,
            meter_lost: false,
            periods: BTreeMap::new(),
            customer_of: BTreeMap::new(),
            asked: vec![Vec::new(); DEMAND_PER_QUOTA.len()],
            sent: vec![Vec::new(); DEMAND_PER_QUOTA.len()],
            moved: false,
            state: 5,
            next: 1,
            counted: 0,
            logs: Vec::new(),
        };
        (0..GATEWAYS).for_each(|n| world.start(n));
        world.run(10.0);
        world
    }

    fn start(&mut self, n: usize) {
        self.gateways[n] = Some(Gateway::new(settings(n), 77 + n as u64).expect("settings"));
        self.timers[n].clear();
        let entries = (0..40)
            .map(|s| ServerEntry::ready(&format!("s{s}"), "a"))
            .collect();
        self.handle_event(
            n,
            Event::Servers {
                kind: ListKind::Complete,
                entries,
            },
        );
    }

    fn random_unit(&mut self) -> f64 {
        self.state = self
            .state
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.state >> 33) as f64 / f64::from(1u32 << 31)
    }

    fn handle_event(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(gateway) = &mut self.gateways[n] else {
            return;
        };
        gateway.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request, server, ..
                } => {
                    let customer = self.customer_of[&request];
                    self.sent[customer].push(self.now);
                    *self
                        .periods
                        .entry((customer, self.now / 1_000_000))
                        .or_default() += 1.0;
                    self.ends
                        .push_back((self.now + SERVED_US, n, request, server));
                }
                Action::SetTimer { after_us, timer } => {
                    self.timers[n]
                        .entry(self.now + after_us)
                        .or_default()
                        .push(timer);
                }
                Action::AddToCounter { name, amount, .. } => self.count(n, name, amount),
                Action::Log(line) => self.logs.push(line),
                _ => {}
            }
        }
    }

    fn count(&mut self, n: usize, name: String, amount: f64) {
        self.counted += 1;
        let c = &mut self.counter;
        let part = name.bytes().map(usize::from).sum::<usize>() % 3;
        let silent = c.is_lost || c.lost_part == Some(part);
        let (mut status, mut total, mut at) =
            (CompletionStatus::NoAnswer, 0.0, self.now + CALL_TIMEOUT_US);
        if !silent {
            let held = c.replicas[c.replica_of_gateway[n]]
                .entry(name.clone())
                .or_default();
            *held += amount;
            if c.delay < CALL_TIMEOUT_US {
                (status, total, at) = (CompletionStatus::Served, *held, self.now + c.delay);
            }
            match c.total_fault {
                TotalFault::By(by) if status == CompletionStatus::Served => total += by,
                TotalFault::NoNumber => status = CompletionStatus::ServerError,
                _ => {}
            }
        }
        self.calls.insert(
            (at, self.counted),
            (
                n,
                Event::CounterReply {
                    name,
                    status,
                    total,
                },
            ),
        );
    }

    fn step(&mut self) {
        self.now += STEP_US;
        for (customer, of_rate) in DEMAND_PER_QUOTA.into_iter().enumerate() {
            if self.random_unit() >= of_rate * rate() * STEP_US as f64 / 1e6 {
                continue;
            }
            let draw = (self.random_unit() * 100.0) as usize;
            let place = match draw {
                _ if self.moved && customer < 2 => 3,
                _ if customer < 2 => draw % GATEWAYS,
                0..55 => 0,
                55..80 => 1,
                80..92 => 2,
                _ => 3,
            };
            let mut r = Request::new(
                self.next,
                &format!("c{customer}"),
                "basic",
                "read",
                2_000_000,
            );
            r.gateway_count = GATEWAYS as u32;
            self.next += 1;
            self.customer_of.insert(r.id, customer);
            self.asked[customer].push(self.now);
            self.handle_event((customer + place) % GATEWAYS, Event::Request(r));
        }
        while let Some(call) = self.calls.first_entry().filter(|e| e.key().0 <= self.now) {
            let (n, event) = call.remove();
            self.handle_event(n, event);
        }
        while self.ends.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, n, id, server) = self.ends.pop_front().expect("one");
            let mut o =
                AttemptOutcome::new(id, 0, server, CompletionStatus::Served, SERVED_US).closing();
            let period = (
                (self.now - METER_DELAY_US) / 1_000_000 - 1,
                self.customer_of[&id],
            );
            let used = self
                .periods
                .get(&(period.1, period.0))
                .copied()
                .unwrap_or(0.0);
            o.metered_use = (!self.meter_lost).then_some(used / rate());
            self.handle_event(n, Event::Outcome(o));
        }
        for n in 0..GATEWAYS {
            while let Some(due) = self.timers[n]
                .first_entry()
                .filter(|e| *e.key() <= self.now)
            {
                due.remove()
                    .into_iter()
                    .for_each(|t| self.handle_event(n, Event::Timer(t)));
            }
        }
    }

    fn run(&mut self, seconds: f64) {
        (0..(seconds * 1e6) as u64 / STEP_US).for_each(|_| self.step());
    }

    /// Units beyond a store of the quota since a time, of the customer with most of them, in units.
    fn overrun_units(&self, from: Micros) -> f64 {
        let over = |sent: &Vec<Micros>| {
            let (mut level, mut at, mut over) = (burst(), START.with(std::cell::Cell::get), 0.0);
            for &t in sent {
                level = (level + (t - at) as f64 / 1e6 * rate()).min(burst());
                at = t;
                if level >= 1.0 {
                    level -= 1.0;
                } else if t >= from {
                    over += 1.0;
                }
            }
            over
        };
        self.sent.iter().map(over).fold(0.0, f64::max)
    }

    /// Of what the honest asked since a time, the share that was sent on.
    fn honest_share(&self, from: Micros) -> f64 {
        let since = |all: &[Vec<Micros>]| -> f64 {
            all[2..]
                .iter()
                .map(|of| of.iter().filter(|t| **t >= from).count() as f64)
                .sum()
        };
        since(&self.sent) / since(&self.asked)
    }

    /// What whoever asks too much got since a time, beside the quota.
    fn heavy_share(&self, from: Micros) -> f64 {
        let seconds = (self.now - from) as f64 / 1e6;
        let got = |n: usize| {
            self.sent[n].iter().filter(|t| **t >= from).count() as f64 / (seconds * rate())
        };
        got(0).min(got(1))
    }

    /// Plays a fault, then ten seconds more; then all must be as usual for twenty. Limits on what comes too much are in
    /// seconds of the quota's rate.
    fn play_fault(
        &mut self,
        seconds: f64,
        begin: impl FnOnce(&mut World),
        end: impl FnOnce(&mut World),
        most_over: f64,
        least_honest: f64,
    ) {
        let from = self.now;
        begin(self);
        self.run(seconds);
        let honest = self.honest_share(from);
        end(self);
        self.run(10.0);
        let over = self.overrun_units(from) / rate();
        println!("overrun {over:.2} s, honest {honest:.3}");
        assert!(over <= most_over, "{over} seconds' worth too much");
        assert!(honest >= least_honest, "the honest got {honest}");
        let usual = self.now;
        self.run(20.0);
        let (over, honest, heavy) = (
            self.overrun_units(usual) / rate(),
            self.honest_share(usual),
            self.heavy_share(usual),
        );
        println!("   then {over:.2} s, honest {honest:.3}, heavy {heavy:.2}");
        assert!(
            over <= 4.0,
            "{over} seconds' worth too much, and all is well"
        );
        assert!(honest >= 0.96, "{honest}, and all is well");
        assert!((0.8..=1.2).contains(&heavy), "{heavy}, and all is well");
    }
}

#[test]
fn without_a_fault_quotas_hold() {
    for_each_plan(|| {
        World::new().play_fault(10.0, |_| {}, |_| {}, 1.0, 0.98);
    });
}

/// Both lost at the busiest moment; the seconds in which nobody knows yet are all that may come too much.
#[test]
fn quotas_hold_while_the_counter_is_lost() {
    for_each_plan(|| {
        for seconds in [1.0, 10.0, 60.0] {
            let mut world = World::new();
            world.play_fault(
                seconds,
                |w| w.counter.is_lost = true,
                |w| w.counter.is_lost = false,
                4.0,
                0.85,
            );
            if seconds > 5.0 {
                let lost = world
                    .logs
                    .iter()
                    .filter(|l| l.contains("counter lost"))
                    .count();
                assert!((1..=GATEWAYS).contains(&lost), "{:?}", world.logs);
            }
        }
    });
}

fn split_counter(w: &mut World) {
    let copy = w.counter.replicas[0].clone();
    w.counter.replicas.push(copy);
    w.counter.replica_of_gateway = [0, 0, 1, 1];
}

fn heal_counter(w: &mut World) {
    w.counter.replica_of_gateway = [0; GATEWAYS];
}

/// The halves see half of the use each; the meter tells of all of it. Alone each half would let the whole rate through, a
/// minute of it too much in all; of a small quota chance hides the split longer.
#[test]
fn quotas_hold_while_the_counter_is_split_and_after_it_heals() {
    for_each_plan(|| {
        let mut world = World::new();
        world.play_fault(60.0, split_counter, heal_counter, 22.0, 0.85);
        assert!(
            world.logs.iter().any(|l| l.contains("counter doubtful")),
            "{:?}",
            world.logs
        );
    });
}

#[test]
fn quotas_hold_for_a_customer_that_moves_while_the_counter_is_split() {
    for_each_plan(|| {
        let mut world = World::new();
        split_counter(&mut world);
        world.run(10.0);
        world.play_fault(10.0, |w| w.moved = true, heal_counter, 6.0, 0.85);
    });
}

fn replace_counter(w: &mut World) {
    w.counter.replicas.push(BTreeMap::new());
    w.counter.replica_of_gateway = [w.counter.replicas.len() - 1; GATEWAYS];
}

#[test]
fn quotas_hold_when_the_counter_restarts_at_zero() {
    for_each_plan(|| {
        let mut world = World::new();
        world.play_fault(10.0, replace_counter, |_| {}, 3.0, 0.95);
        assert!(
            world.logs.iter().any(|l| l.contains("counter doubtful")),
            "{:?}",
            world.logs
        );
    });
}

#[test]
fn quotas_hold_when_the_counter_is_replaced_and_restored() {
    for_each_plan(|| {
        World::new().play_fault(10.0, replace_counter, heal_counter, 4.0, 0.9);
    });
}

#[test]
fn quotas_hold_while_a_third_of_the_counter_is_lost() {
    for_each_plan(|| {
        for part in 0..3 {
            let lose = |w: &mut World| w.counter.lost_part = Some(part);
            World::new().play_fault(10.0, lose, |w| w.counter.lost_part = None, 4.0, 0.85);
        }
    });
}

#[test]
fn quotas_hold_while_replies_are_a_second_late() {
    for_each_plan(|| {
        World::new().play_fault(
            10.0,
            |w| w.counter.delay = 1_000_000,
            |w| w.counter.delay = CALL_US,
            4.0,
            0.85,
        );
    });
}

#[test]
fn quotas_hold_while_totals_are_wrong() {
    for_each_plan(|| {
        for lie in [
            TotalFault::By(500.0),
            TotalFault::By(-500.0),
            TotalFault::NoNumber,
        ] {
            let tell = |w: &mut World| w.counter.total_fault = lie;
            World::new().play_fault(
                10.0,
                tell,
                |w| w.counter.total_fault = TotalFault::None,
                4.0,
                0.85,
            );
        }
    });
}

/// Then each gateway has its even part, and no more is known.
#[test]
fn quotas_hold_while_counter_and_meter_are_lost() {
    for_each_plan(|| {
        let lose = |w: &mut World| (w.counter.is_lost, w.meter_lost) = (true, true);
        let find = |w: &mut World| (w.counter.is_lost, w.meter_lost) = (false, false);
        World::new().play_fault(10.0, lose, find, 4.0, 0.6);
    });
}

#[test]
fn quotas_hold_when_a_gateway_restarts_while_the_counter_is_lost() {
    for_each_plan(|| {
        let mut world = World::new();
        world.counter.is_lost = true;
        world.run(3.0);
        world.play_fault(
            10.0,
            |w| {
                w.gateways[1] = None;
                w.run(2.0);
                w.start(1);
            },
            |w| w.counter.is_lost = false,
            6.0,
            0.7,
        );
    });
}

/// What the ledger knows costs no calls.
#[test]
fn calls_do_not_increase() {
    for_each_plan(|| {
        let mut world = World::new();
        let (asked, counted) = (world.next, world.counted);
        world.run(30.0);
        let calls = (world.counted - counted) as f64 / (world.next - asked) as f64;
        println!("{calls:.3} calls a request");
        assert!(calls <= 0.85, "{calls} calls a request");
    });
}
