//! Accepts connections, bounds their number, and ends each in good order.

use super::client::ClientConnection;
use super::http_server::HttpServer;
use super::poll_once::poll_once;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};
use tracing::debug;

/// A failed accept is retried after this.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// How often it is checked whether a connection may be accepted again, where none can be closed for it.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// One in so many of all connections may linger, beside those in use.
const LINGERING_FRACTION: usize = 16;

struct Accepted {
    result: io::Result<TcpStream>,
    /// No connection was there at once.
    has_waited: bool,
}

impl HttpServer {
    /// Accepts connections without end, each served by a task of its own.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        // Since when connections may have waited in the backlog, if they may.
        let mut unattended_since = None;
        for number in 0.. {
            while !self.is_accepting() {
                self.accepting_changed.notified().await;
            }
            self.wait_for_capacity(&mut unattended_since).await;
            let accepted = tokio::select! {
                accepted = accept_one(&listener) => accepted,
                () = self.accepting_changed.notified() => continue,
            };
            if accepted.has_waited {
                unattended_since = None;
            }
            if let Ok(stream) = accepted.result {
                let arrived_since = unattended_since.unwrap_or_else(Instant::now);
                self.spawn_connection(ClientConnection::new(stream, number, arrived_since));
            } else {
                // Out of descriptors, or the client has gone: the next one may succeed.
                unattended_since.get_or_insert_with(Instant::now);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Closes idle connections until another may be accepted. Guards against running out of descriptors.
    async fn wait_for_capacity(&self, unattended_since: &mut Option<Instant>) {
        while self.open_connections() - self.lingering_connections.get()
            >= self.max_connections.get() - self.max_connections.get() / LINGERING_FRACTION
        {
            unattended_since.get_or_insert_with(Instant::now);
            if self.evict_idle() {
                yield_now().await;
            } else {
                sleep(CAPACITY_POLL_INTERVAL).await;
            }
        }
    }

    fn spawn_connection(self: &Rc<Self>, client: ClientConnection) {
        let server = self.clone();
        let number = client.number;
        self.open_connections.set(self.open_connections() + 1);
        tokio::task::spawn_local(async move {
            server.serve(client).await;
            server.idle.borrow_mut().remove(&number);
            server.open_connections.set(server.open_connections() - 1);
        });
    }

    async fn serve(self: &Rc<Self>, mut client: ClientConnection) {
        let _ = client.stream.set_nodelay(true);
        let number = client.number;
        debug!(connection = number, "connection.accepted");
        let orderly = self.converse(&mut client).await;
        debug!(
            connection = number,
            orderly,
            reason = client.close_reason,
            "connection.closed"
        );
        if orderly {
            self.end_orderly(client).await;
        }
    }

    /// Lets the client read the last response. Where many connections end at once the last of them do not wait for that.
    async fn end_orderly(&self, client: ClientConnection) {
        let max_lingering = self.max_connections.get() / LINGERING_FRACTION;
        let lingering = &self.lingering_connections;
        if lingering.get() < max_lingering.max(1) {
            lingering.set(lingering.get() + 1);
            client.linger_and_close().await;
            lingering.set(lingering.get() - 1);
        } else {
            client.close_at_once();
        }
    }
}

async fn accept_one(listener: &TcpListener) -> Accepted {
    let mut accepting = pin!(listener.accept());
    let (result, has_waited) = match poll_once(accepting.as_mut()).await {
        Some(result) => (result, false),
        None => (accepting.await, true),
    };
    Accepted {
        result: result.map(|(stream, _)| stream),
        has_waited,
    }
}
