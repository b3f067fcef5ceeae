//! Where the servers are. [`list`] follows the list agent, [`dnssd`] reads DNS-SD records; [`source`] runs whichever is
//! configured; both tell [`desk`], which through [`roster`] goes from one to the other without cutting anything short.
#![expect(
    clippy::match_bool,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    missing_docs
)]

pub mod dnssd;
mod endpoint_table;
pub mod list;
mod registry;
mod source;

pub use endpoint_table::OperatorMark;
pub use registry::EndpointRegistry;
pub use source::{run, Source};
