//! A step before which this process aborts: for tests of crashes, in debug builds only.

use crate::operator_config::CrashPoint;
use std::cell::RefCell;

/// Counts passes of the configured step, and aborts the process when they are used up.
pub(super) struct CrashPoints(RefCell<Option<CrashPoint>>);

impl CrashPoints {
    pub(super) fn new(crash_point: Option<CrashPoint>) -> CrashPoints {
        CrashPoints(RefCell::new(crash_point))
    }

    /// Whether a crash point is configured.
    pub(super) fn is_active(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Called just before each step; ends the process as suddenly as it can end itself.
    pub(super) fn reach(&self, step: &str) {
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
