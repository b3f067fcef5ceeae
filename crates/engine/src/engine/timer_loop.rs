//! The loop that waits for timers and fires them.

use super::Engine;
use crate::timers::TimerKey;
use frosthatch_traffic_control::{Event, RequestId, Timer};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// How long the loop sleeps while no timer is set.
const IDLE_SLEEP: Duration = Duration::from_secs(3_600);
/// The maximum change, in microseconds, of the difference between the wall clock and the monotonic clock since traffic
/// control was last notified of the difference. The wall clock is adjusted gradually all the time; a larger change is
/// reported as a step.
const MAX_WALL_CLOCK_DRIFT_US: u64 = 20_000;

impl Engine {
    /// Fires each timer when it is due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next_due_at = self.state.borrow().timers.next_due_at();
            let idle_until = Instant::now() + IDLE_SLEEP;
            tokio::select! {
                () = sleep_until(next_due_at.unwrap_or(idle_until)) => {}
                () = self.earlier_timer_set.notified() => {}
            }
            while let Some(key) = self.pop_due_timer() {
                self.fire_timer(key);
            }
        }
    }

    fn pop_due_timer(&self) -> Option<TimerKey> {
        self.state.borrow_mut().timers.pop_due(Instant::now())
    }

    fn fire_timer(self: &Rc<Self>, key: TimerKey) {
        match key {
            TimerKey::Interval => {
                self.detect_wall_clock_step();
                self.feed(Event::Timer(Timer::Interval));
            }
            TimerKey::Request(id) => self.feed(Event::Timer(Timer::Request(RequestId(id)))),
            TimerKey::Customer(tag) => self.feed(Event::Timer(Timer::Customer(tag))),
            TimerKey::AnswerDeadline(id) => self.enforce_answer_deadline(RequestId(id)),
        }
    }

    /// Notifies traffic control if the wall clock was stepped.
    fn detect_wall_clock_step(self: &Rc<Self>) {
        let ahead_us = self.wall_clock_us() as i64 - self.now_us() as i64;
        if ahead_us.abs_diff(self.wall_clock_ahead_us.get()) > MAX_WALL_CLOCK_DRIFT_US {
            self.wall_clock_ahead_us.set(ahead_us);
            self.feed(Event::WallClock { ahead_us });
        }
    }
}
