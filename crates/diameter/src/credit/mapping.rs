//! Configuration of credit control.

use frosthatch_traffic_control::CustomerNumber;
use std::collections::BTreeMap;

/// Maps credit-control requests to the gateway's classes and plans, and limits stored sessions, requests and answers.
#[derive(Clone, Debug, PartialEq)]
pub struct CreditControlConfig {
    /// Class of `CHECK_BALANCE` and `PRICE_ENQUIRY` events, which are idempotent.
    pub check_class: String,
    /// Class of `DIRECT_DEBITING` and `REFUND_ACCOUNT` events and of all session requests. Repeating such a request is safe
    /// only if the [`RequestKey`](super::RequestKey) identifies it as a duplicate.
    pub charge_class: String,
    /// Plans of customers.
    pub plans: BTreeMap<CustomerNumber, String>,
    /// Plan of customers that are not in `plans`; `None` rejects them as unknown.
    pub default_plan: Option<String>,
    /// Maximum number of units of one request.
    pub max_units: f64,
    /// Time after which a session without successful requests expires, in microseconds.
    pub session_timeout_us: u64,
    /// Time for which an answer is cached for duplicates of its request, in microseconds.
    pub duplicate_window_us: u64,
    /// Maximum number of sessions.
    pub max_sessions: usize,
    /// Maximum number of requests that are in flight or have a cached answer.
    pub max_tracked_requests: usize,
    /// Maximum memory use of cached answers in bytes.
    pub max_cached_answer_bytes: usize,
}
