//! Tests of one gateway through its public interface: admission, counter calls, invalid input, permits, quotas and servers.

mod admission;
#[path = "../common/mod.rs"]
mod common;
mod counter_calls;
mod inputs;
mod permits;
mod quotas;
mod servers;
mod support;
