//! Whole gateways that tell each other, in virtual time: no counter, customers who ask for four times their quota. How much
//! comes too much by the fleet's size and by what is lost on the way; the seed is printed.
#![expect(
    clippy::match_bool,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

mod world;

use frosthatch_cluster_membership::{
    LifecyclePhase, Membership as Members, MembershipConfig, Output,
};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, ListKind, Request, RequestId,
    ServerEntry, ServerId, Settings, Timer,
};
use std::collections::{BTreeMap, VecDeque};

const STEP: u64 = 10_000;
/// Datagrams take this long, and every request.
const ON_THE_WAY: u64 = 2_000;
const SERVED: u64 = 20_000;
const WIDTH: u32 = 4;
const CUSTOMERS: u32 = 6;

struct Node {
    gateway: Gateway,
    members: Members,
    timers: BTreeMap<u64, Vec<Timer>>,
    ends: VecDeque<(u64, RequestId, ServerId)>,
}

struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    network: VecDeque<(u64, u16, usize, Vec<u8>)>,
    /// By customer: when units were sent on.
    sent: BTreeMap<u32, Vec<(u64, f64)>>,
    of: BTreeMap<RequestId, u32>,
    state: u64,
    loss: f64,
    /// Nothing passes to it or from it.
    cut: Option<u16>,
    /// Half of a customer's requests come through the first of its gateways, an eighth through the last; else as many each.
    uneven: bool,
    bytes: u64,
    next: u64,
    config: Quota,
    /// The count service, if there is one, and answers on their way.
    counts: Option<BTreeMap<String, f64>>,
    answers: VecDeque<(u64, usize, Event)>,
}

/// Units a second, burst, most units of one request.
type Quota = (f64, f64, f64);
const LARGE: Quota = (40.0, 80.0, 1.0);
const SMALL: Quota = (6.0, 24.0, 6.0);

impl Fleet {
    fn new(gateways: u16, loss: f64, seed: u64, quota: Quota, counter: bool) -> Fleet {
        let nodes = (0..gateways).map(|me| {
            let config = MembershipConfig {
                seed: seed + u64::from(me),
                ..world::config(me.into(), gateways.into(), 1_000)
            };
            let mut set = Settings::example();
            (set.gateways, set.me) = (u32::from(gateways), u32::from(me));
            (set.plans[0].rate, set.plans[0].burst, set.max_units) = quota;
            (set.usage_report_ttl_us, set.counter) = (config.holds_us(), counter);
            let gateway = Gateway::new(set, seed ^ u64::from(me)).expect("settings");
            let mut members = Members::new(config, world::keys());
            members.set_phase(0, LifecyclePhase::Ready);
            Node {
                gateway,
                members,
                timers: BTreeMap::new(),
                ends: VecDeque::new(),
            }
        });
        let mut fleet = Fleet {
            now: 1_000_000,
            nodes: nodes.collect(),
            network: VecDeque::new(),
            sent: BTreeMap::new(),
            of: BTreeMap::new(),
            state: seed,
            loss,
            cut: None,
            uneven: false,
            bytes: 0,
            next: 1,
            config: quota,
            counts: counter.then(BTreeMap::new),
            answers: VecDeque::new(),
        };
        for n in 0..fleet.nodes.len() {
            let entries = (0..20)
                .map(|s| ServerEntry::ready(&format!("s{s}"), "a"))
                .collect();
            fleet.feed(
                n,
                Event::Servers {
                    kind: ListKind::Complete,
                    entries,
                },
            );
        }
        fleet
    }

    fn random_unit(&mut self) -> f64 {
        self.state = self
            .state
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.state >> 33) as f64 / f64::from(1u32 << 31)
    }

    fn feed(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        let node = &mut self.nodes[n];
        node.gateway.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request, server, ..
                } => {
                    let customer = self.of[&request];
                    self.sent.entry(customer).or_default().push((self.now, 1.0));
                    node.ends.push_back((self.now + SERVED, request, server));
                }
                Action::SetTimer { after_us, timer } => {
                    node.timers
                        .entry(self.now + after_us)
                        .or_default()
                        .push(timer);
                }
                Action::ReportUsage { tag, units } => node.members.record_usage(tag, units),
                Action::AddToCounter { name, amount, .. } => {
                    let Some(counts) = &mut self.counts else {
                        continue;
                    };
                    let total = counts.entry(name.clone()).or_default();
                    *total += amount;
                    let answer = Event::CounterReply {
                        name,
                        status: CompletionStatus::Served,
                        total: *total,
                    };
                    self.answers.push_back((self.now + ON_THE_WAY, n, answer));
                }
                _ => {}
            }
        }
    }

    /// One step; each customer asks for so many units a second.
    fn step(&mut self, asked: f64) {
        self.step_by(|_| asked);
    }

    fn step_by(&mut self, asked: impl Fn(u32) -> f64) {
        self.now += STEP;
        for customer in 0..CUSTOMERS {
            let asked = asked(customer);
            let mut due = asked * STEP as f64 / 1e6;
            while due >= 1.0 || self.random_unit() < due {
                due -= 1.0;
                let all = self.nodes.len() as u32;
                let first = customer * 7 % all;
                let place = match self.uneven {
                    true => [0, 0, 0, 0, 1, 1, 2, 3][(self.random_unit() * 8.0) as usize % 8],
                    false => (self.random_unit() * f64::from(WIDTH)) as u32 % WIDTH,
                };
                let mut request = Request::new(
                    self.next,
                    &format!("c{customer}"),
                    "basic",
                    "read",
                    1_000_000,
                );
                (request.gateway_count, request.first_gateway) = (WIDTH.min(all), first);
                self.of.insert(request.id, customer);
                self.next += 1;
                self.feed(((first + place) % all) as usize, Event::Request(request));
            }
        }
        while self.answers.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, n, answer) = self.answers.pop_front().expect("one");
            self.feed(n, answer);
        }
        while self.network.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (at, to, from, bytes) = self.network.pop_front().expect("one");
            let mut out = Vec::new();
            self.nodes[usize::from(to)].members.handle_datagram(
                at,
                world::address_of(from),
                &bytes,
                &mut out,
            );
            self.carry(usize::from(to), out);
        }
        for n in 0..self.nodes.len() {
            while self.nodes[n]
                .ends
                .front()
                .is_some_and(|(at, ..)| *at <= self.now)
            {
                let (_, id, server) = self.nodes[n].ends.pop_front().expect("one");
                self.feed(
                    n,
                    Event::Outcome(
                        AttemptOutcome::new(id, 0, server, CompletionStatus::Served, SERVED)
                            .closing(),
                    ),
                );
            }
            while let Some(due) = self.nodes[n]
                .timers
                .first_entry()
                .filter(|e| *e.key() <= self.now)
            {
                due.remove()
                    .into_iter()
                    .for_each(|t| self.feed(n, Event::Timer(t)));
            }
            // Ticks of different gateways fall at different times.
            if (self.now / STEP + n as u64).is_multiple_of(5) {
                let mut out = Vec::new();
                self.nodes[n].members.tick(self.now, &mut out);
                self.carry(n, out);
            }
        }
    }

    fn carry(&mut self, n: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    self.bytes += bytes.len() as u64;
                    let to = (0..self.nodes.len())
                        .find(|k| world::address_of(*k) == to)
                        .expect("a member") as u16;
                    let cut = self.cut.is_some_and(|c| c == to || usize::from(c) == n);
                    if self.random_unit() >= self.loss && !cut {
                        self.network
                            .push_back((self.now + ON_THE_WAY, to, n, bytes));
                    }
                }
                Output::UsageReported { heard, uses, past } => {
                    self.feed(n, Event::UsageReported { heard, uses, past })
                }
                Output::GatewaysAbsent(gateways) => self.feed(n, Event::GatewaysAbsent(gateways)),
                Output::Log(_) | Output::MessageReceived { .. } => {}
            }
        }
    }

    /// Units beyond a store of the quota, of the customer with most of them, as a share of what the quota gave.
    fn worst_overrun(&self, from: u64) -> f64 {
        let (rate, burst, _) = self.config;
        let mut worst = 0.0f64;
        for sent in self.sent.values() {
            let (mut level, mut at, mut over) = (burst, from, 0.0);
            for &(t, units) in sent.iter().filter(|(t, _)| *t >= from) {
                level = (level + (t - at) as f64 / 1e6 * rate).min(burst);
                at = t;
                if level >= units {
                    level -= units;
                } else {
                    over += units;
                }
            }
            worst = worst.max(over / ((self.now - from) as f64 / 1e6 * rate));
        }
        worst
    }
}

/// Overrun, the least that a customer was served of what was his, and bytes a second of each gateway.
fn play(gateways: u16, loss: f64, seed: u64, quota: Quota, counter: bool) -> (f64, f64, f64) {
    let mut fleet = Fleet::new(gateways, loss, seed, quota, counter);
    // They find each other first.
    (0..200).for_each(|_| fleet.step(0.0));
    let (from, bytes) = (fleet.now, fleet.bytes);
    (0..1_000).for_each(|_| fleet.step(4.0 * quota.0));
    let seconds = (fleet.now - from) as f64 / 1e6;
    let least = fleet.sent.values().map(Vec::len).min().unwrap_or(0) as f64;
    let a_second = (fleet.bytes - bytes) as f64 / seconds / f64::from(gateways);
    (
        fleet.worst_overrun(from),
        least / (quota.0 * seconds + quota.1),
        a_second,
    )
}

/// What others let through until they are heard is all that can come too much, with a counter and without: by fleet size,
/// loss on the way, plan and seed.
#[test]
fn quotas_hold_by_word_of_the_others() {
    for (gateways, loss) in [(4, 0.0), (4, 0.3), (20, 0.3), (100, 0.3)] {
        for (quota, counter, seed) in [
            (LARGE, false, 1),
            (SMALL, false, 2),
            (SMALL, true, 3),
            (LARGE, true, 4),
        ] {
            // With so many one play has to do.
            if gateways == 100 && seed != 1 {
                continue;
            }
            let (over, least, bytes) = play(gateways, loss, seed, quota, counter);
            let told = format!(
                "gateways {gateways} loss {loss} quota {quota:?} counter {counter} seed {seed}: overrun {over:.3}, \
                 least served {least:.3} of its quota, {bytes:.0} B/s each"
            );
            println!("{told}");
            // Of a small quota chance is most: over a hundred seeds its overrun is 0.13 in the mean and 0.25 at worst.
            let most = if quota == LARGE { 0.08 } else { 0.3 };
            assert!(over <= most && least >= 0.8, "{told}");
        }
    }
}

/// One gateway of four is cut off for ten seconds, or one way only: whoever asks for less than the quota is served throughout and
/// after, whoever asks for more gets the quota and not much more, and right after the heal as well.
#[test]
fn a_gateway_that_is_cut_off_costs_the_honest_nothing_and_nobody_pays_twice_when_it_is_back() {
    for (cut, seed) in [(0, 5), (3, 6)] {
        let mut fleet = Fleet::new(4, 0.0, seed, LARGE, false);
        fleet.uneven = true;
        let asked = |customer: u32| LARGE.0 * if customer < 3 { 0.75 } else { 4.0 };
        (0..600).for_each(|_| fleet.step_by(asked));
        let count = |fleet: &Fleet, from: u64| -> Vec<f64> {
            let of =
                |sent: &Vec<(u64, f64)>| sent.iter().filter(|(t, _)| *t >= from).count() as f64;
            fleet.sent.values().map(of).collect()
        };
        for (what, seconds) in [("cut", 10.0), ("healed", 2.0), ("later", 6.0)] {
            fleet.cut = (what == "cut").then_some(cut);
            let (from, asks) = (fleet.now, fleet.next);
            (0..(seconds * 100.0) as u32).for_each(|_| fleet.step_by(asked));
            let (served, quota) = (count(&fleet, from), LARGE.0 * seconds);
            let told = format!(
                "{cut} {what}: {served:?} of {quota}; {} asks",
                fleet.next - asks
            );
            println!("{told}");
            let honest = fleet
                .of
                .iter()
                .filter(|(id, c)| id.0 >= asks && **c < 3)
                .count() as f64;
            assert!(
                served[..3].iter().sum::<f64>() >= 0.97 * honest,
                "{told}: {honest} honest"
            );
            let (least, most) = if what == "healed" {
                (0.4, 2.0)
            } else {
                (0.85, 1.25)
            };
            assert!(
                served[3..]
                    .iter()
                    .all(|n| (least * quota..most * quota).contains(n)),
                "{told}"
            );
        }
    }
}
