//! Which requests are refused while servers are pressed: the admission fractions of the paper, once an interval, from
//! latencies and arrivals, and between two intervals what is out or how long attempts take.
//! Guards: queues stay within the aims, and what is worth least for its work goes first.

use super::{random_unit, INTERVAL_S};
use crate::counter_rate_limit::MAX_SMALL_FLEET_GATEWAYS;
use crate::customer::Quota;
use crate::gateway::{AdmissionCell, Gateway};

const FRACTION_STEP: f64 = 0.1; // grid of the fractions (the paper's)
const LATENCY_BOUND_SHARE: f64 = 0.5; // of the aim: a mean at the aim itself has half the answers late
const UNQUEUED_ATTEMPTS_PER_SERVER: f64 = 4.0; // attempts a server, all gateways, that mean no queue: some cores busy
const SHEDDING_RANGE: f64 = 0.5; // of the bound above it within which all but the last are refused
const MAX_SHED_SHARE: f64 = 0.9; // refused at most: some must tell when it is over
const MIN_BOUND_SHARE: f64 = 0.5; // of the bound that a class worth nothing for its work may fill

impl Gateway {
    pub(super) fn latency_bound_us(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_objective_us as f64 * LATENCY_BOUND_SHARE
    }

    /// Worth of a class for a second of work, before the plan's price.
    fn value_per_us(&self, class: usize) -> f64 {
        let l = &self.server_latency.classes[class];
        self.settings.classes[class].priority_weight * l.mean_units / l.lowest_us.max(1.0)
    }

    /// This class and those that were measured.
    fn measured_classes(&self, class: usize) -> impl Iterator<Item = usize> + '_ {
        let classes = &self.server_latency.classes;
        (0..classes.len()).filter(move |&c| c == class || classes[c].lowest_us > 0.0)
    }

    /// Its worth for a second of work, beside the class where that is most.
    fn relative_value(&self, class: usize) -> f64 {
        let best = self
            .measured_classes(class)
            .map(|c| self.value_per_us(c))
            .fold(f64::MIN_POSITIVE, f64::max);
        self.value_per_us(class) / best
    }

    pub(super) fn update_fractions(&mut self) -> Option<String> {
        let size = self
            .fleet
            .compute_totals(&self.settings.slow_start, self.now)
            .ready_size;
        let measured = self
            .server_latency
            .end_interval(&self.settings.classes, INTERVAL_S, size);
        let over = (0..measured.len()).find(|&c| {
            measured[c] && self.server_latency.classes[c].mean_us > self.latency_bound_us(c)
        });
        if self.transition_until.is_none() {
            self.quotas = Quota::for_plans(
                &self.settings,
                self.server_latency.attempt_s,
                MAX_SMALL_FLEET_GATEWAYS,
            );
        }
        let before = self.cells.iter().any(|c| c.fraction < 1.0);
        let targets = if over.is_some() {
            Vec::new()
        } else {
            self.target_fractions()
        };
        for (i, c) in self.cells.iter_mut().enumerate() {
            let moved = match targets.get(i) {
                None => c.fraction - FRACTION_STEP,
                // Halfway, on the grid, rounded towards the target so that it is reached.
                Some(&t) if t > c.fraction => {
                    ((c.fraction + t) / 2.0 / FRACTION_STEP - 1e-9).ceil() * FRACTION_STEP
                }
                Some(&t) => ((c.fraction + t) / 2.0 / FRACTION_STEP + 1e-9).floor() * FRACTION_STEP,
            };
            c.fraction = moved.clamp(0.0, 1.0);
            c.admitted_per_s = c.admitted / INTERVAL_S;
            (c.arrivals, c.admitted) = (0.0, 0.0);
        }
        match over {
            Some(c) if !before => Some(format!(
                "shedding: class {} over bound",
                self.settings.classes[c].name
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
    pub(super) fn is_over_capacity(&mut self, class: usize, plan: usize) -> bool {
        if self.settings.gateways > MAX_SMALL_FLEET_GATEWAYS {
            return self.sheds_by_latency(class, plan);
        }
        let t = self.fleet.totals(&self.settings.slow_start, self.now);
        let free =
            t.ready_servers * UNQUEUED_ATTEMPTS_PER_SERVER / f64::from(self.settings.gateways);
        let rate = self.server_latency.throughput * t.ready_size;
        // One queue holds every class: the tightest bound holds for all, and the cheapest work waits first.
        let tightest = self
            .measured_classes(class)
            .map(|c| self.latency_bound_us(c))
            .fold(f64::MAX, f64::min);
        let bound =
            tightest * (MIN_BOUND_SHARE + (1.0 - MIN_BOUND_SHARE) * self.relative_value(class));
        t.in_flight > free && rate > 0.0 && t.in_flight / rate > bound / 1e6
    }

    /// One of many gateways has too few out to go by. How many times their idle time attempts took of late says how long
    /// a new one takes; past its bound, which is higher the more it is worth, more are refused the longer it is, so that
    /// the gateways do not all turn at once.
    fn sheds_by_latency(&mut self, class: usize, plan: usize) -> bool {
        let dearest = self
            .settings
            .plans
            .iter()
            .map(|p| p.price)
            .fold(f64::MIN_POSITIVE, f64::max);
        let worth = self.relative_value(class) * self.settings.plans[plan].price / dearest;
        let bound = self.settings.classes[class].latency_objective_us as f64
            * (LATENCY_BOUND_SHARE + (1.0 - LATENCY_BOUND_SHARE) * worth);
        let takes = self.server_latency.classes[class].lowest_us * self.server_latency.stretch;
        let part = ((takes / bound - 1.0) / SHEDDING_RANGE).min(MAX_SHED_SHARE);
        part > 0.0 && random_unit(&mut self.rng) < part
    }

    /// Targets that maximise worth under each class's bound by M/G/1 delay; 1 where the model finds no fit.
    fn target_fractions(&self) -> Vec<f64> {
        let plans = self.settings.plans.len();
        let ready = self.fleet.ready_servers().count().max(1) as f64;
        let told = self
            .peer_reports
            .others_admitted_per_s(self.now, self.settings.gateways - 1);
        let load = |(i, c): (usize, &AdmissionCell)| {
            (
                (c.arrivals / INTERVAL_S + told(i)) / ready,
                self.server_latency.classes[i / plans].lowest_us / 1e6,
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
            let over = |i: usize| {
                fractions[i] > 0.0 && load[i].1 + wait > self.latency_bound_us(i / plans) / 1e6
            };
            busy < 1.0 && (rate <= 0.0 || !(0..fractions.len()).any(over))
        };
        if load.iter().map(|(r, x)| r * x).sum::<f64>() >= 1.0 || fits(&fractions) {
            return fractions;
        }
        // Greedy: by worth for a second of work, each cell as far as the bound allows.
        let value = |i: usize| self.value_per_us(i / plans) * self.settings.plans[i % plans].price;
        let mut order: Vec<usize> = (0..load.len()).collect();
        order.sort_by(|&a, &b| value(b).total_cmp(&value(a)));
        fractions.fill(0.0);
        for i in order {
            let fraction = |tenth: i32| f64::from(tenth) * FRACTION_STEP;
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
