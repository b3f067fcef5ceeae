//! Where the servers are. [`list`] follows the list agent, [`dnssd`] reads DNS-SD records; [`source`] runs whichever is
//! configured; both tell [`desk`], which through [`roster`] goes from one to the other without cutting anything short.
#![forbid(unsafe_code)]

mod desk;
pub mod dnssd;
pub mod list;
mod roster;
mod source;

pub use desk::Desk;
pub use roster::Mark;
pub use source::{run, Source};
