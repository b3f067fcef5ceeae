//! Runs the source of endpoints that is configured, and switches between sources.

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

/// How often drained endpoints of a previous source are removed.
const REMOVE_DRAINED_INTERVAL: Duration = Duration::from_millis(500);

/// Where endpoint lists come from.
#[derive(Clone, PartialEq)]
pub enum Source {
    /// The list agent at this address.
    List(SocketAddr),
    /// DNS-SD records.
    DnsSd(Arc<dnssd::DnsSdConfig>),
}

/// Follows whichever source is configured; returns once `sources` is closed. `known` are the endpoints from before the
/// start; `seed` is the only source of randomness.
pub async fn run(
    mut sources: watch::Receiver<Source>,
    known: Vec<Endpoint>,
    seed: u64,
    registry: Rc<EndpointRegistry>,
) {
    registry.update_endpoints(ListKind::Persisted, known);
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
            // A position in the old source's list means nothing in the new one, which begins with a complete list.
            changed = sources.wait_for(|current| *current != source) => {
                changed.map(|current| current.clone())
            }
        };
        let Ok(new_source) = changed else {
            return;
        };
        // Another agent of the same list uses the same uids.
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
