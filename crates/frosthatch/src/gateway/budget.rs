//! How descriptors and memory are divided between clients and servers.

use crate::diameter;
use crate::operator_config::OperatorConfig;
use crate::platform_config::PlatformConfig;
use frosthatch_http1::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Descriptors for the listener, discovery, the counter and the runtime.
const RESERVED_SOCKETS: usize = 16;
/// What a client's connection may make the gateway hold at most: head and body of its request, both once more as they
/// are forwarded, and a response.
const MAX_CLIENT_BYTES: usize = 2 * (MAX_HEAD_BYTES + MAX_BODY_BYTES) + MAX_BODY_BYTES;

/// Connections and bytes that the parts may hold.
pub(super) struct ResourceBudget {
    /// Connections of clients over HTTP.
    pub(super) client_connections: usize,
    /// Connections to servers over HTTP.
    pub(super) server_connections: usize,
    /// Bytes of long requests, beside what clients' connections may hold.
    pub(super) long_request_bytes: usize,
}

impl ResourceBudget {
    pub(super) fn new(platform: &PlatformConfig, operator: &OperatorConfig) -> ResourceBudget {
        let memory_bytes = platform.memory_mb << 20;
        // Clients hold a third of the descriptors at most for requests, and each has one attempt in flight: the rest is
        // for connections that are kept open, and for clients that send no valid request.
        let server_connections = platform.sockets * 2 / 5;
        let client_memory_bytes = if operator.diameter.is_some() {
            memory_bytes / diameter::HTTP_DIVISOR
        } else {
            memory_bytes / 2
        };
        let other_sockets = other_sockets(platform, operator);
        let client_connections = platform
            .sockets
            .saturating_sub(server_connections + other_sockets)
            .min(client_memory_bytes / MAX_CLIENT_BYTES);
        ResourceBudget {
            client_connections,
            server_connections,
            long_request_bytes: memory_bytes / 4,
        }
    }
}

/// Descriptors for everything but clients and servers over HTTP.
fn other_sockets(platform: &PlatformConfig, operator: &OperatorConfig) -> usize {
    let dns_sd = operator.dns_sd.as_ref();
    let dns_sd_sockets = dns_sd.map_or(0, |config| config.max_sockets());
    let admin_sockets = platform
        .admin
        .map_or(0, |_| frosthatch_admin::MAX_CONNECTIONS + 1);
    let diameter = operator.diameter.as_ref();
    let diameter_sockets = diameter.map_or(0, |config| diameter::max_clients(config, platform) + 1);
    RESERVED_SOCKETS + dns_sd_sockets + admin_sockets + diameter_sockets
}
