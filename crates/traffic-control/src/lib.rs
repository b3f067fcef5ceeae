//! Traffic control for a gateway in front of a service that many customers share: admission, quotas, load balancing and
//! retries.
//!
//! A [`Gateway`] handles [`Event`]s, each with the current time, and returns [`Action`]s, such as sending a request to
//! a server, rejecting a request or setting a timer. It does no I/O, reads no clock and shares no state, so the same
//! events always yield the same actions.
//!
//! Admission follows Lin, Ghosh and Das, "Wireless Networks Revenue Optimization through Overload Control with Priority
//! Services": the admission fraction of each class and plan steps down while latency exceeds its bound and otherwise
//! moves halfway to targets that maximise value. Quotas are token buckets, one for each customer.
//!
//! ```
//! use frosthatch_traffic_control::{Action, Event, Gateway, ListKind, AttemptOutcome, Request, ServerEntry, Settings, CompletionStatus};
//!
//! let settings = Settings::example();
//! let mut gateway = Gateway::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let entry = ServerEntry::ready("10.0.0.1:80", "a");
//! gateway.handle(1_000, Event::Servers { kind: ListKind::Complete, entries: vec![entry] }, &mut actions);
//!
//! let request = Request::new(1, "customer-1", "basic", "read", 1_000_000);
//! actions.clear();
//! gateway.handle(2_000, Event::Request(request), &mut actions);
//! let Some(Action::Send { request, server, .. }) = actions.iter().find(|a| matches!(a, Action::Send { .. })) else {
//!     panic!("a request within its quota is sent to an idle server");
//! };
//!
//! let outcome = AttemptOutcome::new(*request, 0, server.clone(), CompletionStatus::Served, 20_000).closing();
//! gateway.handle(22_000, Event::Outcome(outcome), &mut actions);
//! assert_eq!(gateway.open_requests(), 0);
//! # Ok::<(), frosthatch_traffic_control::SettingsError>(())
//! ```
mod boot;
mod class_latency;
mod concurrency_permits;
mod counter;
mod customer;
mod decaying_sum;
mod fleet;
mod gateway;
mod gossip;
mod interface;
mod peer_reports;
mod pending_request;
mod policy;
mod quota;
mod random;
mod server;
mod server_latency;
mod shares;
mod status;
mod subset;
mod zones;

pub use boot::BootInfo;

pub use gateway::Gateway;
pub use interface::{
    Action, AttemptOutcome, Ceiling, CompletionStatus, CustomerId, CustomerNumber, Effect, Event,
    Health, HealthReports, LeaseState, ListKind, LoadMetric, Micros, Plan, PolicyTerms, Request,
    RequestClass, RequestId, RetryBudget, Scope, ServerEntry, ServerId, Settings, SettingsError,
    SlowStart, Timer, UnservedReason, CLIENT_GONE_SLACK_US, MAX_GATEWAY_DELAY_US,
};
