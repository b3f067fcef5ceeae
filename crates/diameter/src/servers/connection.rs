//! Maintains the connection to a server, and reconnects whenever it ends.

use super::server::Server;
use super::{Servers, ServersConfig};
use crate::dictionary::result;
use crate::lcg;
use crate::link::{Event, Link, LinkEndReason, TLS_HANDSHAKE_TIMEOUT};
use crate::peer::{Peer, RemoteIdentity, Role};
use frosthatch_log::log_line;
use frosthatch_traffic_control::ServerId;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsConnector;

/// Initial delay of the exponential backoff between connection attempts (Tc in RFC 6733 section 2.1), and the interval at
/// which a draining server is checked.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay of the exponential backoff between connection attempts.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(30);

impl Servers {
    /// Maintains the connection to one server until the server is dropped.
    pub(super) async fn maintain_connection(
        self: Rc<Self>,
        id: ServerId,
        server: Weak<Server>,
        address: SocketAddr,
    ) {
        let mut backoff = MIN_RECONNECT_BACKOFF;
        let mut seed = self.config().seed;
        loop {
            seed = lcg::next(seed, u64::from(address.port()) | 1);
            let Some(server) = server.upgrade() else {
                return;
            };
            // No connection is opened to a draining server.
            while !server.is_ready.get() {
                sleep(MIN_RECONNECT_BACKOFF).await;
            }
            let config = self.config();
            let connect = frosthatch_sockets::connect(address);
            if let Ok(Ok(stream)) = timeout(config.connect_timeout, connect).await {
                let was_connected_before = server.was_connected.get();
                self.serve_connection(&id, &server, stream, &config, seed)
                    .await;
                if server.was_connected.get() && !was_connected_before {
                    backoff = MIN_RECONNECT_BACKOFF;
                }
            }
            drop(server);
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_RECONNECT_BACKOFF);
        }
    }

    /// Drives one connection to a server until it ends, then fails the server's pending requests.
    async fn serve_connection(
        &self,
        id: &ServerId,
        server: &Server,
        stream: TcpStream,
        config: &ServersConfig,
        seed: u64,
    ) {
        let peer = Peer::new(
            config.identity.clone(),
            Role::Server,
            config.watchdog_interval_us,
            server.was_connected.get(),
            seed,
        );
        let (link, queued_messages) = Link::new(peer, self.clock.clone(), self.budget.clone());
        *server.link.borrow_mut() = Some(link.clone());
        let on_event = |event| self.handle_event(id, server, event);
        let end_reason = if let Some((tls, server_name)) = config.tls.clone() {
            let handshake = TlsConnector::from(tls).connect(server_name, stream);
            match timeout(TLS_HANDSHAKE_TIMEOUT, handshake).await {
                Ok(Ok(stream)) => link.run(stream, queued_messages, on_event).await,
                Ok(Err(error)) => LinkEndReason::TlsFailed(error),
                Err(_) => LinkEndReason::TlsTimeout,
            }
        } else {
            link.run(stream, queued_messages, on_event).await
        };
        server.is_connection_usable.set(false);
        server.fail_pending();
        *server.link.borrow_mut() = None;
        if server.was_connection_usable.take() {
            log_line!("diameter: server {}: {end_reason}", id.0);
        }
    }

    /// Handles an event on the connection to a server.
    fn handle_event(&self, id: &ServerId, server: &Server, event: Event) {
        match event {
            Event::Up(remote) => self.handle_up(id, server, &remote),
            Event::Failover | Event::PeerClosing => {
                server.is_connection_usable.set(false);
                server.withdraw_queued();
            }
            Event::Failback => {
                server.is_connection_usable.set(true);
                server.was_connection_usable.set(true);
            }
            Event::Answer(answer) => {
                let pending = server
                    .pending
                    .borrow_mut()
                    .remove(&answer.header.hop_by_hop);
                // An answer that no request waits for is dropped.
                if let Some(request) = pending {
                    let _ = request.answer.send(Some(answer));
                }
            }
            // Only credit-control requests get here, and servers are not supposed to send them.
            Event::Request(request) => {
                if let Some(link) = &*server.link.borrow() {
                    let answer = link.gateway_answer(&request, result::UNABLE_TO_DELIVER);
                    let _ = link.send(&answer);
                }
            }
        }
    }

    /// Handles the completed capabilities exchange with a server.
    fn handle_up(&self, id: &ServerId, server: &Server, remote: &RemoteIdentity) {
        let previous_state_id = server.state_id.replace(remote.state_id);
        let was_connected_before = server.was_connected.replace(true);
        // A changed Origin-State-Id means that the server has restarted (RFC 6733 section 8.16).
        if was_connected_before && previous_state_id != remote.state_id {
            if let Some(restart_callback) = &*self.restart_callback.borrow() {
                restart_callback(id);
            }
        }
        // A server that has reconnected gets no requests until the watchdog reports a failback.
        server.is_connection_usable.set(!was_connected_before);
        server.was_connection_usable.set(!was_connected_before);
    }
}
