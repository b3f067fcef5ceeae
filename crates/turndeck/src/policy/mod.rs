//! Every decision of a gateway, a file a job: what may pass of a quota (`quota`), whom to ask (`asks`), what is refused
//! while servers are pressed (`fractions`), which server (`choice`), a request's way through these (`attempts`), and under what all this
//! holds (`terms`).
//! Here: events in, actions out. What is known, and its arithmetic, stands beside this folder.

mod asks;
mod attempts;
mod choice;
mod fractions;
mod quota;
mod terms;
#[cfg(test)]
mod tests;

use crate::calls::{Calls, FEW};
use crate::count::Counting;
use crate::customer::{Customer, Quota};
use crate::decayed::Decayed;
use crate::fleet::Fleet;
use crate::interface::*;
use crate::ledger::CounterWatch;
use crate::pace::Pace;
use crate::peers::Peers;
use crate::request::Pending;
use fractions::Cell;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const INTERVAL_US: Micros = 1_000_000; // µs; control interval: tens of answers, short beside troubles
const INTERVAL_S: f64 = INTERVAL_US as f64 / 1e6; // s
const IDLE_US: Micros = 30_000_000; // µs; an idle customer is forgotten: a store of seconds is full again
const CUSTOMERS_MAX: usize = 24_576; // remembered at most, about 10 MB; others are refused until some age out
const MARGIN_US: Micros = 20_000; // µs before its client leaves a held request is answered: several ticks

/// From 0 to 1.
fn chance(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

/// One gateway's whole state.
pub struct Gateway {
    set: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    cells: Vec<Cell>,
    pace: Pace,
    customers: BTreeMap<u32, Customer>,
    calls: Calls,
    odds: Vec<[Decayed; 2]>, // by plan: asks answered of late without room, and with
    quotas: Vec<Quota>,
    counting: Counting,
    watch: CounterWatch,
    peers: Peers,
    fleet: Fleet,
    requests: BTreeMap<RequestId, Pending>,
    waiting: BTreeSet<RequestId>,
    retry_tokens: f64,
    standing: Standing,
    settles: Option<Micros>, // till then the smaller of two terms holds
    started: Option<Micros>,
}

impl Gateway {
    /// A gateway with nothing known yet. `seed` is its only source of chance.
    /// # Errors
    /// Settings that make no sense; the text says what to correct.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.validate()?;
        let cells = vec![Cell { fraction: 1.0, ..Cell::default() }; set.classes.len() * set.plans.len()];
        let pace = Pace::new(&set.classes);
        Ok(Gateway {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            quotas: Quota::all(&set, pace.attempt_s, FEW),
            odds: vec![Default::default(); set.plans.len()],
            calls: Calls::new(set.gateways, set.told_us == 0),
            peers: Peers::new(cells.len()),
            fleet: Fleet::new(choice::LOOKED_AT),
            cells,
            pace,
            customers: BTreeMap::new(),
            counting: Counting::default(),
            watch: CounterWatch::default(),
            requests: BTreeMap::new(),
            waiting: BTreeSet::new(),
            retry_tokens: set.retries.most,
            standing: Standing::Open,
            settles: None,
            started: None,
            set,
        })
    }

    /// Requests not yet done with, attempts still out included.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Ready servers that hardly any request goes to, as more of them failed there than not.
    pub fn avoided(&self) -> usize {
        self.fleet.avoided(self.now)
    }

    /// Takes one event at clock `now` and appends what to do to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.started.is_none() {
            self.started = Some(self.now);
            out.push(Action::SetTimer { after_us: INTERVAL_US, timer: Timer::Interval });
            out.extend(self.set.list_on_request.then_some(Action::Subscribe));
        }
        self.settle();
        match event {
            Event::Terms(terms) => self.on_terms(terms),
            Event::Standing(standing) => self.on_standing(standing, out),
            Event::Servers { kind, entries } => {
                let ask = kind == ListKind::Error && self.set.list_on_request;
                out.extend(ask.then_some(Action::Subscribe));
                let (set, rng) = (&self.set, &mut self.rng);
                let part = |ready: &[ServerId]| choice::subset(set, ready);
                self.fleet.list(kind, entries, &set.cold, self.now, || chance(rng), part);
                self.retry_waiting(out);
            }
            Event::Request(r) => self.on_request(r, out),
            Event::Streaming(id) => drop(self.requests.get_mut(&id).map(|p| p.streaming = true)),
            Event::Outcome(o) => self.on_outcome(o, out),
            Event::ClientGone(id) => self.close(id, out),
            Event::Timer(Timer::Interval) => self.on_interval(out),
            Event::Timer(Timer::Customer(tag)) => self.on_customer_timer(tag, out),
            Event::Timer(Timer::Request(id)) if self.waiting.contains(&id) => self.finish(id, 0.0, out),
            Event::Timer(Timer::Request(id)) => self.unanswered(id, out),
            Event::Peer { from, bytes } => self.hear_peer(from, &bytes, out),
            Event::Absent(gateways) => self.peers.absent = gateways.into_iter().collect(),
            Event::Used { heard, uses, past } => self.on_used(&heard, &uses, &past),
            Event::Counted { name, status, total } => self.on_counted(&name, status, total, out),
        }
    }

    fn on_interval(&mut self, out: &mut Vec<Action>) {
        self.calls.interval();
        out.extend(self.move_fractions().map(Action::Log));
        let idle = |c: &Customer| self.now.saturating_sub(c.active_at) >= IDLE_US;
        self.customers.retain(|_, c| c.open > 0 || !idle(c));
        self.peers.unseen.retain(|_, u| self.now.saturating_sub(u.since) < IDLE_US);
        out.extend(self.watch.tick(self.now).map(Action::Log));
        self.retry_waiting(out);
        self.tell_news(out);
        out.push(Action::SetTimer { after_us: INTERVAL_US, timer: Timer::Interval });
    }

    /// An attempt ended: what it tells of its server and its class.
    fn measure(&mut self, o: &Outcome, class: usize, units: f64, server: &ServerId) {
        let Some(warmth) = self.fleet.ended(server, &self.set.cold, self.now) else { return };
        let ratio = self.pace.measure(class, units, o.status, o.elapsed_us) * warmth;
        self.fleet.judge(server, o.status, ratio, self.now, self.set.gateways > FEW);
    }
}
