//! The rig: real processes, and what goes wrong between them.
//!
//! Every process is told of the others by addresses of the rig's own, so each datagram passes through a [`Link`], one for each
//! direction between two processes. [`timeline`] says what goes wrong when, [`history`] keeps what each process did and was
//! told, [`stage`] starts processes, stops them and lets them go on.

pub mod agreed;
pub mod history;
pub mod link;
pub mod relay;
pub mod stage;
pub mod timeline;

pub use agreed::Agreed;
pub use history::History;
pub use link::{Faults, Link};
pub use relay::Relay;
pub use stage::{fleet_file, Process, Seen, Stage};
pub use timeline::{Act, Timeline};
