//! Compares the usage of one customer that the servers' meter reports with the usage that the counter and this
//! gateway counted.

use crate::decaying_sum::DecayingSum;
use crate::interface::Micros;

/// Maximum age of a meter reading that is used: one meter period, its reporting delay, and one missed period.
pub(super) const METER_TIMEOUT_US: Micros = 3_500_000;
/// Minimum time constant of the usage rates. It exceeds the meter's delay, so that the rates of meter and counter
/// cover about the same time.
const MIN_TIME_CONSTANT_US: f64 = 2_000_000.0;
/// Maximum time constant of the usage rates.
const MAX_TIME_CONSTANT_US: f64 = 8_000_000.0;
/// Units by which the quota fills within one time constant, between the two bounds above: a rate over fewer units
/// is too noisy.
const TAU_UNITS: f64 = 40.0;
/// Half-life of the highest recent rate by the counter.
const PEAK_HALF_LIFE_US: f64 = 2_000_000.0;
/// Half-life of a customer's overuse by the last meter reading: most customers exceed their quota for some seconds.
const OVERUSE_HALF_LIFE_US: f64 = 5_000_000.0;
/// Minimum half-life of the overuse, in mean intervals between the customer's requests, as nothing newer is known
/// of a customer whose requests are rare.
const OVERUSE_HALF_LIFE_REQUESTS: f64 = 2.0;
/// Weight of the newest reading in the average of the readings.
const READING_WEIGHT: f64 = 0.5;
/// Difference between the rates of meter and counter that is noise: one unit a second.
const METER_NOISE_PER_S: f64 = 1.0;
/// Factor by which the meter has to exceed the counter for a period to count as underreported.
const METER_TOLERANCE_FACTOR: f64 = 1.1;
/// Underreported periods in a row after which the counter is doubted.
const PERIODS_TO_DOUBT: u8 = 2;
/// Periods for which the counter has to agree with the meter, beyond the one that otherwise ends a doubt, once it
/// has underreported again during the doubt.
const PERIODS_TO_RECOVER: u8 = 3;

/// Result of comparing a meter reading with the counter's totals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MeterComparison {
    /// The reading is a repetition, or neither begins a doubt nor agrees during one.
    Unchanged,
    /// The counter has underreported for `PERIODS_TO_DOUBT` periods in a row, and is doubted from now on.
    NewlyUnderreported,
    /// The counter was in doubt and agreed with the meter in this period.
    Recovering,
}

/// Usage rates of one customer: by the meter, by the counter, and by this gateway's own requests.
#[derive(Default)]
pub(super) struct MeterHistory {
    /// Time constant of the usage rates.
    tau_us: f64,
    /// Units that this gateway admitted.
    own_usage: DecayingSum,
    /// Units that this gateway admitted, and units of the other gateways by the counter's totals.
    counter_usage: DecayingSum,
    /// Highest recent rate of `counter_usage` in units a second, and the time it was reached.
    counter_usage_peak: (f64, Micros),
    /// Time and value of the last meter reading, in units a second.
    reading: Option<(Micros, f64)>,
    /// Moving average of the meter readings.
    average_per_s: f64,
    /// Time and value of the last meter reading as a share of the quota.
    quota_share: Option<(Micros, f64)>,
    /// Number of underreported periods in a row. During a doubt, a further one raises it to `PERIODS_TO_DOUBT +
    /// PERIODS_TO_RECOVER`, and each period of agreement lowers it by 1.
    underreported_periods: u8,
}

impl MeterHistory {
    /// Creates the history of a customer whose quota fills at `rate_per_s`.
    pub fn new(rate_per_s: f64) -> Self {
        let tau_us = (TAU_UNITS / rate_per_s.max(1e-9) * 1e6)
            .clamp(MIN_TIME_CONSTANT_US, MAX_TIME_CONSTANT_US);
        MeterHistory {
            tau_us,
            ..MeterHistory::default()
        }
    }

    /// Records units that this gateway admitted.
    pub fn record_own_usage(&mut self, now: Micros, units: f64) {
        self.own_usage.add(now, self.tau_us, units);
        self.record_counter_usage(now, units);
    }

    /// Records units of any gateway that the counter has counted, or will once they are reported.
    pub fn record_counter_usage(&mut self, now: Micros, units: f64) {
        self.counter_usage.add(now, self.tau_us, units);
        let rate_per_s = self.counter_usage.per_s(now, self.tau_us);
        self.counter_usage_peak = (rate_per_s.max(self.decayed_peak(now)), now);
    }

    /// Returns the highest recent rate by the counter, decayed to `now`.
    fn decayed_peak(&self, now: Micros) -> f64 {
        let (peak, at) = self.counter_usage_peak;
        peak * 0.5f64.powf(now.saturating_sub(at) as f64 / PEAK_HALF_LIFE_US)
    }

    /// Records a meter reading: the units a second that all gateways used in the meter's last complete period.
    pub fn record_reading(&mut self, now: Micros, units_per_s: f64) -> MeterComparison {
        // Every response carries the latest reading, so an unchanged value is a repetition.
        let previous = self.reading.replace((now, units_per_s));
        if previous.is_some_and(|(_, previous_per_s)| previous_per_s == units_per_s) {
            return MeterComparison::Unchanged;
        }
        self.average_per_s += READING_WEIGHT * (units_per_s - self.average_per_s);
        // A counter in doubt has to report the full current rate, and for more periods; otherwise its recent peak
        // suffices.
        let was_doubted = self.underreported_periods >= PERIODS_TO_DOUBT;
        let counted_per_s = if was_doubted {
            self.counter_usage.per_s(now, self.tau_us)
        } else {
            self.decayed_peak(now)
        };
        let underreports =
            self.average_per_s > counted_per_s * METER_TOLERANCE_FACTOR + METER_NOISE_PER_S;
        self.count_period(underreports, was_doubted)
    }

    /// Updates the number of underreported periods by the comparison of one reading.
    fn count_period(&mut self, underreports: bool, was_doubted: bool) -> MeterComparison {
        if was_doubted && underreports {
            self.underreported_periods = PERIODS_TO_DOUBT + PERIODS_TO_RECOVER;
            return MeterComparison::Unchanged;
        }
        if was_doubted {
            self.underreported_periods -= 1;
            return MeterComparison::Recovering;
        }
        self.underreported_periods = if underreports {
            self.underreported_periods + 1
        } else {
            0
        };
        if self.underreported_periods == PERIODS_TO_DOUBT {
            MeterComparison::NewlyUnderreported
        } else {
            MeterComparison::Unchanged
        }
    }

    /// Records a meter reading as a share of the quota.
    pub fn record_quota_share(&mut self, now: Micros, share: f64) {
        self.quota_share = Some((now, share));
    }

    /// Returns how many times its quota the customer uses by the last reading, at least 1. The excess decays with
    /// the reading's age, more slowly for a customer whose requests are `gap_us` apart.
    pub fn overuse_factor(&self, now: Micros, gap_us: f64) -> f64 {
        let half_life_us = OVERUSE_HALF_LIFE_US.max(OVERUSE_HALF_LIFE_REQUESTS * gap_us);
        let excess = |(at, share): (Micros, f64)| {
            (share - 1.0).max(0.0) * 0.5f64.powf(now.saturating_sub(at) as f64 / half_life_us)
        };
        1.0 + self.quota_share.map_or(0.0, excess)
    }

    /// Whether the counter's totals omit usage of other gateways, by a meter reading not older than
    /// `METER_TIMEOUT_US`.
    pub fn counter_underreports(&self, now: Micros) -> bool {
        self.underreported_periods >= PERIODS_TO_DOUBT && self.usage_per_s(now).is_some()
    }

    /// Returns the usage of all gateways by the meter, in units a second; `None` if the last reading is too old.
    pub fn usage_per_s(&self, now: Micros) -> Option<f64> {
        self.reading
            .filter(|(at, _)| now.saturating_sub(*at) <= METER_TIMEOUT_US)
            .map(|_| self.average_per_s)
    }

    /// Returns the usage of the other gateways by the meter, in units a second; `None` if the last reading is too
    /// old.
    pub fn others_usage_per_s(&self, now: Micros) -> Option<f64> {
        Some((self.usage_per_s(now)? - self.own_usage_per_s(now)).max(0.0))
    }

    /// Returns the usage of this gateway in units a second.
    pub fn own_usage_per_s(&self, now: Micros) -> f64 {
        self.own_usage.per_s(now, self.tau_us)
    }
}
