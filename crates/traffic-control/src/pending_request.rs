//! The state of one request while it is open: its demands, its deadlines and its attempts.

use crate::interface::{Micros, ServerId};

/// Whether an attempt may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It has not ended.
    InFlight,
    /// It ended, and may have run.
    MayHaveRun,
    /// It ended, and surely never ran.
    NeverRan,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub server: ServerId,
    /// Zone and cell of the server.
    pub group: (String, u64),
    pub sent_at: Micros,
    pub state: AttemptState,
    /// Whether it ended before anything of it was sent.
    pub not_sent: bool,
    /// What it cost of the retry budget.
    pub retry_cost: f64,
}

/// An open request.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// Index of its class.
    pub class: usize,
    /// Index of its admission cell: its class and plan.
    pub cell: usize,
    /// Tag of its customer.
    pub customer: u32,
    pub units: f64,
    /// What it takes of the quota's store: its units, or one permit.
    pub quota_units: f64,
    /// When its client gives up, or its answer loses all value.
    pub deadline: Micros,
    /// With nothing sent it is answered by then.
    pub send_deadline: Micros,
    /// The servers that it may go to.
    pub pool: u8,
    /// The server where it belongs, and whether it may go elsewhere once that one is lost.
    pub sticky_server: Option<(ServerId, bool)>,
    /// Whether it comes after others of its cell.
    pub low_priority: bool,
    pub attempts: Vec<Attempt>,
    /// Whether the client has its final answer.
    pub is_closed: bool,
    /// Whether a streamed answer has begun.
    pub is_streaming: bool,
}

impl PendingRequest {
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|a| a.state == AttemptState::InFlight)
    }

    /// Whether an earlier attempt went to this server.
    pub fn has_tried(&self, server: &ServerId) -> bool {
        self.attempts.iter().any(|a| a.server == *server)
    }
}
