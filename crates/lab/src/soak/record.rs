//! What clients and servers saw, for the oracle.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The classes of the soak, one of each effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// May run any number of times.
    Check,
    /// Repeats are dropped by its key, within a cell and a window.
    TopUp,
    /// Never more than once.
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

/// Over what a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    NewConnection,
    /// One that has served before: it may be closed unread.
    KeptConnection,
}

/// How one send of a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendEnd {
    Answered {
        status: u16,
        /// A 200 carries what a server made for this request.
        genuine: bool,
        at: Instant,
    },
    /// The connection ended, or broke, before any answer.
    Closed {
        at: Instant,
    },
    /// An answer began and did not come whole.
    Cut,
    /// The client waited until long after its time, and the connection stayed open.
    Nothing,
    ClientLeft {
        at: Instant,
    },
}

/// One send of a request, whole.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub over: Over,
    pub begun_at: Instant,
    /// When its last byte was handed to the system.
    pub whole_at: Instant,
    pub end: SendEnd,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub class: Class,
    pub gateway: usize,
    pub patience: Duration,
    /// Once, or again where a kept connection was closed unread.
    pub sends: Vec<Sent>,
}

/// An attempt that came to a server whole.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: u64,
    pub server: String,
    pub first_byte_at: Instant,
    pub whole_at: Instant,
    /// How long the gateway said that it waits.
    pub told: Duration,
    /// The server began it: it was not turned away as never run.
    pub ran: bool,
    /// It had an effect: it was no repeat that the server dropped.
    pub effect: bool,
}

/// Trouble with a process that no request explains.
#[derive(Clone, Debug)]
pub struct Incident {
    pub rule: &'static str,
    pub what: String,
}

/// Everything that was seen.
#[derive(Default)]
pub struct Seen {
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub incidents: Vec<Incident>,
    /// When each gateway was killed.
    pub kills: Vec<(usize, Instant)>,
    /// When a gateway counts as told that a server drains.
    pub told: HashMap<(usize, String), Instant>,
    /// When each server started, if it did so in sight.
    pub started: HashMap<String, Instant>,
}

#[derive(Default)]
pub struct History(Mutex<Seen>);

impl History {
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().expect("a history")
    }

    pub fn incident(&self, rule: &'static str, what: String) {
        self.seen().incidents.push(Incident { rule, what });
    }
}
