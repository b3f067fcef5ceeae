//! Testbed of real processes with simulated network faults between them.
//!
//! Each process is configured with the [`Relay`]'s addresses for the other processes instead of the addresses on
//! which they listen, so each datagram passes through a [`Link`], one for each direction between two processes.
//! [`timeline`] schedules the faults, [`history`] records what each process logs and the actions applied to it,
//! [`processes`] starts, suspends, resumes and kills processes.

pub mod history;
pub mod link;
pub mod policy_fixture;
pub mod processes;
pub mod relay;
pub mod timeline;

pub use history::History;
pub use link::{Faults, Link};
pub use policy_fixture::PolicyFixture;
pub use processes::{fleet_file, FleetView, Process, Testbed};
pub use relay::Relay;
pub use timeline::{Timeline, TimelineAction};
