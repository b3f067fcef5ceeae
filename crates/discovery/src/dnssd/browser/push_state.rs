//! State of the push connection, and of the check that the push server reports every change.

use crate::dnssd::config::DnsSdConfig;
use crate::dnssd::push::PushSession;
use crate::dnssd::wire::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A session ends if it has not pushed a change this many microseconds after a round found the change.
pub(super) const MISSED_PUSH_TIMEOUT_US: u64 = 1_000_000;

/// The push session with its servers, and the changes that it has not pushed yet.
pub(super) struct PushState {
    /// The push session; `None`: push is not configured.
    pub(super) session: Option<PushSession>,
    pub(super) servers: Vec<SocketAddr>,
    /// Number of push connections that failed or ended; selects the server of the next connection.
    pub(super) ended_connections: usize,
    /// Whether the push connection is being established or is open.
    pub(super) has_connection: bool,
    pub(super) established_at_us: u64,
    /// Instances that a round added or removed and the session has not pushed, with the time at which the round found
    /// each change.
    pub(super) unpushed_changes: BTreeMap<Name, u64>,
}

impl PushState {
    pub(super) fn new(config: &DnsSdConfig) -> Self {
        let push = config.push.as_ref();
        PushState {
            session: push.map(|push| PushSession::new(&config.services, push.keepalive_interval)),
            servers: push.map_or_else(Vec::new, |push| push.servers.clone()),
            ended_connections: 0,
            has_connection: false,
            established_at_us: 0,
            unpushed_changes: BTreeMap::new(),
        }
    }

    /// Returns whether the server has granted the subscriptions to all services.
    pub(super) fn is_established(&self) -> bool {
        self.session
            .as_ref()
            .is_some_and(PushSession::is_established)
    }

    /// Returns whether the session is established and the server has granted the subscription to all records of
    /// `name`, an instance or a host.
    pub(super) fn covers(&self, name: &Name) -> bool {
        self.session
            .as_ref()
            .is_some_and(|session| session.covers(name))
    }

    /// Returns the earliest of the missed-push deadline, the session's next timer and the next connection attempt;
    /// `None` if none of them is set.
    pub(super) fn next_wakeup_us(&self) -> Option<u64> {
        let oldest_unpushed = self.unpushed_changes.values().min();
        let missed_push = oldest_unpushed.map(|at_us| at_us + MISSED_PUSH_TIMEOUT_US);
        let session = self.session.as_ref().and_then(|session| {
            if self.has_connection {
                session.next_wakeup_us()
            } else {
                Some(session.reconnect_at_us())
            }
        });
        missed_push.into_iter().chain(session).min()
    }

    /// Returns whether a change that a round found has not been pushed within [`MISSED_PUSH_TIMEOUT_US`].
    pub(super) fn has_missed_push(&self, now_us: u64) -> bool {
        self.unpushed_changes
            .values()
            .any(|&at_us| at_us + MISSED_PUSH_TIMEOUT_US <= now_us)
    }
}
