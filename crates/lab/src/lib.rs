//! Complete installations on the loopback interface: the real gateway between test doubles, the scenarios that
//! load it, and the [`testbed`] that injects faults between real processes. All listeners use ephemeral ports, and
//! every process that is started ends with the program.
#![expect(
    clippy::default_trait_access,
    clippy::match_bool,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::semicolon_if_nothing_returned,
    clippy::single_match_else,
    clippy::too_many_lines,
    missing_docs
)]

pub mod choices;
pub mod choices_size;
pub mod counter_faults;
pub mod demo;
pub mod diameter;
pub mod dns_sd;
pub mod figures;
pub mod fleet_site;
pub mod load;
pub mod members;
pub mod members_size;
pub mod membership_size;
pub mod plugins;
pub mod policy;
pub mod policy_size;
pub mod quota_links;
pub mod servers;
pub mod site;
pub mod soak;
pub mod testbed;
pub mod upgrade;
