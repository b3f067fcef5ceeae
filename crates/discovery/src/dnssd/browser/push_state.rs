//! State of the push connection, and of the check that push brings all changes.

use crate::dnssd::config::DnsSdConfig;
use crate::dnssd::push::PushSession;
use crate::dnssd::wire::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A session that has not pushed a change this long after a round found it is ended.
pub(super) const MISSED_PUSH_TIMEOUT_US: u64 = 1_000_000;

pub(super) struct PushState {
    /// `None`: push is not configured.
    pub(super) session: Option<PushSession>,
    pub(super) servers: Vec<SocketAddr>,
    /// Counts the connections that failed or ended; selects the next server.
    pub(super) server_index: usize,
    /// Whether a connection is being made or is up.
    pub(super) is_connecting: bool,
    pub(super) established_at_us: u64,
    /// Changes that rounds found and push has not brought, with the time they were found.
    pub(super) unpushed_changes: BTreeMap<Name, u64>,
}

impl PushState {
    pub(super) fn new(config: &DnsSdConfig) -> Self {
        let push = config.push.as_ref();
        PushState {
            session: push.map(|push| PushSession::new(&config.services, push.keepalive_interval)),
            servers: push.map_or_else(Vec::new, |push| push.servers.clone()),
            server_index: 0,
            is_connecting: false,
            established_at_us: 0,
            unpushed_changes: BTreeMap::new(),
        }
    }

    /// Whether every service is subscribed to.
    pub(super) fn is_established(&self) -> bool {
        self.session
            .as_ref()
            .is_some_and(PushSession::is_established)
    }

    /// Whether changes of this name's records are pushed.
    pub(super) fn covers(&self, name: &Name) -> bool {
        self.session
            .as_ref()
            .is_some_and(|session| session.covers(name))
    }

    /// When the next step is due.
    pub(super) fn next_wakeup_us(&self) -> Option<u64> {
        let oldest_unpushed = self.unpushed_changes.values().min();
        let missed_push = oldest_unpushed.map(|at_us| at_us + MISSED_PUSH_TIMEOUT_US);
        let session = self.session.as_ref().and_then(|session| {
            if self.is_connecting {
                session.next_wakeup_us()
            } else {
                Some(session.reconnect_at_us())
            }
        });
        missed_push.into_iter().chain(session).min()
    }

    pub(super) fn has_missed_push(&self, now_us: u64) -> bool {
        self.unpushed_changes
            .values()
            .any(|&at_us| at_us + MISSED_PUSH_TIMEOUT_US <= now_us)
    }
}
