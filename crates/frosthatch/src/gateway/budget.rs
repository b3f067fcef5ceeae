//! Divides the process's descriptors and memory between clients and servers.

use crate::diameter;
use crate::operator_config::OperatorConfig;
use crate::platform_config::PlatformConfig;
use frosthatch_http1::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Descriptors reserved for the listener, discovery, the counter and the runtime.
const RESERVED_DESCRIPTORS: usize = 16;
/// Maximum bytes that the gateway holds for one client connection: head and body of its request, a second copy of
/// both for forwarding, and a response.
const MAX_CLIENT_BYTES: usize = 2 * (MAX_HEAD_BYTES + MAX_BODY_BYTES) + MAX_BODY_BYTES;

/// Maximum numbers of connections and bytes for the parts of the gateway.
pub(super) struct ResourceBudget {
    /// Maximum number of HTTP connections from clients.
    pub(super) client_connections: usize,
    /// Maximum number of HTTP connections to servers.
    pub(super) server_connections: usize,
    /// Maximum bytes of long requests, in addition to what client connections hold.
    pub(super) long_request_bytes: usize,
}

impl ResourceBudget {
    pub(super) fn new(platform: &PlatformConfig, operator: &OperatorConfig) -> ResourceBudget {
        let memory_bytes = platform.memory_mb << 20;
        // Server connections get 2/5 of the descriptors. Client connections with a request take at most a third,
        // and each needs one server connection for its attempt in flight; the other descriptors are for connections
        // that are kept open and for clients that send no valid request.
        let server_connections = platform.max_descriptors * 2 / 5;
        let client_memory_bytes = if operator.diameter.is_some() {
            memory_bytes / diameter::HTTP_CLIENTS_DIVISOR
        } else {
            memory_bytes / 2
        };
        let other_descriptors = other_descriptors(platform, operator);
        let client_connections = platform
            .max_descriptors
            .saturating_sub(server_connections + other_descriptors)
            .min(client_memory_bytes / MAX_CLIENT_BYTES);
        ResourceBudget {
            client_connections,
            server_connections,
            long_request_bytes: memory_bytes / 4,
        }
    }
}

/// Returns the number of descriptors for everything other than HTTP connections.
fn other_descriptors(platform: &PlatformConfig, operator: &OperatorConfig) -> usize {
    let dns_sd = operator.dns_sd.as_ref();
    let dns_sd_descriptors = dns_sd.map_or(0, |config| config.max_sockets());
    let admin_descriptors = platform
        .admin
        .map_or(0, |_| frosthatch_admin::MAX_CONNECTIONS + 1);
    let diameter = operator.diameter.as_ref();
    let diameter_descriptors =
        diameter.map_or(0, |config| diameter::max_clients(config, platform) + 1);
    RESERVED_DESCRIPTORS + dns_sd_descriptors + admin_descriptors + diameter_descriptors
}
