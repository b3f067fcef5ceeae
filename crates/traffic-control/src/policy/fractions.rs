//! Which requests are refused while servers are pressed: the admission fractions of the paper, once an interval, from
//! latencies and arrivals, and between two intervals what is out or how long attempts take.
//! Guards: queues stay within the aims, and what is worth least for its work goes first.

use super::{chance, INTERVAL_S};
use crate::calls::FEW;
use crate::customer::Quota;
use crate::gateway::{Cell, Gateway};

const STEP: f64 = 0.1; // grid of the fractions (the paper's)
const BOUND: f64 = 0.5; // of the aim: a mean at the aim itself has half the answers late
const FREE_OUT: f64 = 4.0; // attempts a server, all gateways, that mean no queue: some cores busy
const STRAIN: f64 = 0.5; // of the bound above it within which all but the last are refused
const STRAIN_MOST: f64 = 0.9; // refused at most: some must tell when it is over
const CHEAP: f64 = 0.5; // of the bound that a class worth nothing for its work may fill

impl Gateway {
    pub(super) fn bound(&self, class: usize) -> f64 {
        self.set.classes[class].latency_objective_us as f64 * BOUND
    }

    /// Worth of a class for a second of work, before the plan's price.
    fn value(&self, class: usize) -> f64 {
        let l = &self.pace.classes[class];
        self.set.classes[class].priority_weight * l.units / l.lowest.max(1.0)
    }

    /// This class and those that were measured.
    fn seen(&self, class: usize) -> impl Iterator<Item = usize> + '_ {
        let classes = &self.pace.classes;
        (0..classes.len()).filter(move |&c| c == class || classes[c].lowest > 0.0)
    }

    /// Its worth for a second of work, beside the class where that is most.
    fn standing(&self, class: usize) -> f64 {
        let best = self
            .seen(class)
            .map(|c| self.value(c))
            .fold(f64::MIN_POSITIVE, f64::max);
        self.value(class) / best
    }

    pub(super) fn move_fractions(&mut self) -> Option<String> {
        let size = self.fleet.sum_up(&self.set.slow_start, self.now).size;
        let measured = self.pace.interval(&self.set.classes, INTERVAL_S, size);
        let over =
            (0..measured.len()).find(|&c| measured[c] && self.pace.classes[c].mean > self.bound(c));
        if self.settles.is_none() {
            self.quotas = Quota::all(&self.set, self.pace.attempt_s, FEW);
        }
        let before = self.cells.iter().any(|c| c.fraction < 1.0);
        let targets = if over.is_some() {
            Vec::new()
        } else {
            self.targets()
        };
        for (i, c) in self.cells.iter_mut().enumerate() {
            let moved = match targets.get(i) {
                None => c.fraction - STEP,
                // Halfway, on the grid, rounded towards the target so that it is reached.
                Some(&t) if t > c.fraction => ((c.fraction + t) / 2.0 / STEP - 1e-9).ceil() * STEP,
                Some(&t) => ((c.fraction + t) / 2.0 / STEP + 1e-9).floor() * STEP,
            };
            c.fraction = moved.clamp(0.0, 1.0);
            c.admitted_rate = c.admitted / INTERVAL_S;
            (c.arrivals, c.admitted) = (0.0, 0.0);
        }
        match over {
            Some(c) if !before => Some(format!(
                "shedding: class {} over bound",
                self.set.classes[c].name
            )),
            None if before && self.cells.iter().all(|c| c.fraction >= 1.0) => {
                Some("shedding over".into())
            }
            _ => None,
        }
    }

    /// Exception to the paper: by Little's law what is out, over the throughput, is how long a new request
    /// takes; past the bound it is refused at once, since retries fill queues before a fraction moves. Hurts
    /// where recent throughput is far below what servers can do, so a few attempts a server are always free.
    pub(super) fn crowded(&mut self, class: usize, plan: usize) -> bool {
        if self.set.gateways > FEW {
            return self.strained(class, plan);
        }
        let t = self.fleet.totals(&self.set.slow_start, self.now);
        let free = t.ready * FREE_OUT / f64::from(self.set.gateways);
        let rate = self.pace.throughput * t.size;
        // One queue holds every class: the tightest bound holds for all, and the cheapest work waits first.
        let tightest = self
            .seen(class)
            .map(|c| self.bound(c))
            .fold(f64::MAX, f64::min);
        let bound = tightest * (CHEAP + (1.0 - CHEAP) * self.standing(class));
        t.out > free && rate > 0.0 && t.out / rate > bound / 1e6
    }

    /// One of many gateways has too few out to go by. How many times their idle time attempts took of late says how long
    /// a new one takes; past its bound, which is higher the more it is worth, more are refused the longer it is, so that
    /// the gateways do not all turn at once.
    fn strained(&mut self, class: usize, plan: usize) -> bool {
        let dearest = self
            .set
            .plans
            .iter()
            .map(|p| p.price)
            .fold(f64::MIN_POSITIVE, f64::max);
        let worth = self.standing(class) * self.set.plans[plan].price / dearest;
        let bound =
            self.set.classes[class].latency_objective_us as f64 * (BOUND + (1.0 - BOUND) * worth);
        let takes = self.pace.classes[class].lowest * self.pace.stretch;
        let part = ((takes / bound - 1.0) / STRAIN).min(STRAIN_MOST);
        part > 0.0 && chance(&mut self.rng) < part
    }

    /// Targets that maximise worth under each class's bound by M/G/1 delay; 1 where the model finds no fit.
    fn targets(&self) -> Vec<f64> {
        let plans = self.set.plans.len();
        let ready = self.fleet.ready().count().max(1) as f64;
        let told = self.peers.admitted(self.now, self.set.gateways - 1);
        let load = |(i, c): (usize, &Cell)| {
            (
                (c.arrivals / INTERVAL_S + told(i)) / ready,
                self.pace.classes[i / plans].lowest / 1e6,
            )
        };
        let load: Vec<(f64, f64)> = self.cells.iter().enumerate().map(load).collect();
        let mut fractions = vec![1.0; load.len()];
        let fits = |fractions: &[f64]| {
            let (mut rate, mut busy, mut square) = (0.0, 0.0, 0.0);
            for (f, (r, x)) in fractions.iter().zip(&load) {
                (rate, busy, square) = (rate + f * r, busy + f * r * x, square + f * r * x * x);
            }
            let wait = square / (2.0 * (1.0 - busy));
            let over =
                |i: usize| fractions[i] > 0.0 && load[i].1 + wait > self.bound(i / plans) / 1e6;
            busy < 1.0 && (rate <= 0.0 || !(0..fractions.len()).any(over))
        };
        if load.iter().map(|(r, x)| r * x).sum::<f64>() >= 1.0 || fits(&fractions) {
            return fractions;
        }
        // Greedy: by worth for a second of work, each cell as far as the bound allows.
        let value = |i: usize| self.value(i / plans) * self.set.plans[i % plans].price;
        let mut order: Vec<usize> = (0..load.len()).collect();
        order.sort_by(|&a, &b| value(b).total_cmp(&value(a)));
        fractions.fill(0.0);
        for i in order {
            let fraction = |tenth: i32| f64::from(tenth) * STEP;
            let mut with = |f: f64| (fractions[i] = f, fits(&fractions)).1;
            (0..=10).rev().find(|&tenth| with(fraction(tenth)));
        }
        let none = fractions.iter().all(|&f| f == 0.0);
        fractions
            .iter()
            .map(|&f| if none { 1.0 } else { f })
            .collect()
    }
}
