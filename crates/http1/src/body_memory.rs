//! The memory that long request bodies share.

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// The bytes that one request body has reserved from a shared budget. Dropping it returns them.
pub struct BodyReservation {
    available_bytes: Arc<AtomicUsize>,
    reserved_bytes: usize,
}

impl BodyReservation {
    /// An empty reservation; `available_bytes` is what is left of the shared budget.
    pub fn new(available_bytes: Arc<AtomicUsize>) -> Self {
        BodyReservation {
            available_bytes,
            reserved_bytes: 0,
        }
    }

    /// Grows the reservation to `total_bytes`, if the budget allows; it never shrinks. Returns whether that much is
    /// reserved.
    pub fn try_grow_to(&mut self, total_bytes: usize) -> bool {
        let missing_bytes = total_bytes.saturating_sub(self.reserved_bytes);
        let is_granted = self
            .available_bytes
            .fetch_update(Relaxed, Relaxed, |available| {
                available.checked_sub(missing_bytes)
            })
            .is_ok();
        if is_granted {
            self.reserved_bytes += missing_bytes;
        }
        is_granted
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.available_bytes.fetch_add(self.reserved_bytes, Relaxed);
    }
}
