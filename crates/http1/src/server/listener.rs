//! Accepts connections, holds no more of them than there is room for, and ends each in good order.

use super::client::Client;
use super::HttpServer;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};
use tracing::debug;

/// After an accept that failed the next one is tried after this.
const ACCEPT_RETRY_AFTER: Duration = Duration::from_millis(5);
/// One in so many of the connections that are held at most may linger like that, beside those that are in use.
const LINGERING: usize = 16;

impl HttpServer {
    /// Accepts connections for good.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        // Since when connections may have waited to be accepted, if they may.
        let mut unattended_since = None;
        for number in 0.. {
            while !self.accepting() {
                self.turned.notified().await;
            }
            // Guards against running out of descriptors: those that are idle make room.
            while self.open() - self.lingering.get()
                >= self.most.get() - self.most.get() / LINGERING
            {
                unattended_since.get_or_insert_with(Instant::now);
                match self.evict_idle() {
                    true => yield_now().await,
                    false => sleep(Duration::from_millis(2)).await,
                }
            }
            let (accepted, waited) = tokio::select! {
                accepted = accept_one(&listener) => accepted,
                () = self.turned.notified() => continue,
            };
            if waited {
                unattended_since = None;
            }
            match accepted {
                Ok((stream, _)) => {
                    let looked_at = unattended_since.unwrap_or_else(Instant::now);
                    let server = self.clone();
                    self.open.set(self.open.get() + 1);
                    tokio::task::spawn_local(async move {
                        server
                            .serve(Client {
                                stream,
                                number,
                                buffer: Vec::new(),
                                kept: false,
                                flooded: false,
                                looked_at,
                                arrived_at: looked_at,
                                close_reason: "idle",
                            })
                            .await;
                        server.idle.borrow_mut().remove(&number);
                        server.open.set(server.open.get() - 1);
                    });
                }
                // Out of descriptors, or the client has left again: the next may do better.
                Err(_) => {
                    unattended_since.get_or_insert_with(Instant::now);
                    sleep(ACCEPT_RETRY_AFTER).await;
                }
            }
        }
    }

    async fn serve(self: &Rc<Self>, mut client: Client) {
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
            let most = self.most.get() / LINGERING;
            // Where many end at once, or to make room, the last of them do without.
            if self.lingering.get() < most.max(1) {
                self.lingering.set(self.lingering.get() + 1);
                client.end().await;
                self.lingering.set(self.lingering.get() - 1);
            } else {
                client.end_at_once();
            }
        }
    }
}

/// Accepts one connection; whether it had to be waited for.
async fn accept_one(listener: &TcpListener) -> (io::Result<(TcpStream, SocketAddr)>, bool) {
    let mut accepting = pin!(listener.accept());
    match poll_once(accepting.as_mut()).await {
        Some(accepted) => (accepted, false),
        None => (accepting.await, true),
    }
}

/// What a future has at once, if anything.
pub(super) async fn poll_once<F: Future + Unpin>(mut future: F) -> Option<F::Output> {
    poll_fn(|cx| match Pin::new(&mut future).poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}
