//! What the operator configures of credit control.

use std::collections::BTreeMap;

/// Maps the terms of credit control to classes and plans of the gateway, and bounds what is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Mapping {
    /// Class of `CHECK_BALANCE` and `PRICE_ENQUIRY` events, which are idempotent.
    pub check_class: String,
    /// Class of `DIRECT_DEBITING` and `REFUND_ACCOUNT` events, and of sessions: idempotent by their key only.
    pub charge_class: String,
    /// Plans of customers, by their number.
    pub plans: BTreeMap<u64, String>,
    /// Plan of all other customers; `None`: they are unknown.
    pub default_plan: Option<String>,
    /// Most units of one request.
    pub max_units: f64,
    /// Microseconds after which a session without successful requests expires.
    pub session_timeout_us: u64,
    /// Microseconds for which an answer is cached for duplicates of its request.
    pub duplicate_window_us: u64,
    /// Most sessions.
    pub max_sessions: usize,
    /// Most requests that are in flight or whose answers are cached.
    pub max_tracked_requests: usize,
    /// Most bytes of cached answers.
    pub max_cached_answer_bytes: usize,
}
