//! Latency and throughput of all servers as measured by this gateway: latencies by class, answers per second, and the
//! ratio of recent latencies to those of idle servers. Makes no decisions.

use crate::class_latency::{AttemptTimes, ClassLatency};
use crate::interface::{CompletionStatus, Micros, RequestClass};

/// Maximum ratio of latency to idle latency that one attempt contributes to [`ServerLatency::idle_latency_ratio`].
const MAX_STRETCH: f64 = 10.0;
/// Weight of one attempt in [`ServerLatency::idle_latency_ratio`]: an average over about the last seven attempts.
const STRETCH_WEIGHT: f64 = 0.15;
/// Factor by which the best throughput decays in each interval: servers and load change within tens of seconds.
const THROUGHPUT_RETENTION: f64 = 0.97;

/// Latency and throughput of all servers.
pub(crate) struct ServerLatency {
    pub classes: Vec<ClassLatency>,
    /// Mean ratio of the latency of recent attempts to the latency at idle servers.
    pub idle_latency_ratio: f64,
    /// Highest recent rate of answers per second, divided by the ready size: the sum of the relative capacities of the
    /// ready servers, as in [`FleetTotals::ready_size`](crate::fleet::FleetTotals::ready_size).
    pub throughput: f64,
    /// Mean latency of an attempt over all classes.
    pub attempt_s: f64,
    /// Mean latency of an attempt at an idle server over all classes.
    pub idle_attempt_s: f64,
    answers_in_interval: f64,
    /// Largest ready size in this interval.
    max_ready_size: f64,
}

impl ServerLatency {
    pub fn new(classes: &[RequestClass]) -> Self {
        let mut latency = ServerLatency {
            classes: vec![ClassLatency::default(); classes.len()],
            idle_latency_ratio: 1.0,
            throughput: 0.0,
            attempt_s: 0.0,
            idle_attempt_s: 0.0,
            answers_in_interval: 0.0,
            max_ready_size: 0.0,
        };
        latency.update_mean_times(classes);
        latency
    }

    /// Records an attempt that ended. Answers of a server that is no longer ready do not count for the throughput of
    /// the ready ones. Returns the latency as a multiple of the usual latency for the units.
    pub fn record_attempt(
        &mut self,
        class: usize,
        units: f64,
        status: CompletionStatus,
        elapsed_us: Micros,
        server_is_ready: bool,
    ) -> f64 {
        let latency = &mut self.classes[class];
        let multiple_of_usual = latency.record_units_and_compare(units, elapsed_us);
        let is_answered = matches!(
            status,
            CompletionStatus::Served | CompletionStatus::ServerError
        );
        if is_answered && server_is_ready {
            self.answers_in_interval += 1.0;
        }
        let is_measured = matches!(
            status,
            CompletionStatus::Served | CompletionStatus::NoAnswer
        );
        if is_measured {
            if let Some(multiple) = latency.multiple_of_idle_latency(units, elapsed_us) {
                self.idle_latency_ratio +=
                    STRETCH_WEIGHT * (multiple.min(MAX_STRETCH) - self.idle_latency_ratio);
            }
            latency.record_latency(elapsed_us);
        }
        multiple_of_usual
    }

    /// Records the ready size. The throughput is computed with the largest of an interval, so that answers of many
    /// servers are not attributed to the few that are left.
    pub fn record_ready_size(&mut self, size: f64) {
        self.max_ready_size = self.max_ready_size.max(size);
    }

    /// Ends an interval of `seconds`, after which the ready size is `size`. Returns for each class whether the interval
    /// had enough samples for its mean.
    pub fn end_interval(&mut self, classes: &[RequestClass], seconds: f64, size: f64) -> Vec<bool> {
        let is_measured = self
            .classes
            .iter_mut()
            .map(ClassLatency::end_interval)
            .collect();
        let max_size = std::mem::replace(&mut self.max_ready_size, size).max(size);
        let answers = std::mem::take(&mut self.answers_in_interval);
        let throughput = answers / seconds / max_size.max(1e-9);
        self.throughput = throughput.max(self.throughput * THROUGHPUT_RETENTION);
        self.update_mean_times(classes);
        is_measured
    }

    fn update_mean_times(&mut self, classes: &[RequestClass]) {
        let times: Vec<AttemptTimes> = self
            .classes
            .iter()
            .zip(classes)
            .map(|(latency, class)| latency.attempt_times(class))
            .collect();
        let count = times.len() as f64;
        self.attempt_s = times.iter().map(|t| t.current_s).sum::<f64>() / count;
        self.idle_attempt_s = times.iter().map(|t| t.idle_s).sum::<f64>() / count;
    }
}
