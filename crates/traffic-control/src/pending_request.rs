//! What is kept of one request while it is open: what it asks for, until when, and its attempts. A record only.

use crate::interface::{Micros, ServerId};

pub(crate) struct Attempt {
    pub server: ServerId,
    pub group: (String, u64),
    pub sent_at: Micros,
    pub may_have_run: Option<bool>, // none: still out
    pub not_sent: bool,             // it ended before anything of it was sent
    pub retry_cost: f64,            // of the budget of further attempts
}

#[derive(Default)]
pub(crate) struct PendingRequest {
    pub class: usize,
    pub cell: usize,
    pub customer: u32,
    pub units: f64,
    pub quota_units: f64, // of the quota's store
    pub deadline: Micros,
    pub send_deadline: Micros, // with nothing sent it is answered by then
    pub pool: u8,
    pub sticky_server: Option<(ServerId, bool)>, // it belongs there, and may leave
    pub low_priority: bool,                      // after others of its cell
    pub attempts: Vec<Attempt>,
    pub closed: bool,
    pub streaming: bool,
}

impl PendingRequest {
    /// An attempt is out.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.may_have_run.is_none())
    }
}
