//! The state of an open request: its class and units, its deadlines and its attempts.

use crate::interface::{Micros, ServerId};

/// Whether an attempt has ended and may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The attempt has not ended.
    InFlight,
    /// The attempt ended and may have run.
    MayHaveRun,
    /// The attempt ended and certainly never ran.
    NeverRan,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub server: ServerId,
    /// Zone and cell of the server.
    pub zone_and_cell: (String, u64),
    pub sent_at: Micros,
    pub state: AttemptState,
    /// Whether the attempt ended before any part of it was sent.
    pub is_unsent: bool,
    /// Whether the attempt outlasted its timeout. Its server then counts it as ended without an answer.
    pub is_overdue: bool,
    /// Retries that the attempt took from the retry budget.
    pub retry_cost: f64,
}

/// What the client of an open request does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ClientState {
    /// The client waits for the answer.
    #[default]
    Waiting,
    /// The client has gone, and may come back for the answer: the request is suspended.
    Away,
    /// The client receives a streamed answer.
    Receiving,
}

/// An open request.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// Index of the request's class.
    pub class: usize,
    /// Index of the request's admission cell, which is its pair of class and plan.
    pub cell: usize,
    /// Tag of the request's customer.
    pub customer: u32,
    pub units: f64,
    /// What the request takes from the quota: its units, or one concurrency permit.
    pub quota_units: f64,
    /// Time at which the client gives up or an answer loses all value.
    pub deadline: Micros,
    /// Time by which the request is answered if no attempt was sent.
    pub send_deadline: Micros,
    /// The pool of servers that the request may go to.
    pub pool: u8,
    /// The server that the request is sticky to, and whether it may go to another one once that server is lost.
    pub sticky_server: Option<(ServerId, bool)>,
    /// Whether the request is shed before others of its cell.
    pub low_priority: bool,
    pub attempts: Vec<Attempt>,
    /// Whether the client has its final answer.
    pub is_closed: bool,
    /// What the client does at present.
    pub client: ClientState,
}

impl PendingRequest {
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|a| a.state == AttemptState::InFlight)
    }

    /// Returns whether an attempt has outlasted its timeout and has not ended.
    pub fn has_overdue_attempt(&self) -> bool {
        self.attempts
            .iter()
            .any(|a| a.is_overdue && a.state == AttemptState::InFlight)
    }

    /// Returns whether an earlier attempt went to `server`.
    pub fn has_tried(&self, server: &ServerId) -> bool {
        self.attempts.iter().any(|a| a.server == *server)
    }
}
