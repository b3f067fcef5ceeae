//! Aborts the process before a configured step, for tests of crashes in debug builds.

use crate::operator_config::CrashPoint;
use std::cell::RefCell;

/// Counts passes of the configured step and aborts the process after the configured number.
pub(super) struct CrashPoints(RefCell<Option<CrashPoint>>);

impl CrashPoints {
    pub(super) fn new(crash_point: Option<CrashPoint>) -> CrashPoints {
        CrashPoints(RefCell::new(crash_point))
    }

    /// Returns whether a crash point is configured.
    pub(super) fn is_active(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Counts one pass of `step`; aborts the process, without any cleanup, if the configured number of passes has
    /// been counted. Called just before each step.
    pub(super) fn record_pass(&self, step: &str) {
        let mut crash_point = self.0.borrow_mut();
        let Some(crash_point) = crash_point.as_mut().filter(|point| point.step == step) else {
            return;
        };
        if crash_point.passes == 0 {
            std::process::abort();
        }
        crash_point.passes -= 1;
    }
}
