//! How fast the servers are as seen from here: latencies by class, answers an interval, how many times their idle time
//! attempts take. Measurement only.

use crate::class_latency::ClassLatency;
use crate::interface::{CompletionStatus, Micros, RequestClass};

const MAX_STRETCH: f64 = 10.0; // times idle that one attempt may tell of
const STRETCH_WEIGHT: f64 = 0.15; // of one attempt in how much longer than idle they take: about the last seven
const THROUGHPUT_RETENTION: f64 = 0.97; // of the best throughput seen, an interval: servers and load change in tens of s

pub(crate) struct ServerLatency {
    pub classes: Vec<ClassLatency>,
    /// Times their idle time that attempts took of late.
    pub stretch: f64,
    /// Best rate of answers of late for a unit of ready size.
    pub throughput: f64,
    /// Mean time of an attempt, in seconds.
    pub attempt_s: f64,
    /// The same at an idle server.
    pub idle_attempt_s: f64,
    answers_in_interval: f64, // answers in this interval
    max_ready_size: f64,      // most ready size in this interval
}

impl ServerLatency {
    pub fn new(classes: &[RequestClass]) -> Self {
        let unmeasured = vec![ClassLatency::default(); classes.len()];
        let mut pace = ServerLatency {
            classes: unmeasured,
            stretch: 1.0,
            throughput: 0.0,
            attempt_s: 0.0,
            idle_attempt_s: 0.0,
            answers_in_interval: 0.0,
            max_ready_size: 0.0,
        };
        pace.update_mean_times(classes);
        pace
    }

    /// An attempt ended, at a server that is `ready` or not any more: its answers say nothing of what the others can do. How many
    /// times the usual time it took.
    pub fn record_attempt(
        &mut self,
        class: usize,
        units: f64,
        status: CompletionStatus,
        elapsed_us: Micros,
        ready: bool,
    ) -> f64 {
        let l = &mut self.classes[class];
        let ratio = l.record_units_and_compare(units, elapsed_us);
        let answered = matches!(
            status,
            CompletionStatus::Served | CompletionStatus::ServerError
        );
        self.answers_in_interval += f64::from(u8::from(answered && ready));
        if matches!(
            status,
            CompletionStatus::Served | CompletionStatus::NoAnswer
        ) {
            if let Some(times) = l.idle_multiple(units, elapsed_us) {
                self.stretch += STRETCH_WEIGHT * (times.min(MAX_STRETCH) - self.stretch);
            }
            l.record_latency(elapsed_us);
        }
        ratio
    }

    /// So much is ready now. Guards against answers of many servers that count as those of the few that are left.
    pub fn record_ready_size(&mut self, size: f64) {
        self.max_ready_size = self.max_ready_size.max(size);
    }

    /// An interval of so many seconds is over. Which classes have a mean that is worth acting on.
    pub fn end_interval(&mut self, classes: &[RequestClass], seconds: f64, size: f64) -> Vec<bool> {
        let measured = self
            .classes
            .iter_mut()
            .map(ClassLatency::end_interval)
            .collect();
        let most = std::mem::replace(&mut self.max_ready_size, size).max(size);
        let rate = std::mem::take(&mut self.answers_in_interval) / seconds / most.max(1e-9);
        self.throughput = rate.max(self.throughput * THROUGHPUT_RETENTION);
        self.update_mean_times(classes);
        measured
    }

    fn update_mean_times(&mut self, classes: &[RequestClass]) {
        let times: Vec<_> = self
            .classes
            .iter()
            .zip(classes)
            .map(|(l, c)| l.attempt_times(c))
            .collect();
        self.attempt_s = times.iter().map(|(now, _)| now).sum::<f64>() / times.len() as f64;
        self.idle_attempt_s = times.iter().map(|(_, idle)| idle).sum::<f64>() / times.len() as f64;
    }
}
