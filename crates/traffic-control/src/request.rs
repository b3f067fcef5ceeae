//! What is kept of one request while it is open: what it asks for, until when, and its attempts. A record only.

use crate::interface::{Micros, ServerId};

pub(crate) struct Attempt {
    pub server: ServerId,
    pub group: (String, u64),
    pub sent: Micros,
    pub may_have_run: Option<bool>, // none: still out
    pub not_sent: bool,             // it ended before anything of it was sent
    pub cost: f64,                  // of the budget of further attempts
}

#[derive(Default)]
pub(crate) struct Pending {
    pub class: usize,
    pub cell: usize,
    pub customer: u32,
    pub units: f64,
    pub draws: f64, // of the quota's store
    pub deadline: Micros,
    pub unsent_by: Micros, // with nothing sent it is answered by then
    pub pool: u8,
    pub pin: Option<(ServerId, bool)>, // it belongs there, and may leave
    pub lower: bool,                   // after others of its cell
    pub attempts: Vec<Attempt>,
    pub closed: bool,
    pub streaming: bool,
}

impl Pending {
    /// An attempt is out.
    pub fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.may_have_run.is_none())
    }
}
