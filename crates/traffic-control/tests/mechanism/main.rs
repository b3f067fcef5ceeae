//! Admission fractions, quotas and bad input, at the interface.

mod admission;
#[path = "../common/mod.rs"]
mod common;
mod counter_calls;
mod inputs;
mod permits;
mod quotas;
mod servers;
mod support;
