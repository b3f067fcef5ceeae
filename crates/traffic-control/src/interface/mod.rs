//! The public types of the crate: the settings that a gateway starts with, the events that it handles and the actions
//! that it returns.

mod actions;
mod events;
mod identifiers;
mod plans;
mod requests;
mod server_list;
mod settings;
mod time;

pub use actions::{Action, UnservedReason};
pub use events::{Event, HealthReports, Timer};
pub use identifiers::{CustomerId, CustomerNumber, RequestId, ServerId};
pub use plans::{Ceiling, Effect, LeaseState, Plan, PolicyTerms, RequestClass, RetryBudget, Scope};
pub use requests::{AttemptOutcome, CompletionStatus, LoadMetric, Request};
pub use server_list::{Health, ListKind, ServerEntry};
pub use settings::{Settings, SettingsError, SlowStart};
pub use time::{Micros, CLIENT_GONE_SLACK_US, MAX_GATEWAY_DELAY_US};
