//! Intervals and bounds that several decisions share.

use crate::interface::Micros;

/// Control interval: tens of answers, short beside the time that faults last.
pub(super) const INTERVAL_US: Micros = 1_000_000;
/// The same in seconds.
pub(super) const INTERVAL_S: f64 = INTERVAL_US as f64 / 1e6;
/// An idle customer is forgotten after this: a store of seconds is full again by then.
pub(super) const CUSTOMER_IDLE_TIMEOUT_US: Micros = 30_000_000;
/// Customers that are tracked, about 10 MB; requests of others are rejected until some are forgotten.
pub(super) const MAX_CUSTOMERS: usize = 24_576;
/// A waiting request is answered so long before its client leaves.
pub(super) const REPLY_MARGIN_US: Micros = 20_000;
