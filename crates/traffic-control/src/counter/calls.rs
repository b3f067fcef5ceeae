//! Calls to the counter that are in flight, matched with their replies.

use super::window::CounterWindow;
use crate::interface::Micros;
use std::collections::{BTreeMap, VecDeque};

/// A call to the counter.
#[derive(Clone, Copy)]
pub(crate) struct CounterCall {
    /// Tag of the customer.
    pub customer: u32,
    pub amount: f64,
    /// The part of the amount that is for requests that wait for the reply.
    pub wanted_units: f64,
    pub sent_at: Micros,
    /// The window of its count when it was sent.
    pub window: CounterWindow,
}

/// A call's reply.
#[derive(Clone, Copy)]
pub(crate) struct CounterReply {
    pub call: CounterCall,
    pub total: f64,
    /// What later calls of the same name add that are still in flight.
    pub in_flight_amount: f64,
}

/// Calls in flight by name; replies come in the order of the calls.
#[derive(Default)]
pub(crate) struct CallsInFlight(BTreeMap<String, VecDeque<CounterCall>>);

impl CallsInFlight {
    pub fn record_sent(&mut self, name: &str, call: CounterCall) {
        self.0.entry(name.to_string()).or_default().push_back(call);
    }

    /// Takes the first call of this name, which is replied with `total`; `None` where none is in flight.
    pub fn match_reply(&mut self, name: &str, total: f64) -> Option<CounterReply> {
        let calls = self.0.get_mut(name)?;
        let call = calls.pop_front()?;
        let in_flight_amount = calls.iter().map(|c| c.amount).sum();
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
