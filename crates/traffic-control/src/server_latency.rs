//! How fast the servers are as seen from here: latencies by class, throughput, and how much longer attempts take than at
//! idle servers. Measurement only.

use crate::class_latency::{AttemptTimes, ClassLatency};
use crate::interface::{CompletionStatus, Micros, RequestClass};

/// One attempt counts as at most so many times the idle time.
const MAX_STRETCH: f64 = 10.0;
/// Weight of one attempt in the stretch: about the last seven.
const STRETCH_WEIGHT: f64 = 0.15;
/// Part of the best throughput that is retained in each interval: servers and load change in tens of seconds.
const THROUGHPUT_RETENTION: f64 = 0.97;

/// Latency and throughput of all servers.
pub(crate) struct ServerLatency {
    pub classes: Vec<ClassLatency>,
    /// How many times their idle time attempts recently took.
    pub stretch: f64,
    /// Best recent rate of answers a second for a unit of ready size.
    pub throughput: f64,
    /// Mean time of an attempt.
    pub attempt_s: f64,
    /// The same at an idle server.
    pub idle_attempt_s: f64,
    answers_in_interval: f64,
    /// The largest ready size in this interval.
    max_ready_size: f64,
}

impl ServerLatency {
    pub fn new(classes: &[RequestClass]) -> Self {
        let mut latency = ServerLatency {
            classes: vec![ClassLatency::default(); classes.len()],
            stretch: 1.0,
            throughput: 0.0,
            attempt_s: 0.0,
            idle_attempt_s: 0.0,
            answers_in_interval: 0.0,
            max_ready_size: 0.0,
        };
        latency.update_mean_times(classes);
        latency
    }

    /// Records an attempt that ended. Answers of a server that is not ready any more say nothing of the throughput of the
    /// others. Returns how many times the usual time the attempt took.
    pub fn record_attempt(
        &mut self,
        class: usize,
        units: f64,
        status: CompletionStatus,
        elapsed_us: Micros,
        server_is_ready: bool,
    ) -> f64 {
        let latency = &mut self.classes[class];
        let usual_ratio = latency.record_units_and_compare(units, elapsed_us);
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
            if let Some(multiple) = latency.idle_multiple(units, elapsed_us) {
                self.stretch += STRETCH_WEIGHT * (multiple.min(MAX_STRETCH) - self.stretch);
            }
            latency.record_latency(elapsed_us);
        }
        usual_ratio
    }

    /// Records the ready size: answers of many servers do not count as those of the few that are left.
    pub fn record_ready_size(&mut self, size: f64) {
        self.max_ready_size = self.max_ready_size.max(size);
    }

    /// Ends an interval of `seconds`. Returns which classes have a mean that is worth acting on.
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
