//! The connection to each server, opened again whenever it ends.

use super::server::Server;
use super::{Servers, ServersConfig};
use crate::dictionary::result;
use crate::lcg;
use crate::link::{Event, Link, LinkEnd, TLS_HANDSHAKE_TIMEOUT};
use crate::peer::{Peer, Remote, Role};
use frosthatch_log::log_line;
use frosthatch_traffic_control::ServerId;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsConnector;

/// Bounds of the exponential backoff between connection attempts (RFC 6733 section 2.1: Tc).
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
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
            // A draining server gets no new connection.
            while !server.is_ready.get() {
                sleep(MIN_RECONNECT_BACKOFF).await;
            }
            let config = self.config();
            let connect = frosthatch_sockets::connect(address);
            if let Ok(Ok(stream)) = timeout(config.connect_timeout, connect).await {
                let was_up_before = server.was_up.get();
                self.serve_connection(&id, &server, stream, &config, seed)
                    .await;
                if server.was_up.get() && !was_up_before {
                    backoff = MIN_RECONNECT_BACKOFF;
                }
            }
            drop(server);
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_RECONNECT_BACKOFF);
        }
    }

    /// Drives one connection until it ends.
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
            server.was_up.get(),
            seed,
        );
        let (link, to_write) = Link::new(peer, self.clock.clone(), self.budget.clone());
        *server.link.borrow_mut() = Some(link.clone());
        let on_event = |event| self.handle_event(id, server, event);
        let why = if let Some((tls, server_name)) = config.tls.clone() {
            let handshake = TlsConnector::from(tls).connect(server_name, stream);
            match timeout(TLS_HANDSHAKE_TIMEOUT, handshake).await {
                Ok(Ok(stream)) => link.run(stream, to_write, on_event).await,
                Ok(Err(error)) => LinkEnd::TlsFailed(error),
                Err(_) => LinkEnd::TlsTimeout,
            }
        } else {
            link.run(stream, to_write, on_event).await
        };
        server.is_okay.set(false);
        server.fail_pending();
        *server.link.borrow_mut() = None;
        if server.was_okay.take() {
            log_line!("diameter: server {}: {why}", id.0);
        }
    }

    fn handle_event(&self, id: &ServerId, server: &Server, event: Event) {
        match event {
            Event::Up(remote) => self.handle_up(id, server, &remote),
            Event::Failover => {
                server.is_okay.set(false);
                server.fail_pending();
            }
            Event::Failback => {
                server.is_okay.set(true);
                server.was_okay.set(true);
            }
            Event::PeerClosing => server.is_okay.set(false),
            // An answer that no request waits for is dropped.
            Event::Answer(answer) => {
                let pending = server
                    .pending
                    .borrow_mut()
                    .remove(&answer.header.hop_by_hop);
                if let Some(request) = pending {
                    let _ = request.answer.send(Some(answer));
                }
            }
            // Requests of servers to clients (RAR, ASR) are not supported.
            Event::Request(request) => {
                if let Some(link) = &*server.link.borrow() {
                    let answer = link.own_answer(&request, result::UNABLE_TO_DELIVER);
                    let _ = link.send(&answer);
                }
            }
        }
    }

    fn handle_up(&self, id: &ServerId, server: &Server, remote: &Remote) {
        let previous_state_id = server.state_id.replace(remote.state_id);
        let was_up_before = server.was_up.replace(true);
        // A changed Origin-State-Id: the server has restarted (RFC 6733 section 8.16).
        if was_up_before && previous_state_id != remote.state_id {
            if let Some(on_restart) = &*self.on_restart.borrow() {
                on_restart(id);
            }
        }
        // A reopened connection gets requests when the watchdog reports a failback.
        server.is_okay.set(!was_up_before);
        server.was_okay.set(!was_up_before);
    }
}
