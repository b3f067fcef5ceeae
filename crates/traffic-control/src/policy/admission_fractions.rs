//! Which requests are shed while servers are over capacity: the admission fractions of the paper, once an interval, from
//! latencies and arrivals; between two intervals, what is in flight or how long attempts take. Queues stay within the
//! latency objectives, and what has the least value for its work is shed first.

use super::limits::INTERVAL_S;
use crate::counter::MAX_SMALL_FLEET_GATEWAYS;
use crate::gateway::Gateway;
use crate::random::random_unit;

/// Grid of the fractions, as in the paper.
const FRACTION_STEP: f64 = 0.1;
/// The same, as the number of steps to a fraction of one.
const FRACTION_STEPS: i32 = 10;
/// Bound on a mean latency, as a share of the objective: with a mean at the objective half of the answers are late.
const LATENCY_BOUND_SHARE: f64 = 0.5;
/// Attempts a server, of all gateways, that mean no queue: some cores are busy.
const UNQUEUED_ATTEMPTS_PER_SERVER: f64 = 4.0;
/// Requests are shed gradually as latency exceeds its bound by up to this share.
const SHEDDING_RANGE: f64 = 0.5;
/// At most this share is shed: some requests must show when overload is over.
const MAX_SHED_SHARE: f64 = 0.9;
/// Share of the bound that a class without any value for its work may fill.
const MIN_BOUND_SHARE: f64 = 0.5;
/// Tolerance of rounding to the grid.
const GRID_TOLERANCE: f64 = 1e-9;

/// What the delay model takes of one cell, for one server.
struct CellLoad {
    arrivals_per_s: f64,
    service_s: f64,
}

impl Gateway {
    /// The mean latency of a class that its requests may reach.
    pub(super) fn latency_bound_us(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_objective_us as f64 * LATENCY_BOUND_SHARE
    }

    /// Value of a class for its work, before the plan's price.
    fn value_per_us(&self, class: usize) -> f64 {
        let latency = &self.server_latency.classes[class];
        self.settings.classes[class].priority_weight * latency.mean_units
            / latency.lowest_us.max(1.0)
    }

    /// This class, and those that were measured.
    fn measured_classes(&self, class: usize) -> impl Iterator<Item = usize> + '_ {
        let classes = &self.server_latency.classes;
        (0..classes.len()).filter(move |&c| c == class || classes[c].lowest_us > 0.0)
    }

    /// Value of a class for its work, relative to the class where that is highest.
    fn relative_value(&self, class: usize) -> f64 {
        let highest = self
            .measured_classes(class)
            .map(|c| self.value_per_us(c))
            .fold(f64::MIN_POSITIVE, f64::max);
        self.value_per_us(class) / highest
    }

    /// Ends a control interval: moves the fractions. Returns a log line when shedding begins or ends.
    pub(super) fn update_fractions(&mut self) -> Option<String> {
        let slow_start = &self.settings.slow_start;
        let ready_size = self.fleet.compute_totals(slow_start, self.now).ready_size;
        let is_measured =
            self.server_latency
                .end_interval(&self.settings.classes, INTERVAL_S, ready_size);
        let class_over_bound = (0..is_measured.len()).find(|&class| {
            let mean_us = self.server_latency.classes[class].mean_us;
            is_measured[class] && mean_us > self.latency_bound_us(class)
        });
        if self.transition_until.is_none() {
            self.quotas = self.quotas_of_plans();
        }
        let was_shedding = self.is_shedding();
        if class_over_bound.is_some() {
            self.step_fractions_down();
        } else {
            self.move_fractions_to_targets();
        }
        self.end_cell_interval();
        match class_over_bound {
            Some(class) if !was_shedding => Some(format!(
                "shedding: class {} over bound",
                self.settings.classes[class].name
            )),
            None if was_shedding && !self.is_shedding() => Some("shedding over".into()),
            _ => None,
        }
    }

    fn is_shedding(&self) -> bool {
        self.cells.iter().any(|cell| cell.fraction < 1.0)
    }

    fn step_fractions_down(&mut self) {
        for cell in &mut self.cells {
            cell.fraction = (cell.fraction - FRACTION_STEP).clamp(0.0, 1.0);
        }
    }

    fn move_fractions_to_targets(&mut self) {
        let targets = self.target_fractions();
        for (cell, target) in self.cells.iter_mut().zip(targets) {
            cell.fraction = halfway_on_grid(cell.fraction, target).clamp(0.0, 1.0);
        }
    }

    fn end_cell_interval(&mut self) {
        for cell in &mut self.cells {
            cell.admitted_per_s = cell.admitted / INTERVAL_S;
            cell.arrivals = 0.0;
            cell.admitted = 0.0;
        }
    }

    /// Whether a new request would take too long, which is an exception to the paper: by Little's law that is what is in
    /// flight over the throughput. Past the bound a request is shed at once, since retries fill queues before a fraction
    /// moves. Where recent throughput is far below what servers can do this sheds too much, so a few attempts a server are
    /// always free.
    pub(super) fn is_over_capacity(&mut self, class: usize, plan: usize) -> bool {
        let gateways = self.settings.gateways;
        if gateways > MAX_SMALL_FLEET_GATEWAYS {
            return self.sheds_by_latency(class, plan);
        }
        let totals = self.fleet.totals(&self.settings.slow_start, self.now);
        let free = totals.ready_servers * UNQUEUED_ATTEMPTS_PER_SERVER / f64::from(gateways);
        let rate_per_s = self.server_latency.throughput * totals.ready_size;
        // One queue holds every class: the tightest bound holds for all, and the cheapest work is shed first.
        let tightest_us = self
            .measured_classes(class)
            .map(|c| self.latency_bound_us(c))
            .fold(f64::MAX, f64::min);
        let bound_share = MIN_BOUND_SHARE + (1.0 - MIN_BOUND_SHARE) * self.relative_value(class);
        let bound_us = tightest_us * bound_share;
        totals.in_flight > free
            && rate_per_s > 0.0
            && totals.in_flight / rate_per_s > bound_us / 1e6
    }

    /// The same at one of many gateways, which has too few attempts in flight to go by. How many times their idle time
    /// attempts recently took says how long a new one takes. Past its bound, which is higher the more the request is
    /// worth, more are shed the longer it is, so that the gateways do not all change at once.
    fn sheds_by_latency(&mut self, class: usize, plan: usize) -> bool {
        let highest_price = self
            .settings
            .plans
            .iter()
            .map(|p| p.price)
            .fold(f64::MIN_POSITIVE, f64::max);
        let relative_value =
            self.relative_value(class) * self.settings.plans[plan].price / highest_price;
        let objective_us = self.settings.classes[class].latency_objective_us as f64;
        let bound_us =
            objective_us * (LATENCY_BOUND_SHARE + (1.0 - LATENCY_BOUND_SHARE) * relative_value);
        let expected_us =
            self.server_latency.classes[class].lowest_us * self.server_latency.stretch;
        let shed_share = ((expected_us / bound_us - 1.0) / SHEDDING_RANGE).min(MAX_SHED_SHARE);
        shed_share > 0.0 && random_unit(&mut self.rng) < shed_share
    }

    /// The fractions of all cells that maximise value under each class's bound by M/G/1 delay; 1 where the model finds
    /// no fit.
    fn target_fractions(&self) -> Vec<f64> {
        let loads = self.cell_loads();
        let mut fractions = vec![1.0; loads.len()];
        let offered_load: f64 = loads.iter().map(|l| l.arrivals_per_s * l.service_s).sum();
        if offered_load >= 1.0 || self.meets_bounds(&loads, &fractions) {
            return fractions;
        }
        // Greedy: by value for a second of work, each cell as far as the bounds allow.
        fractions.fill(0.0);
        for cell in self.cells_by_value() {
            for step in (0..=FRACTION_STEPS).rev() {
                fractions[cell] = f64::from(step) * FRACTION_STEP;
                if self.meets_bounds(&loads, &fractions) {
                    break;
                }
            }
        }
        if fractions.iter().all(|&fraction| fraction == 0.0) {
            fractions.fill(1.0);
        }
        fractions
    }

    /// The load that all gateways together put on each ready server, by cell.
    fn cell_loads(&self) -> Vec<CellLoad> {
        let plans = self.settings.plans.len();
        let ready_servers = self.fleet.ready_servers().count().max(1) as f64;
        let others_per_s = self
            .peer_reports
            .others_admitted_per_s(self.now, self.settings.gateways - 1);
        self.cells
            .iter()
            .enumerate()
            .map(|(index, cell)| CellLoad {
                arrivals_per_s: (cell.arrivals / INTERVAL_S + others_per_s(index)) / ready_servers,
                service_s: self.server_latency.classes[index / plans].lowest_us / 1e6,
            })
            .collect()
    }

    /// Whether all admitted classes stay within their bounds by M/G/1 delay.
    fn meets_bounds(&self, loads: &[CellLoad], fractions: &[f64]) -> bool {
        let plans = self.settings.plans.len();
        let mut rate_per_s = 0.0;
        let mut utilization = 0.0;
        let mut second_moment = 0.0;
        for (fraction, load) in fractions.iter().zip(loads) {
            rate_per_s += fraction * load.arrivals_per_s;
            utilization += fraction * load.arrivals_per_s * load.service_s;
            second_moment += fraction * load.arrivals_per_s * load.service_s * load.service_s;
        }
        if utilization >= 1.0 {
            return false;
        }
        let wait_s = second_moment / (2.0 * (1.0 - utilization));
        let is_over_bound = |cell: usize| {
            fractions[cell] > 0.0
                && loads[cell].service_s + wait_s > self.latency_bound_us(cell / plans) / 1e6
        };
        rate_per_s <= 0.0 || !(0..fractions.len()).any(is_over_bound)
    }

    /// The cells, those of the highest value for a second of work first.
    fn cells_by_value(&self) -> Vec<usize> {
        let plans = &self.settings.plans;
        let value =
            |cell: usize| self.value_per_us(cell / plans.len()) * plans[cell % plans.len()].price;
        let mut cells: Vec<usize> = (0..self.cells.len()).collect();
        cells.sort_by(|&a, &b| value(b).total_cmp(&value(a)));
        cells
    }
}

/// Halfway to the target, on the grid, rounded towards the target so that it is reached.
fn halfway_on_grid(fraction: f64, target: f64) -> f64 {
    let steps = (fraction + target) / 2.0 / FRACTION_STEP;
    if target > fraction {
        (steps - GRID_TOLERANCE).ceil() * FRACTION_STEP
    } else {
        (steps + GRID_TOLERANCE).floor() * FRACTION_STEP
    }
}
