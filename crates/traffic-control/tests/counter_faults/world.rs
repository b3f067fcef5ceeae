//! Simulation of gateways, a counter with faults and a meter in virtual time.

use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, ListKind, Micros, Request, RequestId,
    ServerEntry, ServerId, Settings, Timer,
};
use std::collections::BTreeMap;
use std::collections::VecDeque;

/// Virtual time between two steps of the simulation.
pub const STEP_US: Micros = 5_000;

thread_local! {
    /// Start of the virtual time. A counter window lasts a minute, so the start decides whether one ends during a fault.
    pub static START_US: std::cell::Cell<Micros> = const { std::cell::Cell::new(965_000_000) };
    /// Rate of the plan in units a second, its burst in units, and the maximum units of one request.
    pub static PLAN: std::cell::Cell<(f64, f64, f64)> = const { std::cell::Cell::new((40.0, 80.0, 1.0)) };
}

pub fn plan_rate() -> f64 {
    PLAN.with(std::cell::Cell::get).0
}

pub fn plan_burst() -> f64 {
    PLAN.with(std::cell::Cell::get).1
}

pub const GATEWAYS: usize = 4;

/// Time until the counter replies, while it is not slow.
pub const COUNTER_REPLY_US: Micros = 2_000;

/// Duration of an attempt.
pub const ATTEMPT_US: Micros = 20_000;

/// Timeout of a counter call.
pub const CALL_TIMEOUT_US: Micros = 50_000;

/// Time after the end of a period until the meter reports its use.
pub const METER_DELAY_US: Micros = 600_000;

/// Demand of each customer as a multiple of its quota. Customers 0 and 1, the heavy ones, use all gateways evenly; the others
/// are within their quota and use mostly one gateway.
pub const DEMAND_PER_QUOTA: [f64; 6] = [4.0, 4.0, 0.4, 0.6, 0.8, 0.9];

/// How the totals in the counter's replies are wrong.
#[derive(Clone, Copy, PartialEq)]
pub enum TotalFault {
    /// The totals are right.
    None,
    /// The totals are off by this amount.
    Offset(f64),
    /// The counter replies with an error in place of a number.
    Malformed,
}

/// A counter that may be split, replaced, slow or out of reach.
pub struct Counter {
    /// Counts by name, of each replica.
    pub replicas: Vec<BTreeMap<String, f64>>,
    /// Index of the replica that each gateway uses.
    pub replica_of_gateway: [usize; GATEWAYS],
    /// Whether no call gets a reply.
    pub is_lost: bool,
    /// Index of the third of the names whose calls get no reply.
    pub lost_shard: Option<usize>,
    /// Time from a call to its reply. From `CALL_TIMEOUT_US` on the call is counted but ends without a reply.
    pub reply_delay_us: Micros,
    pub total_fault: TotalFault,
}

/// Gateways with their customers, counter and meter, and the current virtual time.
pub struct Simulation {
    pub now: Micros,
    /// The gateways; `None` while one is stopped.
    pub gateways: Vec<Option<Gateway>>,
    /// Timers of each gateway by the time when they are due.
    pub timers: Vec<BTreeMap<Micros, Vec<Timer>>>,
    /// End, gateway, request and server of each attempt in flight.
    pub running: VecDeque<(Micros, usize, RequestId, ServerId)>,
    /// Counter calls in flight by the time and number of their reply, with the gateway that made the call.
    pub calls: BTreeMap<(Micros, u64), (usize, Event)>,
    pub counter: Counter,
    pub is_meter_lost: bool,
    /// Units sent, by customer and second.
    pub sent_units: BTreeMap<(usize, u64), f64>,
    pub customer_of_request: BTreeMap<RequestId, usize>,
    /// Times of the requests of each customer.
    pub requests_at: Vec<Vec<Micros>>,
    /// Times of the sends for each customer.
    pub sends_at: Vec<Vec<Micros>>,
    /// Whether the heavy customers have moved to a single gateway each.
    pub has_moved_heavy_customers: bool,
    /// State of the random number generator.
    pub random_state: u64,
    pub next_request_id: u64,
    /// Number of counter calls so far.
    pub counter_calls: u64,
    /// Lines that the gateways logged.
    pub logs: Vec<String>,
}

pub fn settings(gateway_index: usize) -> Settings {
    let mut s = Settings::example();
    s.gateways = GATEWAYS as u32;
    s.gateway_index = gateway_index as u32;
    s.has_counter = true;
    (s.plans[0].rate, s.plans[0].burst, s.max_units) = PLAN.with(std::cell::Cell::get);
    s.meter_period_us = 1_000_000;
    s.parallel_attempts = false;
    s
}

impl Simulation {
    /// Starts all gateways and runs them for ten seconds.
    pub fn new() -> Simulation {
        let counter = Counter {
            replicas: vec![BTreeMap::new()],
            replica_of_gateway: [0; GATEWAYS],
            is_lost: false,
            lost_shard: None,
            reply_delay_us: COUNTER_REPLY_US,
            total_fault: TotalFault::None,
        };
        let mut simulation = Simulation {
            now: START_US.with(std::cell::Cell::get),
            gateways: (0..GATEWAYS).map(|_| None).collect(),
            timers: vec![BTreeMap::new(); GATEWAYS],
            running: VecDeque::new(),
            calls: BTreeMap::new(),
            counter,
            is_meter_lost: false,
            sent_units: BTreeMap::new(),
            customer_of_request: BTreeMap::new(),
            requests_at: vec![Vec::new(); DEMAND_PER_QUOTA.len()],
            sends_at: vec![Vec::new(); DEMAND_PER_QUOTA.len()],
            has_moved_heavy_customers: false,
            random_state: 5,
            next_request_id: 1,
            counter_calls: 0,
            logs: Vec::new(),
        };
        (0..GATEWAYS).for_each(|n| simulation.start(n));
        simulation.run(10.0);
        simulation
    }

    /// Starts gateway `n` with an empty state.
    pub fn start(&mut self, n: usize) {
        self.gateways[n] =
            Some(Gateway::new(settings(n), 77 + n as u64).expect("the settings are valid"));
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

    /// Returns a random number from 0 to 1, exclusive.
    pub fn random_unit(&mut self) -> f64 {
        self.random_state = self
            .random_state
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.random_state >> 33) as f64 / f64::from(1u32 << 31)
    }

    /// Handles an event at gateway `n`, if it is running, and carries out the actions.
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
                    let customer = self.customer_of_request[&request];
                    self.sends_at[customer].push(self.now);
                    *self
                        .sent_units
                        .entry((customer, self.now / 1_000_000))
                        .or_default() += 1.0;
                    self.running
                        .push_back((self.now + ATTEMPT_US, n, request, server));
                }
                Action::SetTimer { after_us, timer } => {
                    self.timers[n]
                        .entry(self.now + after_us)
                        .or_default()
                        .push(timer);
                }
                Action::AddToCounter { name, amount, .. } => self.add_to_counter(n, name, amount),
                Action::Log(line) => self.logs.push(line),
                _ => {}
            }
        }
    }

    /// Adds `amount` to a count of the counter and schedules the reply to gateway `n`.
    pub fn add_to_counter(&mut self, n: usize, name: String, amount: f64) {
        self.counter_calls += 1;
        let c = &mut self.counter;
        let shard = name.bytes().map(usize::from).sum::<usize>() % 3;
        let is_unreachable = c.is_lost || c.lost_shard == Some(shard);
        let mut status = CompletionStatus::NoAnswer;
        let mut total = 0.0;
        let mut at = self.now + CALL_TIMEOUT_US;
        if !is_unreachable {
            let count = c.replicas[c.replica_of_gateway[n]]
                .entry(name.clone())
                .or_default();
            *count += amount;
            if c.reply_delay_us < CALL_TIMEOUT_US {
                status = CompletionStatus::Served;
                total = *count;
                at = self.now + c.reply_delay_us;
            }
            match c.total_fault {
                TotalFault::Offset(by) if status == CompletionStatus::Served => total += by,
                TotalFault::Malformed => status = CompletionStatus::ServerError,
                _ => {}
            }
        }
        self.calls.insert(
            (at, self.counter_calls),
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

    /// Moves the time forward by one step and handles all events that are due.
    pub fn step(&mut self) {
        self.now += STEP_US;
        for (customer, demand_per_quota) in DEMAND_PER_QUOTA.into_iter().enumerate() {
            if self.random_unit() >= demand_per_quota * plan_rate() * STEP_US as f64 / 1e6 {
                continue;
            }
            let draw = (self.random_unit() * 100.0) as usize;
            let gateway_rank = match draw {
                _ if self.has_moved_heavy_customers && customer < 2 => 3,
                _ if customer < 2 => draw % GATEWAYS,
                0..55 => 0,
                55..80 => 1,
                80..92 => 2,
                _ => 3,
            };
            let mut r = Request::new(
                self.next_request_id,
                &format!("c{customer}"),
                "basic",
                "read",
                2_000_000,
            );
            r.gateway_count = GATEWAYS as u32;
            self.next_request_id += 1;
            self.customer_of_request.insert(r.id, customer);
            self.requests_at[customer].push(self.now);
            self.handle_event((customer + gateway_rank) % GATEWAYS, Event::Request(r));
        }
        while let Some(call) = self.calls.first_entry().filter(|e| e.key().0 <= self.now) {
            let (n, event) = call.remove();
            self.handle_event(n, event);
        }
        while self.running.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, n, id, server) = self.running.pop_front().expect("the queue is not empty");
            let mut o =
                AttemptOutcome::new(id, 0, server, CompletionStatus::Served, ATTEMPT_US).closing();
            let period = (
                (self.now - METER_DELAY_US) / 1_000_000 - 1,
                self.customer_of_request[&id],
            );
            let used = self
                .sent_units
                .get(&(period.1, period.0))
                .copied()
                .unwrap_or(0.0);
            o.metered_use = (!self.is_meter_lost).then_some(used / plan_rate());
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

    /// Runs the simulation for `seconds` of virtual time.
    pub fn run(&mut self, seconds: f64) {
        (0..(seconds * 1e6) as u64 / STEP_US).for_each(|_| self.step());
    }

    /// Returns the units sent beyond the quota since `from`, of the customer with the largest overrun.
    pub fn overrun_units(&self, from: Micros) -> f64 {
        let overrun = |sends_at: &Vec<Micros>| {
            let mut level = plan_burst();
            let mut at = START_US.with(std::cell::Cell::get);
            let mut overrun = 0.0;
            for &t in sends_at {
                level = (level + (t - at) as f64 / 1e6 * plan_rate()).min(plan_burst());
                at = t;
                if level >= 1.0 {
                    level -= 1.0;
                } else if t >= from {
                    overrun += 1.0;
                }
            }
            overrun
        };
        self.sends_at.iter().map(overrun).fold(0.0, f64::max)
    }

    /// Returns the share of requests since `from` that were sent, over all customers within their quota.
    pub fn compliant_sent_share(&self, from: Micros) -> f64 {
        let since = |all: &[Vec<Micros>]| -> f64 {
            all[2..]
                .iter()
                .map(|times| times.iter().filter(|t| **t >= from).count() as f64)
                .sum()
        };
        since(&self.sends_at) / since(&self.requests_at)
    }

    /// Returns the units sent since `from` as a multiple of the quota, of the heavy customer with the smaller multiple.
    pub fn heavy_quota_multiple(&self, from: Micros) -> f64 {
        let seconds = (self.now - from) as f64 / 1e6;
        let quota_multiple = |n: usize| {
            self.sends_at[n].iter().filter(|t| **t >= from).count() as f64 / (seconds * plan_rate())
        };
        quota_multiple(0).min(quota_multiple(1))
    }

    /// Runs a fault for `seconds` and then ten seconds without it, in which the overrun may be `max_overrun_s` seconds of the
    /// quota's rate. `min_sent_share` is the minimum share of the requests of customers within their quota that are sent
    /// during the fault. In the next twenty seconds the limits are 4 s, 0.96, and 0.8 to 1.2 times the quota of heavy customers.
    pub fn run_fault(
        &mut self,
        seconds: f64,
        inject: impl FnOnce(&mut Simulation),
        recover: impl FnOnce(&mut Simulation),
        max_overrun_s: f64,
        min_sent_share: f64,
    ) {
        let from = self.now;
        inject(self);
        self.run(seconds);
        let sent_share = self.compliant_sent_share(from);
        recover(self);
        self.run(10.0);
        let overrun = self.overrun_units(from) / plan_rate();
        println!("overrun {overrun:.2} s, {sent_share:.3} of the requests within quotas sent");
        assert!(
            overrun <= max_overrun_s,
            "the largest overrun is {overrun} s of the quota's rate, limit {max_overrun_s} s"
        );
        assert!(
            sent_share >= min_sent_share,
            "{sent_share} of the requests of customers within their quota are sent, minimum {min_sent_share}"
        );
        let recovered_at = self.now;
        self.run(20.0);
        let overrun = self.overrun_units(recovered_at) / plan_rate();
        let sent_share = self.compliant_sent_share(recovered_at);
        let heavy = self.heavy_quota_multiple(recovered_at);
        println!("   after recovery: overrun {overrun:.2} s, {sent_share:.3} of the requests within quotas sent, heavy customers at {heavy:.2} times their quota");
        assert!(
            overrun <= 4.0,
            "the largest overrun is {overrun} s of the quota's rate after recovery, limit 4 s"
        );
        assert!(
            sent_share >= 0.96,
            "{sent_share} of the requests of customers within their quota are sent after recovery, minimum 0.96"
        );
        assert!(
            (0.8..=1.2).contains(&heavy),
            "a heavy customer gets {heavy} times its quota after recovery, expected 0.8 to 1.2"
        );
    }
}
