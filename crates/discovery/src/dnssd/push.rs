//! One session of DNS Push Notifications (RFC 8765) over DNS Stateful Operations (RFC 8490): its subscriptions, which of
//! them are granted, and whether the server still responds. It does no I/O.
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

/// A request without a response for this long ends the session.
const RESPONSE_TIMEOUT_US: u64 = 2_000_000;
/// Backoff between sessions; doubled each time a session ends before it is established.
const MIN_BACKOFF_US: u64 = 500_000;
const MAX_BACKOFF_US: u64 = 60_000_000;
/// Requests without a response at once.
const MAX_OUTSTANDING_REQUESTS: usize = 64;
/// The shortest keepalive interval that a server may set (RFC 8490 section 6.5.2).
const MIN_SERVER_KEEPALIVE_INTERVAL_MS: u32 = 10_000;

/// What the session wants done, or has received.
#[derive(Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// Write this message.
    Write(Vec<u8>),
    /// A record has changed.
    Change(RecordChange),
    /// Every service is subscribed to.
    Established,
    /// The session is over, for this reason; the connection has to be closed.
    Ended(String),
}

/// A name and the type of its records whose changes are wanted.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Subscription {
    name: Name,
    record_type: RecordType,
}

enum RequestKind {
    Subscribe(Subscription),
    Keepalive,
}

/// A request without a response.
struct PendingRequest {
    sent_at_us: u64,
    kind: RequestKind,
}

/// The session's state, which outlives its connections. All times are in microseconds.
pub struct PushSession {
    services: Vec<Name>,
    keepalive_interval_us: u64,
    is_open: bool,
    pending_requests: BTreeMap<u16, PendingRequest>,
    last_request_id: u16,
    /// Subscriptions that were not requested yet.
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
    /// A closed session for these services; `keepalive` is the interval of keepalive requests.
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

    /// Whether every service is subscribed to.
    pub fn is_established(&self) -> bool {
        self.is_established
    }

    /// Whether changes of this name's records are pushed.
    pub fn covers(&self, name: &Name) -> bool {
        self.is_established && self.granted.contains(&all_records(name))
    }

    /// No new connection is made before this time.
    pub fn reconnect_at_us(&self) -> u64 {
        self.reconnect_at_us
    }

    /// The connection is established.
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
            None => self.end(now_us, "a message that makes no sense", events),
            Some(DsoMessage::RetryDelay(delay_ms)) => {
                self.end(now_us, "the server wants it to end", events);
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
                // RFC 8490 section 5.4.1: a response without a request is fatal.
                None => self.end(now_us, "a response to nothing", events),
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

    fn shorten_keepalive(&mut self, interval_ms: Option<u32>) {
        let Some(interval_ms) = interval_ms else {
            return;
        };
        if interval_ms >= MIN_SERVER_KEEPALIVE_INTERVAL_MS {
            let interval_us = u64::from(interval_ms) * 1_000;
            self.keepalive_interval_us = self.keepalive_interval_us.min(interval_us);
        }
    }

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
            let reason = format!("a subscription was refused, code {code}");
            self.end(now_us, &reason, events);
            return;
        }
        // The records of a refused name are queried, as without push.
        self.send_queued(now_us, events);
    }

    fn has_all_services(&self) -> bool {
        self.services
            .iter()
            .all(|service| self.granted.contains(&instances_of(service)))
    }

    /// When [`PushSession::handle_timer`] is due; `None` while the session is not open.
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

    /// Ends a session whose server does not respond, and sends the keepalive when it is due.
    pub fn handle_timer(&mut self, now_us: u64, events: &mut Vec<SessionEvent>) {
        if !self.is_open {
            return;
        }
        let is_unresponsive = self
            .pending_requests
            .values()
            .any(|request| request.sent_at_us + RESPONSE_TIMEOUT_US <= now_us);
        if is_unresponsive {
            self.end(now_us, "it has fallen silent", events);
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

    /// Ends the session; none of its subscriptions holds any more.
    pub fn end(&mut self, now_us: u64, reason: &str, events: &mut Vec<SessionEvent>) {
        let was_open = self.is_open;
        self.reset_with_backoff(now_us);
        if was_open {
            events.push(SessionEvent::Ended(reason.into()));
        }
    }

    /// Closes the session, also where the connection was never established, and starts the backoff.
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

/// The subscription to the instances of a service.
fn instances_of(service: &Name) -> Subscription {
    Subscription {
        name: service.clone(),
        record_type: RecordType::Ptr,
    }
}

/// The subscription to all records of an instance or a host.
fn all_records(name: &Name) -> Subscription {
    Subscription {
        name: name.clone(),
        record_type: RecordType::Any,
    }
}

#[cfg(test)]
mod tests;
