//! Gateways, a counter with faults and a meter, in virtual time.

use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, ListKind, Micros, Request, RequestId,
    ServerEntry, ServerId, Settings, Timer,
};
use std::collections::BTreeMap;
use std::collections::VecDeque;

pub const STEP_US: Micros = 5_000;

thread_local! {
    /// A counter window is a minute: whether it ends within a fault depends on the start.
    pub static START: std::cell::Cell<Micros> = const { std::cell::Cell::new(965_000_000) };
    /// Units a second, burst, and the most units of one request.
    pub static PLAN: std::cell::Cell<(f64, f64, f64)> = const { std::cell::Cell::new((40.0, 80.0, 1.0)) };
}

pub fn rate() -> f64 {
    PLAN.with(std::cell::Cell::get).0
}

pub fn burst() -> f64 {
    PLAN.with(std::cell::Cell::get).1
}

pub const GATEWAYS: usize = 4;

/// How long a call takes, and a request.
pub const CALL_US: Micros = 2_000;

pub const SERVED_US: Micros = 20_000;

/// Timeout of a call.
pub const CALL_TIMEOUT_US: Micros = 50_000;

pub const METER_DELAY_US: Micros = 600_000;

/// Demand by customer, as a multiple of the quota. Customers 0 and 1 use all gateways evenly; the others mostly one.
pub const DEMAND_PER_QUOTA: [f64; 6] = [4.0, 4.0, 0.4, 0.6, 0.8, 0.9];

#[derive(Clone, Copy, PartialEq)]
pub enum TotalFault {
    None,
    By(f64),
    NoNumber,
}

pub struct Counter {
    pub replicas: Vec<BTreeMap<String, f64>>,
    pub replica_of_gateway: [usize; GATEWAYS],
    pub is_lost: bool,
    /// Calls for names of this third get no reply.
    pub lost_part: Option<usize>,
    pub delay: Micros,
    pub total_fault: TotalFault,
}

pub struct World {
    pub now: Micros,
    pub gateways: Vec<Option<Gateway>>,
    pub timers: Vec<BTreeMap<Micros, Vec<Timer>>>,
    pub ends: VecDeque<(Micros, usize, RequestId, ServerId)>,
    pub calls: BTreeMap<(Micros, u64), (usize, Event)>,
    pub counter: Counter,
    pub meter_lost: bool,
    pub periods: BTreeMap<(usize, u64), f64>,
    pub customer_of: BTreeMap<RequestId, usize>,
    pub asked: Vec<Vec<Micros>>,
    pub sent: Vec<Vec<Micros>>,
    pub moved: bool,
    pub state: u64,
    pub next: u64,
    pub counted: u64,
    pub logs: Vec<String>,
}

pub fn settings(me: usize) -> Settings {
    let mut s = Settings::example();
    s.gateways = GATEWAYS as u32;
    s.gateway_index = me as u32;
    s.has_counter = true;
    (s.plans[0].rate, s.plans[0].burst, s.max_units) = PLAN.with(std::cell::Cell::get);
    s.meter_period_us = 1_000_000;
    s.parallel_attempts = false;
    s
}

impl World {
    pub fn new() -> World {
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

    pub fn start(&mut self, n: usize) {
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

    pub fn random_unit(&mut self) -> f64 {
        self.state = self
            .state
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.state >> 33) as f64 / f64::from(1u32 << 31)
    }

    pub fn handle_event(&mut self, n: usize, event: Event) {
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

    pub fn count(&mut self, n: usize, name: String, amount: f64) {
        self.counted += 1;
        let c = &mut self.counter;
        let part = name.bytes().map(usize::from).sum::<usize>() % 3;
        let silent = c.is_lost || c.lost_part == Some(part);
        let mut status = CompletionStatus::NoAnswer;
        let mut total = 0.0;
        let mut at = self.now + CALL_TIMEOUT_US;
        if !silent {
            let held = c.replicas[c.replica_of_gateway[n]]
                .entry(name.clone())
                .or_default();
            *held += amount;
            if c.delay < CALL_TIMEOUT_US {
                status = CompletionStatus::Served;
                total = *held;
                at = self.now + c.delay;
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

    pub fn step(&mut self) {
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

    pub fn run(&mut self, seconds: f64) {
        (0..(seconds * 1e6) as u64 / STEP_US).for_each(|_| self.step());
    }

    /// Units beyond the quota since a time, of the customer with most of them.
    pub fn overrun_units(&self, from: Micros) -> f64 {
        let over = |sent: &Vec<Micros>| {
            let mut level = burst();
            let mut at = START.with(std::cell::Cell::get);
            let mut over = 0.0;
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

    /// The share of the requests of customers within their quota that were sent since a time.
    pub fn honest_share(&self, from: Micros) -> f64 {
        let since = |all: &[Vec<Micros>]| -> f64 {
            all[2..]
                .iter()
                .map(|of| of.iter().filter(|t| **t >= from).count() as f64)
                .sum()
        };
        since(&self.sent) / since(&self.asked)
    }

    /// What customers beyond their quota got since a time, as a multiple of the quota.
    pub fn heavy_share(&self, from: Micros) -> f64 {
        let seconds = (self.now - from) as f64 / 1e6;
        let got = |n: usize| {
            self.sent[n].iter().filter(|t| **t >= from).count() as f64 / (seconds * rate())
        };
        got(0).min(got(1))
    }

    /// Plays a fault, then ten seconds more; then all must be as usual for twenty seconds. Limits on the overrun are in
    /// seconds of the quota's rate.
    pub fn play_fault(
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
        let over = self.overrun_units(usual) / rate();
        let honest = self.honest_share(usual);
        let heavy = self.heavy_share(usual);
        println!("   then {over:.2} s, honest {honest:.3}, heavy {heavy:.2}");
        assert!(
            over <= 4.0,
            "{over} seconds' worth too much, and all is well"
        );
        assert!(honest >= 0.96, "{honest}, and all is well");
        assert!((0.8..=1.2).contains(&heavy), "{heavy}, and all is well");
    }
}
