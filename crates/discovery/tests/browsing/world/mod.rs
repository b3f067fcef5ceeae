//! Simulation of a browser with resolvers and a push server, in virtual time. The seed is the only source of
//! randomness.

mod exchange;
mod fixtures;
mod push_server;
mod resolver;
mod simulation;

pub use exchange::ResolverBehavior;
pub use fixtures::{
    config, config_with_push, instance_address, ptr_record, resolver_address, zone, MILLISECOND_US,
    PROPAGATION_US, SECOND_US, SERVICE,
};
pub use push_server::push_message;
pub use simulation::Simulation;
