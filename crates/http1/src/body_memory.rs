//! Accounts for the memory of long request bodies against a shared budget.

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// Bytes that one request body has reserved from a shared budget. Dropping the reservation returns them.
pub struct BodyReservation {
    available_bytes: Arc<AtomicUsize>,
    reserved_bytes: usize,
}

impl BodyReservation {
    /// Creates an empty reservation; `available_bytes` is the unreserved part of the shared budget.
    pub fn new(available_bytes: Arc<AtomicUsize>) -> Self {
        BodyReservation {
            available_bytes,
            reserved_bytes: 0,
        }
    }

    /// Grows the reservation to at least `total_bytes`. Returns false, and leaves the reservation unchanged, if the
    /// budget does not suffice. A reservation never shrinks.
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
