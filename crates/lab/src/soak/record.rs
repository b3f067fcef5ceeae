//! Observations of clients and servers during a soak, which the oracle checks.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Request classes of the soak, one for each kind of effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Repeatable: may run any number of times.
    Check,
    /// Deduplicated by its key within a cell and a window.
    TopUp,
    /// Must run at most once.
    Transfer,
}

impl Class {
    pub const ALL: [Class; 3] = [Class::Check, Class::TopUp, Class::Transfer];

    pub fn name(self) -> &'static str {
        match self {
            Class::Check => "balance-check",
            Class::TopUp => "top-up",
            Class::Transfer => "transfer",
        }
    }

    pub fn named(name: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.name() == name)
    }
}

/// The kind of connection over which a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    NewConnection,
    /// A connection that has served an earlier request: the gateway may close it without reading the request.
    KeptConnection,
}

/// How one transmission of a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransmissionEnd {
    Answered {
        status: u16,
        /// False if a 200 carries a body that no server made for this request.
        genuine: bool,
        at: Instant,
    },
    /// The connection was closed or reset before any byte of an answer.
    Closed { at: Instant },
    /// The answer was truncated.
    Cut,
    /// No answer until 1 s after the client's deadline, on a connection that stayed open.
    NoAnswer,
    /// The client closed the connection before the answer.
    ClientLeft { at: Instant },
}

/// One complete transmission of a request.
#[derive(Clone, Copy, Debug)]
pub struct Transmission {
    pub connection_kind: ConnectionKind,
    pub started_at: Instant,
    /// When the last byte was written to the socket.
    pub completed_at: Instant,
    pub end: TransmissionEnd,
}

#[derive(Clone, Debug)]
/// A request and its transmissions.
pub struct Request {
    pub id: u64,
    pub class: Class,
    pub gateway: usize,
    /// Time after which the client leaves.
    pub client_timeout: Duration,
    /// One transmission, or two if the gateway closed a kept connection without an answer.
    pub transmissions: Vec<Transmission>,
}

/// An attempt that a server received completely.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: u64,
    pub server: String,
    pub first_byte_at: Instant,
    pub completed_at: Instant,
    /// Remaining time that the gateway announced in the attempt.
    pub remaining_time: Duration,
    /// Whether the server ran the attempt; false if it rejected it as never run.
    pub ran: bool,
    /// Whether the attempt had an effect; false if it did not run or was dropped as a duplicate.
    pub effect: bool,
}

/// A violation that belongs to a process and not to one request.
#[derive(Clone, Debug)]
pub struct Incident {
    pub rule: &'static str,
    pub what: String,
}

/// All observations of a soak.
#[derive(Default)]
pub struct Observations {
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub incidents: Vec<Incident>,
    /// Gateways that were killed, and when.
    pub kills: Vec<(usize, Instant)>,
    /// When a gateway is considered to know that a server drains, by gateway and server.
    pub drain_known_at: HashMap<(usize, String), Instant>,
    /// When each server that started during the soak did so.
    pub started: HashMap<String, Instant>,
}

#[derive(Default)]
/// Observations shared by all tasks of a soak.
pub struct History(Mutex<Observations>);

impl History {
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.0.lock().expect("lock is not poisoned")
    }

    /// Records a violation of `rule` that belongs to no request.
    pub fn incident(&self, rule: &'static str, what: String) {
        self.observations().incidents.push(Incident { rule, what });
    }
}
