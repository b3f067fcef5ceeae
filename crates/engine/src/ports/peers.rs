//! What the engine needs of the other gateways and of the shared counter.

use frosthatch_traffic_control::{Event, Micros, RequestId};
use std::collections::VecDeque;

/// Reports the use that this gateway has admitted to the other gateways.
pub trait UsageReporter {
    /// Adds units of a customer, by its tag.
    fn record_usage(&self, tag: u32, units: f64);
}

/// Determines under which policy requests may be admitted, where gateways agree on it.
pub trait PolicyLease {
    /// Adds the events that the decisions have to process before any other event at this time.
    fn collect_events(&self, now: Micros, events: &mut VecDeque<Event>);
    /// Records that a request was admitted under the policy last collected.
    fn record_admitted(&self, request: RequestId);
}

/// One call to the shared counter: add `amount` to the count `name`.
pub struct CounterCall {
    /// The name of the count.
    pub name: String,
    /// The amount to add.
    pub amount: f64,
    /// How long a count that the call creates exists, in milliseconds.
    pub ttl_ms: u64,
}
