//! Stand-ins for the platform, servers and clients of the review's cases. They use the standard library only.

pub mod agent;
pub mod counter;
pub mod diameter;
pub mod gateway;
pub mod http;
pub mod record;
