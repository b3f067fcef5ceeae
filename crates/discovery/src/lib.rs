//! Where the servers are. [`list`] follows the list agent, [`dnssd`] reads DNS-SD records; [`source`] runs whichever is
//! configured; both tell [`desk`], which through [`roster`] goes from one to the other without cutting anything short.
#![expect(
    clippy::items_after_statements,
    clippy::match_bool,
    clippy::missing_errors_doc,
    clippy::semicolon_if_nothing_returned,
    clippy::single_match_else,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    missing_docs
)]

mod desk;
pub mod dnssd;
pub mod list;
mod roster;
mod source;

pub use desk::Desk;
pub use roster::Mark;
pub use source::{run, Source};
