//! State machine of a DNS Push Notifications session (RFC 8765) over DNS Stateful Operations (RFC 8490): tracks the
//! subscriptions, which of them are granted, and whether the server still responds. It performs no I/O.
//!
//! ```text
//!   closed --opened--> open, nothing granted --every service granted--> established --> closed
//!                         \______ refused, no response, invalid message, retry delay ______/
//! ```

use super::wire::{
    encode_keepalive, encode_subscribe, parse_dso_message, DsoMessage, Name, RecordChange,
    RecordType,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time to wait for a response, in microseconds; a request without one ends the session.
const RESPONSE_TIMEOUT_US: u64 = 2_000_000;
/// Initial backoff between sessions, in microseconds; doubled after each session and reset once a session is
/// established.
const MIN_BACKOFF_US: u64 = 500_000;
/// Maximum backoff between sessions, in microseconds; also limits a retry delay that the server requests.
const MAX_BACKOFF_US: u64 = 60_000_000;
/// Maximum number of requests in flight.
const MAX_OUTSTANDING_REQUESTS: usize = 64;
/// The minimum keepalive interval that a server may set, in milliseconds (RFC 8490 section 6.5.2).
const MIN_SERVER_KEEPALIVE_INTERVAL_MS: u32 = 10_000;

/// An action that the session requests, or a change in the session or in the records.
#[derive(Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// Write this message, given without a length prefix, to the connection.
    Write(Vec<u8>),
    /// The server pushed a change to a record.
    Change(RecordChange),
    /// The server has granted the subscriptions to all services.
    Established,
    /// The session ended, for this reason; the connection has to be closed.
    Ended(String),
}

/// A subscription to the changes of the records of one name and type.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Subscription {
    name: Name,
    record_type: RecordType,
}

/// The kind of a request to the server.
enum RequestKind {
    Subscribe(Subscription),
    Keepalive,
}

/// A request in flight, for which a response is pending.
struct PendingRequest {
    sent_at_us: u64,
    kind: RequestKind,
}

/// State machine for consecutive push sessions, each on its own connection. The services, the keepalive interval and
/// the backoff are kept between sessions. All times are in microseconds.
pub struct PushSession {
    services: Vec<Name>,
    keepalive_interval_us: u64,
    is_open: bool,
    pending_requests: BTreeMap<u16, PendingRequest>,
    last_request_id: u16,
    /// Subscriptions that have not been requested yet.
    queued: Vec<Subscription>,
    /// All subscriptions, whether queued, requested, granted or refused.
    wanted: BTreeSet<Subscription>,
    granted: BTreeSet<Subscription>,
    is_established: bool,
    keepalive_at_us: u64,
    reconnect_at_us: u64,
    backoff_us: u64,
}

impl PushSession {
    /// Creates a closed session for these services; `keepalive` is the interval between keepalive requests.
    pub fn new(services: &[Name], keepalive: Duration) -> Self {
        PushSession {
            services: services.to_vec(),
            keepalive_interval_us: keepalive.as_micros() as u64,
            is_open: false,
            pending_requests: BTreeMap::new(),
            last_request_id: 0,
            queued: Vec::new(),
            wanted: BTreeSet::new(),
            granted: BTreeSet::new(),
            is_established: false,
            keepalive_at_us: 0,
            reconnect_at_us: 0,
            backoff_us: MIN_BACKOFF_US,
        }
    }

    /// Returns whether the server has granted the subscriptions to all services.
    pub fn is_established(&self) -> bool {
        self.is_established
    }

    /// Returns whether the session is established and the server has granted the subscription to all records of
    /// `name`, an instance or a host.
    pub fn covers(&self, name: &Name) -> bool {
        self.is_established && self.granted.contains(&all_records(name))
    }

    /// Returns the earliest time of the next connection.
    pub fn reconnect_at_us(&self) -> u64 {
        self.reconnect_at_us
    }

    /// Handles an established connection: subscribes to all services.
    pub fn handle_opened(&mut self, now_us: u64, events: &mut Vec<SessionEvent>) {
        self.is_open = true;
        self.keepalive_at_us = now_us + self.keepalive_interval_us;
        for service in self.services.clone() {
            self.enqueue(instances_of(&service));
        }
        self.send_queued(now_us, events);
    }

    /// Subscribes to a name's records of all types, if the session is open.
    pub fn subscribe(&mut self, now_us: u64, name: &Name, events: &mut Vec<SessionEvent>) {
        if self.is_open {
            self.enqueue(all_records(name));
            self.send_queued(now_us, events);
        }
    }

    /// Queues a subscription unless the session already has it.
    fn enqueue(&mut self, subscription: Subscription) {
        if self.wanted.insert(subscription.clone()) {
            self.queued.push(subscription);
        }
    }

    fn next_request_id(&mut self) -> u16 {
        loop {
            self.last_request_id = self.last_request_id.checked_add(1).unwrap_or(1);
            if !self.pending_requests.contains_key(&self.last_request_id) {
                return self.last_request_id;
            }
        }
    }

    /// Sends queued subscriptions, within [`MAX_OUTSTANDING_REQUESTS`].
    fn send_queued(&mut self, now_us: u64, events: &mut Vec<SessionEvent>) {
        while self.is_open && self.pending_requests.len() < MAX_OUTSTANDING_REQUESTS {
            let Some(subscription) = self.queued.pop() else {
                return;
            };
            let id = self.next_request_id();
            let message = encode_subscribe(id, &subscription.name, subscription.record_type);
            if let Some(message) = message {
                let request = PendingRequest {
                    sent_at_us: now_us,
                    kind: RequestKind::Subscribe(subscription),
                };
                self.pending_requests.insert(id, request);
                events.push(SessionEvent::Write(message));
            }
        }
    }

    /// Handles a message from the server.
    pub fn handle_message(&mut self, now_us: u64, bytes: &[u8], events: &mut Vec<SessionEvent>) {
        if !self.is_open {
            return;
        }
        match parse_dso_message(bytes) {
            None => self.end(now_us, "invalid message from the server", events),
            Some(DsoMessage::RetryDelay(delay_ms)) => {
                self.end(now_us, "the server sent a retry delay", events);
                self.reconnect_at_us = self
                    .reconnect_at_us
                    .max(now_us + u64::from(delay_ms) * 1_000)
                    .min(now_us + MAX_BACKOFF_US);
            }
            Some(DsoMessage::Push(changes)) => {
                events.extend(changes.into_iter().map(SessionEvent::Change));
            }
            Some(DsoMessage::Response {
                id,
                code,
                keepalive_ms,
            }) => match self.pending_requests.remove(&id) {
                // A response without a matching request is a fatal error (RFC 8490 section 5.4.1).
                None => self.end(now_us, "response to an unknown request", events),
                Some(request) => match request.kind {
                    RequestKind::Keepalive => self.shorten_keepalive(keepalive_ms),
                    RequestKind::Subscribe(subscription) => {
                        self.handle_subscribed(now_us, subscription, code, events);
                    }
                },
            },
            Some(DsoMessage::Other) => {}
        }
    }

    /// Adopts the keepalive interval of a response, if the interval is valid and shorter than the current one.
    fn shorten_keepalive(&mut self, interval_ms: Option<u32>) {
        let Some(interval_ms) = interval_ms else {
            return;
        };
        if interval_ms >= MIN_SERVER_KEEPALIVE_INTERVAL_MS {
            let interval_us = u64::from(interval_ms) * 1_000;
            self.keepalive_interval_us = self.keepalive_interval_us.min(interval_us);
        }
    }

    /// Handles the response to a subscription. A refused subscription to a service ends the session.
    fn handle_subscribed(
        &mut self,
        now_us: u64,
        subscription: Subscription,
        code: u8,
        events: &mut Vec<SessionEvent>,
    ) {
        if code == 0 {
            self.granted.insert(subscription);
            if !self.is_established && self.has_all_services() {
                self.is_established = true;
                self.backoff_us = MIN_BACKOFF_US;
                events.push(SessionEvent::Established);
            }
        } else if subscription.record_type == RecordType::Ptr {
            let reason = format!("subscription to a service refused, code {code}");
            self.end(now_us, &reason, events);
            return;
        }
        // The records of an instance or host whose subscription is refused are queried in the same way as without
        // push.
        self.send_queued(now_us, events);
    }

    fn has_all_services(&self) -> bool {
        self.services
            .iter()
            .all(|service| self.granted.contains(&instances_of(service)))
    }

    /// Returns when [`PushSession::handle_timer`] is due; `None` while the session is not open.
    pub fn next_wakeup_us(&self) -> Option<u64> {
        if !self.is_open {
            return None;
        }
        let timeouts = self
            .pending_requests
            .values()
            .map(|request| request.sent_at_us + RESPONSE_TIMEOUT_US);
        timeouts.chain([self.keepalive_at_us]).min()
    }

    /// Ends the session if the server has not responded in time; otherwise sends the keepalive when it is due.
    pub fn handle_timer(&mut self, now_us: u64, events: &mut Vec<SessionEvent>) {
        if !self.is_open {
            return;
        }
        let is_unresponsive = self
            .pending_requests
            .values()
            .any(|request| request.sent_at_us + RESPONSE_TIMEOUT_US <= now_us);
        if is_unresponsive {
            self.end(now_us, "no response from the server", events);
            return;
        }
        if self.keepalive_at_us <= now_us {
            self.keepalive_at_us = now_us + self.keepalive_interval_us;
            let id = self.next_request_id();
            let request = PendingRequest {
                sent_at_us: now_us,
                kind: RequestKind::Keepalive,
            };
            self.pending_requests.insert(id, request);
            let interval_ms = (self.keepalive_interval_us / 1_000) as u32;
            events.push(SessionEvent::Write(encode_keepalive(id, interval_ms)));
        }
    }

    /// Ends the session and drops its subscriptions. Reports `reason` if the session was open.
    pub fn end(&mut self, now_us: u64, reason: &str, events: &mut Vec<SessionEvent>) {
        let was_open = self.is_open;
        self.reset_with_backoff(now_us);
        if was_open {
            events.push(SessionEvent::Ended(reason.into()));
        }
    }

    /// Resets the session, which may never have been open, and starts the backoff.
    pub fn reset_with_backoff(&mut self, now_us: u64) {
        self.reconnect_at_us = now_us + self.backoff_us;
        self.backoff_us = (self.backoff_us * 2).min(MAX_BACKOFF_US);
        self.is_open = false;
        self.is_established = false;
        self.pending_requests.clear();
        self.queued.clear();
        self.wanted.clear();
        self.granted.clear();
    }
}

/// Returns the subscription to the PTR records of a service, which name its instances.
fn instances_of(service: &Name) -> Subscription {
    Subscription {
        name: service.clone(),
        record_type: RecordType::Ptr,
    }
}

/// Returns the subscription to all records of an instance or a host.
fn all_records(name: &Name) -> Subscription {
    Subscription {
        name: name.clone(),
        record_type: RecordType::Any,
    }
}

#[cfg(test)]
mod tests;
