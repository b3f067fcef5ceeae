//! What the servers' meter reported of one customer's use, beside what the counter and this gateway itself counted.

use crate::decaying_sum::DecayingSum;
use crate::interface::Micros;

/// A reading of the meter counts for so long: a period, its lateness, and one that was missed.
pub(super) const METER_TIMEOUT_US: Micros = 3_500_000;
/// Rates are taken over at least this: longer than the meter's delay, so that both cover about the same time...
const MIN_TAU_US: f64 = 2_000_000.0;
/// ...at most this...
const MAX_TAU_US: f64 = 8_000_000.0;
/// ...and in between over as long as so many units come in, as few units vary most.
const TAU_UNITS: f64 = 40.0;
/// The highest rate that the counter reported recently halves in this.
const PEAK_HALF_LIFE_US: f64 = 2_000_000.0;
/// That a customer uses too much is half forgotten after this: most do so for some seconds...
const OVERUSE_HALF_LIFE_US: f64 = 5_000_000.0;
/// ...or in the time of so many of its requests, as nothing newer is known of a customer that is rarely seen.
const OVERUSE_HALF_LIFE_REQUESTS: f64 = 2.0;
/// Weight of the meter's last reading in the average.
const METER_WEIGHT: f64 = 0.5;
/// A difference of a unit a second is noise.
const METER_NOISE_PER_S: f64 = 1.0;
/// The meter exceeds the counter by this factor...
const METER_TOLERANCE: f64 = 1.1;
/// ...for so many periods in a row before the counter is doubted...
const PERIODS_TO_DOUBT: u8 = 2;
/// ...and agrees for so many more before it is trusted.
const PERIODS_TO_RECOVER: u8 = 3;

/// What a reading of the meter says of the counter's totals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MeterComparison {
    /// Nothing that was not known.
    Unchanged,
    /// The counter has reported less for some periods, and is doubted from now on.
    NewlyUnderreported,
    /// The counter was in doubt, and agreed in this period.
    Recovering,
}

/// Rates of one customer's use: by the meter, by the counter, and by this gateway's own requests.
#[derive(Default)]
pub(super) struct MeterHistory {
    /// Time constant of the rates.
    tau_us: f64,
    own_usage: DecayingSum,
    /// Own use, and that of the others as the counter reported it.
    counter_usage: DecayingSum,
    /// The highest rate of it, and when that was.
    counter_usage_peak: (f64, Micros),
    /// The meter's last reading, in units a second.
    reading: Option<(Micros, f64)>,
    /// Mean of the last few readings.
    average_per_s: f64,
    /// The meter's last reading as a share of the quota.
    quota_share: Option<(Micros, f64)>,
    /// Periods in a row in which the meter reported more than the counter.
    underreported_periods: u8,
}

impl MeterHistory {
    /// A history for a quota that fills at this rate.
    pub fn new(rate_per_s: f64) -> Self {
        let tau_us = (TAU_UNITS / rate_per_s.max(1e-9) * 1e6).clamp(MIN_TAU_US, MAX_TAU_US);
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

    /// Records units of any gateway that the counter knows of.
    pub fn record_counter_usage(&mut self, now: Micros, units: f64) {
        self.counter_usage.add(now, self.tau_us, units);
        let rate_per_s = self.counter_usage.per_s(now, self.tau_us);
        self.counter_usage_peak = (rate_per_s.max(self.decayed_peak(now)), now);
    }

    fn decayed_peak(&self, now: Micros) -> f64 {
        let (peak, at) = self.counter_usage_peak;
        peak * 0.5f64.powf(now.saturating_sub(at) as f64 / PEAK_HALF_LIFE_US)
    }

    /// Records a reading: units a second that all gateways used in a period that is over.
    pub fn record_reading(&mut self, now: Micros, units_per_s: f64) -> MeterComparison {
        // Every response repeats the reading until there is another.
        let previous = self.reading.replace((now, units_per_s));
        if previous.is_some_and(|(_, was)| was == units_per_s) {
            return MeterComparison::Unchanged;
        }
        self.average_per_s += METER_WEIGHT * (units_per_s - self.average_per_s);
        // Once in doubt, the counter has to report all use again, and for longer; before that its recent peak will do.
        let was_doubted = self.underreported_periods >= PERIODS_TO_DOUBT;
        let counted_per_s = if was_doubted {
            self.counter_usage.per_s(now, self.tau_us)
        } else {
            self.decayed_peak(now)
        };
        let underreports = self.average_per_s > counted_per_s * METER_TOLERANCE + METER_NOISE_PER_S;
        self.count_period(underreports, was_doubted)
    }

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

    /// Records the meter's reading as a share of the quota.
    pub fn record_quota_share(&mut self, now: Micros, share: f64) {
        self.quota_share = Some((now, share));
    }

    /// How many times its quota the customer uses by the last reading, at least 1. It fades with age, and more slowly for
    /// customers whose requests are `gap_us` apart.
    pub fn overuse_factor(&self, now: Micros, gap_us: f64) -> f64 {
        let half_life_us = OVERUSE_HALF_LIFE_US.max(OVERUSE_HALF_LIFE_REQUESTS * gap_us);
        let excess = |(at, share): (Micros, f64)| {
            (share - 1.0).max(0.0) * 0.5f64.powf(now.saturating_sub(at) as f64 / half_life_us)
        };
        1.0 + self.quota_share.map_or(0.0, excess)
    }

    /// Whether the counter leaves out use of the other gateways.
    pub fn counter_underreports(&self, now: Micros) -> bool {
        self.underreported_periods >= PERIODS_TO_DOUBT && self.usage_per_s(now).is_some()
    }

    /// What all gateways use by the meter; `None` if it is silent.
    pub fn usage_per_s(&self, now: Micros) -> Option<f64> {
        self.reading
            .filter(|(at, _)| now.saturating_sub(*at) <= METER_TIMEOUT_US)
            .map(|_| self.average_per_s)
    }

    /// What the other gateways use by the meter; `None` if it is silent.
    pub fn others_usage_per_s(&self, now: Micros) -> Option<f64> {
        Some((self.usage_per_s(now)? - self.own_usage_per_s(now)).max(0.0))
    }

    /// What this gateway uses.
    pub fn own_usage_per_s(&self, now: Micros) -> f64 {
        self.own_usage.per_s(now, self.tau_us)
    }
}
