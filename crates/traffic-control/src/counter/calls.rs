//! Matches replies of the shared counter with the calls in flight.

use super::window::CounterWindow;
use crate::interface::Micros;
use std::collections::{BTreeMap, VecDeque};

/// A call that adds an amount to a count of the shared counter.
#[derive(Clone, Copy)]
pub(crate) struct CounterCall {
    /// Tag of the customer whose count the call adds to.
    pub customer: u32,
    pub amount: f64,
    /// Part of `amount` that the call reserves: the units of the waiting requests, and prefetched units.
    pub wanted_units: f64,
    pub sent_at: Micros,
    /// Window of the count at the time of the call.
    pub window: CounterWindow,
}

/// The reply to a call, with the call itself.
#[derive(Clone, Copy)]
pub(crate) struct CounterReply {
    pub call: CounterCall,
    /// Total of the count after the call.
    pub total: f64,
    /// Sum of the amounts of later calls to the same count that are still in flight.
    pub in_flight_amount: f64,
}

/// Calls in flight by the name of their count. The counter replies to the calls to one count in order.
#[derive(Default)]
pub(crate) struct CallsInFlight(BTreeMap<String, VecDeque<CounterCall>>);

impl CallsInFlight {
    /// Records a call that was sent to the count `name`.
    pub fn record_sent(&mut self, name: &str, call: CounterCall) {
        self.0.entry(name.to_string()).or_default().push_back(call);
    }

    /// Removes the oldest call in flight to the count `name` and pairs it with `total`; `None` where no call is in
    /// flight.
    pub fn match_reply(&mut self, name: &str, total: f64) -> Option<CounterReply> {
        let calls = self.0.get_mut(name)?;
        let call = calls.pop_front()?;
        let in_flight_amount = calls.iter().map(|call| call.amount).sum();
        if calls.is_empty() {
            self.0.remove(name);
        }
        Some(CounterReply {
            call,
            total,
            in_flight_amount,
        })
    }
}
