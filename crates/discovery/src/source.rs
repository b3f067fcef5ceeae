//! Runs the configured endpoint source, and switches between sources.

use crate::dnssd;
use crate::list;
use crate::registry::EndpointRegistry;
use frosthatch_engine::Endpoint;
use frosthatch_traffic_control::ListKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Interval at which drained endpoints of a previous source are removed.
const REMOVE_DRAINED_INTERVAL: Duration = Duration::from_millis(500);

/// A source of endpoint lists.
#[derive(Clone, PartialEq)]
pub enum Source {
    /// A list agent, by its address.
    List(SocketAddr),
    /// DNS-SD records, found with this configuration.
    DnsSd(Arc<dnssd::DnsSdConfig>),
}

/// Runs the source that `sources` holds, and switches when it changes; returns once `sources` is closed.
/// `persisted_endpoints` are the endpoints known before the start; `seed` is the only source of randomness.
pub async fn run(
    mut sources: watch::Receiver<Source>,
    persisted_endpoints: Vec<Endpoint>,
    seed: u64,
    registry: Rc<EndpointRegistry>,
) {
    registry.update_endpoints(ListKind::Persisted, persisted_endpoints);
    tokio::task::spawn_local(remove_drained_periodically(registry.clone()));
    loop {
        let source = sources.borrow_and_update().clone();
        let follow = async {
            match &source {
                Source::List(address) => list::follow(*address, &registry).await,
                Source::DnsSd(config) => dnssd::follow(config.clone(), seed, &registry).await,
            }
        };
        let changed = tokio::select! {
            () = follow => return,
            // The old source's list version has no meaning for the new source, which begins with a complete list.
            changed = sources.wait_for(|current| *current != source) => {
                changed.map(|current| current.clone())
            }
        };
        let Ok(new_source) = changed else {
            return;
        };
        // List agents serve the same list with the same uids, so a change of the agent is not a takeover.
        let is_same_list =
            matches!(source, Source::List(_)) && matches!(new_source, Source::List(_));
        if !is_same_list {
            registry.begin_takeover();
        }
    }
}

async fn remove_drained_periodically(registry: Rc<EndpointRegistry>) {
    loop {
        sleep(REMOVE_DRAINED_INTERVAL).await;
        registry.remove_drained();
    }
}
