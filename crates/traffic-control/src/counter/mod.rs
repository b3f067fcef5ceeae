//! The shared counter as one gateway sees it: the calls in flight, the rate of calls that it can take, the time
//! windows of its counts, and the plausibility of its totals. No I/O and no decisions on requests.

mod calls;
mod meter_history;
mod monitor;
mod permit_digits;
mod rate_limit;
mod usage_ledger;
mod window;

pub(crate) use calls::{CallsInFlight, CounterCall, CounterReply};
pub(crate) use monitor::CounterMonitor;
pub(crate) use permit_digits::PermitDigits;
pub(crate) use rate_limit::{CounterRateLimiter, MAX_SMALL_FLEET_GATEWAYS};
pub(crate) use usage_ledger::{CounterEvidence, ReportedTotal, UsageLedger};
pub(crate) use window::{CounterClock, CounterWindow, COUNTER_WINDOW_US};
