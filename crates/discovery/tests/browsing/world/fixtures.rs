//! Configurations, zones and records for the tests.

use frosthatch_discovery::dnssd::{DnsSdConfig, PushConfig};
use frosthatch_test_doubles::{Rr, Zone};
use std::net::SocketAddr;
use std::time::Duration;

pub const SERVICE: &str = "_topup._tcp.example.org";
pub const MILLISECOND_US: u64 = 1_000;
pub const SECOND_US: u64 = 1_000_000;
/// Delay of a message between the browser and a server, in one direction.
pub const ONE_WAY_DELAY_US: u64 = MILLISECOND_US;
/// Maximum time until a change is reported: a round's interval, the delay in both directions, and one lost query.
pub const PROPAGATION_US: u64 = 400 * MILLISECOND_US;

pub fn resolver_address(index: usize) -> SocketAddr {
    ([127, 0, 0, 53], 5300 + index as u16).into()
}

/// Returns the default configuration with this number of resolvers.
pub fn config(resolver_count: usize) -> DnsSdConfig {
    let mut config = DnsSdConfig {
        resolvers: (0..resolver_count).map(resolver_address).collect(),
        ..DnsSdConfig::default()
    };
    config
        .add_services(&[SERVICE])
        .expect("the name is a valid service");
    config
}

pub fn config_with_push(resolver_count: usize) -> DnsSdConfig {
    let push = PushConfig {
        servers: vec![resolver_address(9)],
        keepalive_interval: Duration::from_secs(10),
        ..PushConfig::default()
    };
    DnsSdConfig {
        push: Some(push),
        ..config(resolver_count)
    }
}

/// Returns a zone with this number of instances, named `n0`, `n1` and so on.
pub fn zone(instance_count: usize) -> Zone {
    let mut zone = Zone::new("example.org");
    for n in 0..instance_count {
        let attributes = ["zone=hall-a", "cell=1"];
        zone.add_instance(SERVICE, &format!("n{n}"), instance_address(n), &attributes);
    }
    zone.take_changes();
    zone
}

pub fn instance_address(n: usize) -> SocketAddr {
    ([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 8080).into()
}

/// Returns the PTR record of an instance.
pub fn ptr_record(instance: &str) -> Rr {
    Rr::Ptr(format!("{instance}.{SERVICE}"))
}
