//! Four gateways, a counter that goes wrong and a meter, in virtual time: what comes too much, and what the honest still get.

use frosthatch_traffic_control::*;
use std::collections::{BTreeMap, VecDeque};

const STEP: Micros = 5_000;
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
fn each(play: impl Fn()) {
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
const CALL: Micros = 2_000;
const SERVED: Micros = 20_000;
/// A call without an answer is given up after this.
const PATIENCE: Micros = 50_000;
const METER_LATE: Micros = 600_000;
/// Customers 0 and 1 ask for four times their quota evenly; the others for a part of theirs, most of it at one gateway.
const ASKED: [f64; 6] = [4.0, 4.0, 0.4, 0.6, 0.8, 0.9];

#[derive(Clone, Copy, PartialEq)]
enum Lie {
    None,
    By(f64),
    NoNumber,
}

struct Counter {
    books: Vec<BTreeMap<String, f64>>,
    of: [usize; GATEWAYS],
    lost: bool,
    /// Names of that one of three parts get no answer.
    lost_part: Option<usize>,
    delay: Micros,
    lie: Lie,
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
            books: vec![BTreeMap::new()],
            of: [0; GATEWAYS],
            lost: false,
            lost_part: None,
            delay: CALL,
            lie: Lie::None,
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
            asked: vec![Vec::new(); ASKED.len()],
            sent: vec![Vec::new(); ASKED.len()],
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
        self.feed(
            n,
            Event::Servers {
                kind: ListKind::Complete,
                entries,
            },
        );
    }

    fn chance(&mut self) -> f64 {
        self.state = self
            .state
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.state >> 33) as f64 / f64::from(1u32 << 31)
    }

    fn feed(&mut self, n: usize, event: Event) {
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
                    self.ends.push_back((self.now + SERVED, n, request, server));
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
        let silent = c.lost || c.lost_part == Some(part);
        let (mut status, mut total, mut at) =
            (CompletionStatus::NoAnswer, 0.0, self.now + PATIENCE);
        if !silent {
            let held = c.books[c.of[n]].entry(name.clone()).or_default();
            *held += amount;
            if c.delay < PATIENCE {
                (status, total, at) = (CompletionStatus::Served, *held, self.now + c.delay);
            }
            match c.lie {
                Lie::By(by) if status == CompletionStatus::Served => total += by,
                Lie::NoNumber => status = CompletionStatus::ServerError,
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
        self.now += STEP;
        for (customer, of_rate) in ASKED.into_iter().enumerate() {
            if self.chance() >= of_rate * rate() * STEP as f64 / 1e6 {
                continue;
            }
            let draw = (self.chance() * 100.0) as usize;
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
            self.feed((customer + place) % GATEWAYS, Event::Request(r));
        }
        while let Some(call) = self.calls.first_entry().filter(|e| e.key().0 <= self.now) {
            let (n, event) = call.remove();
            self.feed(n, event);
        }
        while self.ends.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, n, id, server) = self.ends.pop_front().expect("one");
            let mut o =
                AttemptOutcome::new(id, 0, server, CompletionStatus::Served, SERVED).closing();
            let period = (
                (self.now - METER_LATE) / 1_000_000 - 1,
                self.customer_of[&id],
            );
            let used = self
                .periods
                .get(&(period.1, period.0))
                .copied()
                .unwrap_or(0.0);
            o.metered_use = (!self.meter_lost).then_some(used / rate());
            self.feed(n, Event::Outcome(o));
        }
        for n in 0..GATEWAYS {
            while let Some(due) = self.timers[n]
                .first_entry()
                .filter(|e| *e.key() <= self.now)
            {
                due.remove()
                    .into_iter()
                    .for_each(|t| self.feed(n, Event::Timer(t)));
            }
        }
    }

    fn run(&mut self, seconds: f64) {
        (0..(seconds * 1e6) as u64 / STEP).for_each(|_| self.step());
    }

    /// Units beyond a store of the quota since a time, of the customer with most of them, in units.
    fn overrun(&self, from: Micros) -> f64 {
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
    fn honest(&self, from: Micros) -> f64 {
        let since = |all: &[Vec<Micros>]| -> f64 {
            all[2..]
                .iter()
                .map(|of| of.iter().filter(|t| **t >= from).count() as f64)
                .sum()
        };
        since(&self.sent) / since(&self.asked)
    }

    /// What whoever asks too much got since a time, beside the quota.
    fn heavy(&self, from: Micros) -> f64 {
        let seconds = (self.now - from) as f64 / 1e6;
        let got = |n: usize| {
            self.sent[n].iter().filter(|t| **t >= from).count() as f64 / (seconds * rate())
        };
        got(0).min(got(1))
    }

    /// Plays a fault, then ten seconds more; then all must be as usual for twenty. Limits on what comes too much are in
    /// seconds of the quota's rate.
    fn fault(
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
        let honest = self.honest(from);
        end(self);
        self.run(10.0);
        let over = self.overrun(from) / rate();
        println!("overrun {over:.2} s, honest {honest:.3}");
        assert!(over <= most_over, "{over} seconds' worth too much");
        assert!(honest >= least_honest, "the honest got {honest}");
        let usual = self.now;
        self.run(20.0);
        let (over, honest, heavy) = (
            self.overrun(usual) / rate(),
            self.honest(usual),
            self.heavy(usual),
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
fn nothing_wrong() {
    each(|| {
        World::new().fault(10.0, |_| {}, |_| {}, 1.0, 0.98);
    });
}

/// Both lost at the busiest moment; the seconds in which nobody knows yet are all that may come too much.
#[test]
fn lost_for_1_10_and_60_seconds() {
    each(|| {
        for seconds in [1.0, 10.0, 60.0] {
            let mut world = World::new();
            world.fault(
                seconds,
                |w| w.counter.lost = true,
                |w| w.counter.lost = false,
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

fn split(w: &mut World) {
    let copy = w.counter.books[0].clone();
    w.counter.books.push(copy);
    w.counter.of = [0, 0, 1, 1];
}

fn heal(w: &mut World) {
    w.counter.of = [0; GATEWAYS];
}

/// The halves see half of the use each; the meter tells of all of it. Alone each half would let the whole rate through, a
/// minute of it too much in all; of a small quota chance hides the split longer.
#[test]
fn split_for_a_minute_and_healed_with_other_totals() {
    each(|| {
        let mut world = World::new();
        world.fault(60.0, split, heal, 22.0, 0.85);
        assert!(
            world.logs.iter().any(|l| l.contains("counter doubtful")),
            "{:?}",
            world.logs
        );
    });
}

#[test]
fn a_customer_that_moves_to_one_gateway_while_the_counter_is_split() {
    each(|| {
        let mut world = World::new();
        split(&mut world);
        world.run(10.0);
        world.fault(10.0, |w| w.moved = true, heal, 6.0, 0.85);
    });
}

fn swap(w: &mut World) {
    w.counter.books.push(BTreeMap::new());
    w.counter.of = [w.counter.books.len() - 1; GATEWAYS];
}

#[test]
fn replaced_by_one_from_zero() {
    each(|| {
        let mut world = World::new();
        world.fault(10.0, swap, |_| {}, 3.0, 0.95);
        assert!(
            world.logs.iter().any(|l| l.contains("counter doubtful")),
            "{:?}",
            world.logs
        );
    });
}

#[test]
fn replaced_and_swapped_back() {
    each(|| {
        World::new().fault(10.0, swap, heal, 4.0, 0.9);
    });
}

#[test]
fn one_of_three_parts_lost() {
    each(|| {
        for part in 0..3 {
            let lose = |w: &mut World| w.counter.lost_part = Some(part);
            World::new().fault(10.0, lose, |w| w.counter.lost_part = None, 4.0, 0.85);
        }
    });
}

#[test]
fn answers_a_second_late() {
    each(|| {
        World::new().fault(
            10.0,
            |w| w.counter.delay = 1_000_000,
            |w| w.counter.delay = CALL,
            4.0,
            0.85,
        );
    });
}

#[test]
fn totals_that_are_wrong() {
    each(|| {
        for lie in [Lie::By(500.0), Lie::By(-500.0), Lie::NoNumber] {
            let tell = |w: &mut World| w.counter.lie = lie;
            World::new().fault(10.0, tell, |w| w.counter.lie = Lie::None, 4.0, 0.85);
        }
    });
}

/// Then each gateway has its even part, and no more is known.
#[test]
fn counter_and_meter_lost() {
    each(|| {
        let lose = |w: &mut World| (w.counter.lost, w.meter_lost) = (true, true);
        let find = |w: &mut World| (w.counter.lost, w.meter_lost) = (false, false);
        World::new().fault(10.0, lose, find, 4.0, 0.6);
    });
}

#[test]
fn a_gateway_dies_and_starts_again_while_the_counter_is_lost() {
    each(|| {
        let mut world = World::new();
        world.counter.lost = true;
        world.run(3.0);
        world.fault(
            10.0,
            |w| {
                w.gateways[1] = None;
                w.run(2.0);
                w.start(1);
            },
            |w| w.counter.lost = false,
            6.0,
            0.7,
        );
    });
}

/// What the ledger knows costs no calls.
#[test]
fn no_more_calls_than_before() {
    each(|| {
        let mut world = World::new();
        let (asked, counted) = (world.next, world.counted);
        world.run(30.0);
        let calls = (world.counted - counted) as f64 / (world.next - asked) as f64;
        println!("{calls:.3} calls a request");
        assert!(calls <= 0.85, "{calls} calls a request");
    });
}
