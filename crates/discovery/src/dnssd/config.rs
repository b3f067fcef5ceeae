//! Configuration of DNS-SD; the operator's file gives the values.

use super::wire::{parse_name, Name};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Limit on the names that the service is browsed by. One reply holds some 2,500 instances.
pub const MAX_SERVICES: usize = 8;
/// Limit on the number of resolvers, and of push servers.
pub const MAX_RESOLVERS: usize = 4;
/// Limit on the queries in flight; each has a socket of its own.
pub(super) const MAX_OUTSTANDING_QUERIES: usize = 16;
/// The push session's socket, and the one that replaces it.
const PUSH_SOCKETS: usize = 2;

/// How endpoints are found with DNS-SD.
#[derive(Clone, Debug, PartialEq)]
pub struct DnsSdConfig {
    /// Names of the PTR queries: the service itself or subtypes of it (RFC 6763 section 7.1).
    pub services: Vec<Name>,
    /// Service and domain that every instance is under.
    pub base: Name,
    /// Resolvers, in the order of preference.
    pub resolvers: Vec<SocketAddr>,
    /// The shortest interval between rounds; between the bounds, the TTL of the records decides.
    pub min_poll_interval: Duration,
    /// The longest interval between rounds.
    pub max_poll_interval: Duration,
    /// How long the reply to a query is awaited.
    pub query_timeout: Duration,
    /// Limit on the rate of queries for single records that the additional sections leave out, per second.
    pub queries_per_s: u32,
    /// How long an empty list, or a loss seen only after a change of the resolver, has to last before it is used.
    pub confirmation_time: Duration,
    /// The share of the instances, from 0 to 1, above which a simultaneous loss is held back.
    pub max_loss_share: f64,
    /// How long such a loss is held back.
    pub mass_loss_hold: Duration,
    /// How long an instance drains after its record is removed.
    pub drain_time: Duration,
    /// Whether replies without the AA bit, from a cache, may remove instances as well.
    pub trusts_cached_answers: bool,
    /// Limit on the number of instances.
    pub max_instances: u32,
    /// DNS Push Notifications; `None`: the service is only polled.
    pub push: Option<PushConfig>,
}

impl Default for DnsSdConfig {
    fn default() -> Self {
        DnsSdConfig {
            services: Vec::new(),
            base: "".into(),
            resolvers: Vec::new(),
            min_poll_interval: Duration::from_millis(100),
            max_poll_interval: Duration::from_millis(200),
            query_timeout: Duration::from_millis(150),
            queries_per_s: 200,
            confirmation_time: Duration::from_secs(1),
            max_loss_share: 0.5,
            mass_loss_hold: Duration::from_secs(10),
            drain_time: Duration::from_secs(10),
            trusts_cached_answers: false,
            max_instances: 10_000,
            push: None,
        }
    }
}

impl DnsSdConfig {
    /// Adds the names that the service is browsed by.
    ///
    /// # Errors
    /// A name is not valid, is not a service, or belongs to another service or domain than the ones before it.
    pub fn add_services(&mut self, names: &[&str]) -> Result<(), String> {
        for text in names {
            let name = parse_name(text).map_err(|e| format!("{text:?} is no domain name: {e}"))?;
            let base: Name = match name.split_once("._sub.") {
                Some((_, base)) => base.into(),
                None => name.clone(),
            };
            let has_protocol = base.contains("._tcp.") || base.contains("._udp.");
            if !base.starts_with('_') || !has_protocol {
                return Err(format!(
                    "{text:?} is no service and domain (RFC 6763 section 4.1)"
                ));
            }
            if !self.base.is_empty() && self.base != base {
                return Err(format!(
                    "{text:?} is of another service or domain than {}",
                    self.base
                ));
            }
            self.base = base;
            self.services.push(name);
        }
        Ok(())
    }

    /// The largest number of file descriptors in use at once.
    pub fn max_sockets(&self) -> usize {
        MAX_OUTSTANDING_QUERIES + PUSH_SOCKETS
    }
}

/// DNS Push Notifications (RFC 8765): changes are received as they happen.
#[derive(Clone, Debug, PartialEq)]
pub struct PushConfig {
    /// The push servers, used in turn.
    pub servers: Vec<SocketAddr>,
    /// The interval of rounds while push is established; they check that it brings all changes.
    pub check_interval: Duration,
    /// The interval of keepalive requests.
    pub keepalive_interval: Duration,
    /// The file of the root certificate, and the server's name. `None`: plain TCP, allowed on loopback only.
    pub tls: Option<(PathBuf, String)>,
}

impl Default for PushConfig {
    fn default() -> Self {
        PushConfig {
            servers: Vec::new(),
            check_interval: Duration::from_secs(2),
            keepalive_interval: Duration::from_secs(10),
            tls: None,
        }
    }
}
