//! Configuration of DNS-SD discovery, with values from the operator's file.

use super::wire::{parse_name, Name};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Maximum number of names under which the service is browsed. One reply holds about 2,500 instances, so a service
/// with more is browsed by several names, its subtypes.
pub const MAX_SERVICES: usize = 8;
/// Maximum number of resolvers, and of push servers.
pub const MAX_RESOLVERS: usize = 4;
/// Number of queries in flight at which no further detail query is sent; each query uses its own socket. The queries
/// of a round are sent regardless.
pub(super) const MAX_OUTSTANDING_QUERIES: usize = 16;
/// Maximum number of sockets for push: the session's, and the one that replaces it.
const PUSH_SOCKETS: usize = 2;

/// Settings of endpoint discovery with DNS-SD.
#[derive(Clone, Debug, PartialEq)]
pub struct DnsSdConfig {
    /// Names that the PTR queries ask for: the service itself or subtypes of it (RFC 6763 section 7.1).
    pub services: Vec<Name>,
    /// Service and domain of every instance, as `_service._proto.domain`.
    pub base: Name,
    /// Resolvers, in order of preference.
    pub resolvers: Vec<SocketAddr>,
    /// The minimum interval between rounds. The interval is the lowest TTL of the PTR records, limited to
    /// `min_poll_interval`..=`max_poll_interval`.
    pub min_poll_interval: Duration,
    /// The maximum interval between rounds.
    pub max_poll_interval: Duration,
    /// How long the reply to a query is awaited.
    pub query_timeout: Duration,
    /// Maximum rate of detail queries per second: queries for single record sets that are missing or out of date.
    pub queries_per_s: u32,
    /// How long instances have to stay missing before they are removed if the list is empty, another resolver took the
    /// lead, or a zone with an older serial was accepted. Also how long an empty first list has to persist before it
    /// is used.
    pub confirmation_time: Duration,
    /// Maximum share of the instances, from 0 to 1, that may be removed at once. If more are missing, their removal is
    /// held back for `mass_loss_hold`.
    pub max_loss_share: f64,
    /// How long a loss above `max_loss_share` is held back, a zone with an older serial is ignored, and an empty first
    /// list is ignored if endpoints were known before.
    pub mass_loss_hold: Duration,
    /// How long an instance drains after its PTR record is removed.
    pub drain_time: Duration,
    /// Whether replies without the AA bit, which come from a cache, may remove instances too.
    pub trusts_cached_answers: bool,
    /// Maximum number of instances.
    pub max_instances: u32,
    /// Settings of DNS Push Notifications; `None`: the service is only polled.
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
    /// Adds names under which the service is browsed.
    ///
    /// # Errors
    /// Returns a message if a name is invalid, is not a service, or belongs to another service or domain than the names
    /// before it.
    pub fn add_services(&mut self, names: &[&str]) -> Result<(), String> {
        for text in names {
            let name = parse_name(text)
                .map_err(|e| format!("{text:?} is not a valid domain name: {e}"))?;
            let base: Name = match name.split_once("._sub.") {
                Some((_, base)) => base.into(),
                None => name.clone(),
            };
            let has_protocol = base.contains("._tcp.") || base.contains("._udp.");
            if !base.starts_with('_') || !has_protocol {
                return Err(format!(
                    "{text:?} is not a service name followed by a domain (RFC 6763 section 4.1)"
                ));
            }
            if !self.base.is_empty() && self.base != base {
                return Err(format!(
                    "{text:?} belongs to another service or domain than {}",
                    self.base
                ));
            }
            self.base = base;
            self.services.push(name);
        }
        Ok(())
    }

    /// Returns the number of sockets, each with one file descriptor, that detail queries at their limit and push use
    /// at once. Queries of a round that is sent while detail queries are at their limit are not counted.
    pub fn max_sockets(&self) -> usize {
        MAX_OUTSTANDING_QUERIES + PUSH_SOCKETS
    }
}

/// Settings of DNS Push Notifications (RFC 8765), with which the server pushes changes as they happen.
#[derive(Clone, Debug, PartialEq)]
pub struct PushConfig {
    /// The push servers, used in turn.
    pub servers: Vec<SocketAddr>,
    /// The interval between rounds while push is established; the rounds check that the server pushes all changes.
    pub check_interval: Duration,
    /// The interval between keepalive requests.
    pub keepalive_interval: Duration,
    /// The PEM file of the root certificate, and the server's name in its certificate. `None`: plain TCP, allowed on
    /// loopback only.
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
