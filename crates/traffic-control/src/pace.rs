//! How fast the servers are as seen from here: latencies by class, answers an interval, how many times their idle time
//! attempts take. Measurement only.

use crate::interface::{CompletionStatus, Micros, RequestClass};
use crate::latency::ClassLatency;

const STRETCH_MOST: f64 = 10.0; // times idle that one attempt may tell of
const STRETCH_WEIGHT: f64 = 0.15; // of one attempt in how much longer than idle they take: about the last seven
const PEAK_KEPT: f64 = 0.97; // of the best throughput seen, an interval: servers and load change in tens of s

pub(crate) struct Pace {
    pub classes: Vec<ClassLatency>,
    /// Times their idle time that attempts took of late.
    pub stretch: f64,
    /// Best rate of answers of late for a unit of ready size.
    pub throughput: f64,
    /// Mean time of an attempt, in seconds.
    pub attempt_s: f64,
    /// The same at an idle server.
    pub work_s: f64,
    done: f64, // answers in this interval
    size: f64, // most ready size in this interval
}

impl Pace {
    pub fn new(classes: &[RequestClass]) -> Self {
        let unmeasured = vec![ClassLatency::default(); classes.len()];
        let mut pace = Pace {
            classes: unmeasured,
            stretch: 1.0,
            throughput: 0.0,
            attempt_s: 0.0,
            work_s: 0.0,
            done: 0.0,
            size: 0.0,
        };
        pace.sum_up(classes);
        pace
    }

    /// An attempt ended, at a server that is `ready` or not any more: its answers say nothing of what the others can do. How many
    /// times the usual time it took.
    pub fn measure(
        &mut self,
        class: usize,
        units: f64,
        status: CompletionStatus,
        elapsed_us: Micros,
        ready: bool,
    ) -> f64 {
        let l = &mut self.classes[class];
        let ratio = l.ratio(units, elapsed_us);
        let answered = matches!(
            status,
            CompletionStatus::Served | CompletionStatus::ServerError
        );
        self.done += f64::from(u8::from(answered && ready));
        if matches!(
            status,
            CompletionStatus::Served | CompletionStatus::NoAnswer
        ) {
            if let Some(times) = l.times_idle(units, elapsed_us) {
                self.stretch += STRETCH_WEIGHT * (times.min(STRETCH_MOST) - self.stretch);
            }
            l.measure(elapsed_us);
        }
        ratio
    }

    /// So much is ready now. Guards against answers of many servers that count as those of the few that are left.
    pub fn sized(&mut self, size: f64) {
        self.size = self.size.max(size);
    }

    /// An interval of so many seconds is over. Which classes have a mean that is worth acting on.
    pub fn interval(&mut self, classes: &[RequestClass], seconds: f64, size: f64) -> Vec<bool> {
        let measured = self
            .classes
            .iter_mut()
            .map(ClassLatency::interval)
            .collect();
        let most = std::mem::replace(&mut self.size, size).max(size);
        let rate = std::mem::take(&mut self.done) / seconds / most.max(1e-9);
        self.throughput = rate.max(self.throughput * PEAK_KEPT);
        self.sum_up(classes);
        measured
    }

    fn sum_up(&mut self, classes: &[RequestClass]) {
        let times: Vec<_> = self
            .classes
            .iter()
            .zip(classes)
            .map(|(l, c)| l.attempt_s(c))
            .collect();
        self.attempt_s = times.iter().map(|(now, _)| now).sum::<f64>() / times.len() as f64;
        self.work_s = times.iter().map(|(_, idle)| idle).sum::<f64>() / times.len() as f64;
    }
}
