//! Intervals and limits that several decisions share.

use crate::interface::Micros;

/// Control interval: long enough for tens of answers, and short beside the time that faults last.
pub(super) const INTERVAL_US: Micros = 1_000_000;
/// Control interval in seconds.
pub(super) const INTERVAL_S: f64 = INTERVAL_US as f64 / 1e6;
/// Time without a request after which a customer is forgotten: a store that fills within seconds is full again by
/// then.
pub(super) const CUSTOMER_IDLE_TIMEOUT_US: Micros = 30_000_000;
/// Maximum number of tracked customers, about 10 MB; requests of others are rejected until some are forgotten.
pub(super) const MAX_CUSTOMERS: usize = 24_576;
/// Minimum time before its client's deadline at which a waiting request is answered.
pub(super) const REPLY_MARGIN_US: Micros = 20_000;
