//! Runs the source that is configured, and carries what it tells to the engine.

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

#[derive(Clone, PartialEq)]
pub enum Source {
    /// The list agent at this address.
    List(SocketAddr),
    DnsSd(Arc<dnssd::DnsSdConfig>),
}

/// Follows the servers for good, wherever they are told. `known` are those from before the start; `seed` is the only
/// source of chance.
pub async fn run(
    mut sources: watch::Receiver<Source>,
    known: Vec<Endpoint>,
    seed: u64,
    desk: Rc<EndpointRegistry>,
) {
    desk.tell(ListKind::Persisted, known);
    tokio::task::spawn_local(let_go(desk.clone()));
    loop {
        let source = sources.borrow_and_update().clone();
        let follow = async {
            match &source {
                Source::List(address) => list::follow(*address, &desk).await,
                Source::DnsSd(plan) => dnssd::follow(plan.clone(), seed, &desk).await,
            }
        };
        let moved = tokio::select! {
            () = follow => return,
            // What the old source told means nothing at the new one: it begins with the whole list.
            moved = sources.wait_for(|now| *now != source) => moved.map(|now| now.clone()),
        };
        match (&source, moved) {
            (_, Err(_)) => return,
            // Another agent of the same list: its names are the same.
            (Source::List(_), Ok(Source::List(_))) => {}
            _ => desk.source_moved(),
        }
    }
}

async fn let_go(desk: Rc<EndpointRegistry>) {
    loop {
        sleep(Duration::from_millis(500)).await;
        desk.let_go();
    }
}
