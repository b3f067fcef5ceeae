//! Named gauges that each member publishes to the others, with the age of each value. The set of a member is sent
//! whole under a version number; receivers keep only the latest version.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Upper bound of the gauges that one member publishes.
pub const MAX_GAUGES: usize = 32;
/// Upper bound of the length of a gauge's name, in bytes.
pub const MAX_GAUGE_NAME_BYTES: usize = 24;

/// A gauge in the form in which it is sent to other members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gauge {
    /// Name of at most [`MAX_GAUGE_NAME_BYTES`] bytes.
    pub name: String,
    /// Value; a receiver discards the gauge unless it is finite.
    pub value: f64,
    /// Milliseconds since the value was measured.
    pub age_ms: u32,
}

/// All gauges of a member in the form in which they are sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GaugeSnapshot {
    /// Version of the set; 0 if the datagram carries no gauges.
    pub version: u64,
    /// All gauges of the sender.
    pub gauges: Vec<Gauge>,
}

/// The value of a gauge and when it was measured, in microseconds of the local clock.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    value: f64,
    measured_at_us: u64,
}

/// The gauges of one member, with the time at which each was measured, in microseconds of the local clock.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    /// Version of the set, incremented by each change; 0 before the first one.
    pub version: u64,
    measurements: BTreeMap<String, Measurement>,
}

impl Gauges {
    /// Sets a gauge. Returns false and changes nothing if the value is not finite, the name is empty or longer than
    /// [`MAX_GAUGE_NAME_BYTES`], or the set already holds [`MAX_GAUGES`] others.
    pub fn set(&mut self, now_us: u64, name: &str, value: f64) -> bool {
        let has_capacity =
            self.measurements.len() < MAX_GAUGES || self.measurements.contains_key(name);
        if !has_capacity
            || !value.is_finite()
            || name.is_empty()
            || name.len() > MAX_GAUGE_NAME_BYTES
        {
            return false;
        }
        let measurement = Measurement {
            value,
            measured_at_us: now_us,
        };
        self.measurements.insert(name.into(), measurement);
        self.version += 1;
        true
    }

    /// Removes a gauge, so that it is no longer published.
    pub fn clear(&mut self, name: &str) {
        if self.measurements.remove(name).is_some() {
            self.version += 1;
        }
    }

    /// Returns the value of a gauge and when it was measured, in microseconds.
    pub fn get(&self, name: &str) -> Option<(f64, u64)> {
        let measurement = self.measurements.get(name)?;
        Some((measurement.value, measurement.measured_at_us))
    }

    /// Iterates over all gauges in the order of their names, as name, value and time of measurement in microseconds.
    pub fn all(&self) -> impl Iterator<Item = (&str, f64, u64)> + '_ {
        self.measurements
            .iter()
            .map(|(name, m)| (name.as_str(), m.value, m.measured_at_us))
    }

    /// Returns all gauges in the form in which they are sent, with ages in place of times of measurement.
    pub fn snapshot(&self, now_us: u64) -> GaugeSnapshot {
        let gauges = self
            .all()
            .map(|(name, value, measured_at_us)| {
                let age_ms = now_us.saturating_sub(measured_at_us) / 1_000;
                Gauge {
                    name: name.into(),
                    value,
                    age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
                }
            })
            .collect();
        GaugeSnapshot {
            version: self.version,
            gauges,
        }
    }

    /// Replaces the set by `snapshot` if that has a later version. Gauges out of bounds are dropped.
    pub fn replace_if_later(&mut self, now_us: u64, snapshot: GaugeSnapshot) {
        if snapshot.version <= self.version {
            return;
        }
        let is_valid = |g: &Gauge| g.value.is_finite() && g.name.len() <= MAX_GAUGE_NAME_BYTES;
        self.measurements = snapshot
            .gauges
            .into_iter()
            .take(MAX_GAUGES)
            .filter(is_valid)
            .map(|gauge| {
                let age_us = u64::from(gauge.age_ms) * 1_000;
                let measurement = Measurement {
                    value: gauge.value,
                    measured_at_us: now_us.saturating_sub(age_us),
                };
                (gauge.name, measurement)
            })
            .collect();
        self.version = snapshot.version;
    }
}
