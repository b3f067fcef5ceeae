//! Sheds requests while servers are over capacity. Once a control interval, the admission fractions move as in the
//! paper, by latencies and arrivals; within an interval, requests are also shed by the number in flight or by how
//! long attempts take. Queues stay within the latency objectives, and requests with the least value for their work
//! are shed first.

use super::limits::INTERVAL_S;
use crate::counter::MAX_SMALL_FLEET_GATEWAYS;
use crate::gateway::Gateway;
use crate::random::random_unit;

/// Step of the grid of fractions, as in the paper.
const FRACTION_STEP: f64 = 0.1;
/// Number of grid steps in a fraction of 1.
const FRACTION_STEPS: i32 = 10;
/// Bound on a class's mean latency, as a share of its objective: with a mean at the objective half of the answers
/// are late.
const LATENCY_BOUND_SHARE: f64 = 0.5;
/// Attempts in flight per server, by all gateways, up to which no request waits: they only keep some cores busy.
const UNQUEUED_ATTEMPTS_PER_SERVER: f64 = 4.0;
/// Excess of the expected latency over its bound, as a share of the bound, at which all requests would be shed but
/// for `MAX_SHED_SHARE`.
const SHEDDING_RANGE: f64 = 0.5;
/// Maximum share of requests that is shed by latency: some requests must show when the overload is over.
const MAX_SHED_SHARE: f64 = 0.9;
/// Share of the latency bound up to which even a class without any value for its work is admitted.
const MIN_BOUND_SHARE: f64 = 0.5;
/// Rounding tolerance on the grid.
const GRID_TOLERANCE: f64 = 1e-9;

/// Load of one cell on one server, an input of the delay model.
struct CellLoad {
    arrivals_per_s: f64,
    service_s: f64,
}

impl Gateway {
    /// Returns the bound on the mean latency of a class.
    pub(super) fn latency_bound_us(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_objective_us as f64 * LATENCY_BOUND_SHARE
    }

    /// Returns the value of a class per microsecond of work, before the plan's price.
    fn value_per_us(&self, class: usize) -> f64 {
        let latency = &self.server_latency.classes[class];
        self.settings.classes[class].priority_weight * latency.mean_units
            / latency.lowest_us.max(1.0)
    }

    /// Returns the given class and all classes with a measured latency.
    fn measured_classes(&self, class: usize) -> impl Iterator<Item = usize> + '_ {
        let classes = &self.server_latency.classes;
        (0..classes.len()).filter(move |&c| c == class || classes[c].lowest_us > 0.0)
    }

    /// Returns the value of a class for its work, relative to the class with the highest value.
    fn relative_value(&self, class: usize) -> f64 {
        let highest = self
            .measured_classes(class)
            .map(|c| self.value_per_us(c))
            .fold(f64::MIN_POSITIVE, f64::max);
        self.value_per_us(class) / highest
    }

    /// Ends a control interval and moves the fractions. Returns a log line when shedding begins or ends.
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

    /// Whether the fraction of any cell is below 1.
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

    /// Whether a new request would take too long. This rule is not in the paper. By Little's law the latency of a
    /// request is the number in flight over the throughput. Above the bound a request is shed at once, since
    /// retries fill queues before a fraction moves. Where the recent throughput is far below the capacity of the
    /// servers this sheds too much, so a few attempts per server are always admitted.
    pub(super) fn is_over_capacity(&mut self, class: usize, plan: usize) -> bool {
        let gateways = self.settings.gateways;
        if gateways > MAX_SMALL_FLEET_GATEWAYS {
            return self.should_shed_by_latency(class, plan);
        }
        let totals = self.fleet.totals(&self.settings.slow_start, self.now);
        let unqueued_attempts =
            totals.ready_servers * UNQUEUED_ATTEMPTS_PER_SERVER / f64::from(gateways);
        let rate_per_s = self.server_latency.throughput * totals.ready_size;
        // All classes share one queue: the tightest bound applies to all of them, and the class with the least
        // value for its work is shed first.
        let tightest_us = self
            .measured_classes(class)
            .map(|c| self.latency_bound_us(c))
            .fold(f64::MAX, f64::min);
        let bound_share = MIN_BOUND_SHARE + (1.0 - MIN_BOUND_SHARE) * self.relative_value(class);
        let bound_us = tightest_us * bound_share;
        totals.in_flight > unqueued_attempts
            && rate_per_s > 0.0
            && totals.in_flight / rate_per_s > bound_us / 1e6
    }

    /// Whether a new request is shed at a gateway of a large fleet, which has too few attempts in flight to apply
    /// Little's law. The expected latency is the lowest one, times the recent ratio of attempt times to idle times.
    /// Above a bound that rises with the value of the request, the probability of shedding grows with the expected
    /// latency, so that the gateways do not all change at once.
    fn should_shed_by_latency(&mut self, class: usize, plan: usize) -> bool {
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
            self.server_latency.classes[class].lowest_us * self.server_latency.idle_latency_ratio;
        let shed_share = ((expected_us / bound_us - 1.0) / SHEDDING_RANGE).min(MAX_SHED_SHARE);
        shed_share > 0.0 && random_unit(&mut self.rng) < shed_share
    }

    /// Returns the fractions of all cells that maximise the value while each class stays within its bound by M/G/1
    /// delay; 1 for all cells where the model finds no solution.
    fn target_fractions(&self) -> Vec<f64> {
        let loads = self.cell_loads();
        let mut fractions = vec![1.0; loads.len()];
        let offered_load: f64 = loads.iter().map(|l| l.arrivals_per_s * l.service_s).sum();
        if offered_load >= 1.0 || self.meets_bounds(&loads, &fractions) {
            return fractions;
        }
        // Greedy: in the order of value per second of work, each cell gets the highest fraction that the bounds
        // allow.
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

    /// Returns the load of each cell on a ready server, by all gateways together.
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

    /// Returns the cells in descending order of value per second of work.
    fn cells_by_value(&self) -> Vec<usize> {
        let plans = &self.settings.plans;
        let value =
            |cell: usize| self.value_per_us(cell / plans.len()) * plans[cell % plans.len()].price;
        let mut cells: Vec<usize> = (0..self.cells.len()).collect();
        cells.sort_by(|&a, &b| value(b).total_cmp(&value(a)));
        cells
    }
}

/// Returns the point of the grid halfway to the target, rounded towards the target so that it is reached.
fn halfway_on_grid(fraction: f64, target: f64) -> f64 {
    let steps = (fraction + target) / 2.0 / FRACTION_STEP;
    if target > fraction {
        (steps - GRID_TOLERANCE).ceil() * FRACTION_STEP
    } else {
        (steps + GRID_TOLERANCE).floor() * FRACTION_STEP
    }
}
