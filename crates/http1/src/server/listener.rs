//! Accepts clients' connections, limits their number, and closes them.

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

/// Delay before a failed accept is retried.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Interval at which the number of open connections is checked while it is at the limit and none may be closed.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Divisor of the maximum number of connections: the quotient is the number of connections that may linger, and is not
/// available for connections in use.
const LINGERING_DIVISOR: usize = 16;

/// Result of an accept.
struct AcceptResult {
    result: io::Result<TcpStream>,
    /// Whether the accept had to wait, as no connection was in the backlog.
    has_waited: bool,
}

impl HttpServer {
    /// Accepts connections and serves each in its own task. Never returns.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        // Time since when connections may have been waiting in the backlog; `None` if the backlog is known to be empty.
        let mut backlog_since = None;
        for number in 0.. {
            while !self.is_accepting() {
                self.accepting_changed.notified().await;
            }
            self.wait_for_capacity(&mut backlog_since).await;
            let accepted = tokio::select! {
                accepted = accept_connection(&listener) => accepted,
                () = self.accepting_changed.notified() => continue,
            };
            if accepted.has_waited {
                backlog_since = None;
            }
            if let Ok(stream) = accepted.result {
                let earliest_arrival = backlog_since.unwrap_or_else(Instant::now);
                self.spawn_connection(ClientConnection::new(stream, number, earliest_arrival));
            } else {
                // This machine is out of descriptors, or the client has disconnected: the next accept may succeed.
                backlog_since.get_or_insert_with(Instant::now);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Closes idle connections until another connection may be accepted, so that the process does not run out of
    /// descriptors.
    async fn wait_for_capacity(&self, backlog_since: &mut Option<Instant>) {
        while self.open_connections() - self.lingering_connections.get()
            >= self.max_connections.get() - self.max_connections.get() / LINGERING_DIVISOR
        {
            backlog_since.get_or_insert_with(Instant::now);
            if self.evict_waiting() {
                yield_now().await;
            } else {
                sleep(CAPACITY_POLL_INTERVAL).await;
            }
        }
    }

    /// Serves a connection in a new task.
    fn spawn_connection(self: &Rc<Self>, client: ClientConnection) {
        let server = self.clone();
        let number = client.number;
        self.open_connections.set(self.open_connections() + 1);
        tokio::task::spawn_local(async move {
            server.serve(client).await;
            server.waiting_connections.borrow_mut().remove(&number);
            server.open_connections.set(server.open_connections() - 1);
        });
    }

    /// Serves a connection until it is closed.
    async fn serve(self: &Rc<Self>, mut client: ClientConnection) {
        let _ = client.stream.set_nodelay(true);
        let number = client.number;
        debug!(connection = number, "connection.accepted");
        let orderly = self.serve_requests(&mut client).await;
        debug!(
            connection = number,
            orderly,
            reason = client.close_reason,
            "connection.closed"
        );
        if orderly {
            self.close_gracefully(client).await;
        }
    }

    /// Closes a connection so that the client can read the last response. Does not wait for the client if the maximum
    /// number of connections is lingering already.
    async fn close_gracefully(&self, client: ClientConnection) {
        let max_lingering = self.max_connections.get() / LINGERING_DIVISOR;
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

/// Accepts one connection.
async fn accept_connection(listener: &TcpListener) -> AcceptResult {
    let mut accepting = pin!(listener.accept());
    let (result, has_waited) = match poll_once(accepting.as_mut()).await {
        Some(result) => (result, false),
        None => (accepting.await, true),
    };
    AcceptResult {
        result: result.map(|(stream, _)| stream),
        has_waited,
    }
}
