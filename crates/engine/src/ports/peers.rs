//! The traits and types through which the engine reaches the other gateways and the shared counter.

use frosthatch_traffic_control::{Event, Micros, RequestId};
use std::collections::VecDeque;

/// Reports to the other gateways the use that this gateway has admitted.
pub trait UsageReporter {
    /// Adds `units` to the use of the customer with this tag.
    fn record_usage(&self, tag: u32, units: f64);
}

/// Determines under which policy requests may be admitted, if gateways agree on a common policy.
pub trait PolicyLease {
    /// Appends the events that traffic control has to process at the time `now_us` before any other event.
    fn collect_events(&self, now_us: Micros, events: &mut VecDeque<Event>);
    /// Records that a request was admitted under the policy that the last call of `collect_events` determined.
    fn record_admitted(&self, request: RequestId);
}

/// A call to the shared counter that adds `amount` to the count `name`.
pub struct CounterCall {
    /// The name of the count.
    pub name: String,
    /// The amount to add.
    pub amount: f64,
    /// The lifetime, in milliseconds, of a count that the call creates.
    pub ttl_ms: u64,
}
