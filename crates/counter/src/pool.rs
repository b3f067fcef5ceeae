//! The pool of connections to the shared counter, which chooses a connection for each call.

use crate::connection::Connection;
use crate::response_time::ResponseTime;
use frosthatch_engine::{CounterCall, Engine};
use frosthatch_sockets::connect;
use frosthatch_traffic_control::CompletionStatus;
use std::future::{pending, poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout, Instant};

/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay after the first failure to connect; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the delay after a failure to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Upper bound of the connections. The counter accepts 32 connections from a gateway, some of which may still be
/// closing.
const MAX_CONNECTIONS: usize = 8;

/// Sends the received calls to the counter at its current address. Returns when the sender of `calls` or of
/// `addresses` is dropped.
///
/// `call_timeout`: how long a call waits for its reply.
pub async fn run(
    mut addresses: watch::Receiver<Option<SocketAddr>>,
    call_timeout: Duration,
    mut calls: mpsc::Receiver<CounterCall>,
    engine: Rc<Engine>,
) {
    let mut pool = ConnectionPool {
        engine,
        call_timeout,
        response_time: Rc::new(ResponseTime::new(call_timeout)),
        connections: Vec::new(),
        connecting: None,
        backoff: MIN_BACKOFF,
        backoff_until: Instant::now(),
    };
    loop {
        let address = *addresses.borrow_and_update();
        tokio::select! {
            () = pool.serve(address, &mut calls) => return,
            changed = addresses.wait_for(|now| *now != address) => if changed.is_err() {
                return;
            },
        }
        pool.change_address();
    }
}

/// A connection that is being established. Its future returns `None` if that fails.
struct Connecting {
    started_at: Instant,
    stream: Pin<Box<dyn Future<Output = Option<TcpStream>>>>,
}

/// The pool of connections to the counter.
///
/// A call goes to the connection with the fewest pending calls, usually none, so that few calls are lost if a
/// connection becomes silent or breaks. A slow counter needs more connections, up to `MAX_CONNECTIONS`.
struct ConnectionPool {
    engine: Rc<Engine>,
    call_timeout: Duration,
    response_time: Rc<ResponseTime>,
    connections: Vec<Connection>,
    connecting: Option<Connecting>,
    /// Delay after the next failure to connect.
    backoff: Duration,
    /// When the next connection may be started.
    backoff_until: Instant,
}

impl ConnectionPool {
    /// Sends calls to the counter at `address` until the sender of `calls` is dropped.
    async fn serve(
        &mut self,
        address: Option<SocketAddr>,
        calls: &mut mpsc::Receiver<CounterCall>,
    ) {
        loop {
            if let Some(address) = address {
                self.connect_if_needed(address);
            }
            let now = Instant::now();
            let calls_held_until = self.calls_held_until(now);
            let wake_at = calls_held_until.unwrap_or(self.backoff_until);
            tokio::select! {
                call = calls.recv(), if calls_held_until.is_none() => match call {
                    Some(call) => self.dispatch(call),
                    None => return,
                },
                () = sleep_until(wake_at), if wake_at > now => {}
                stream = wait_for_connecting(&mut self.connecting) => self.finish_connecting(stream),
                (index, result) = step_any(&mut self.connections, &self.engine) => if result.is_err() {
                    self.close(index);
                },
            }
        }
    }

    /// Returns until when calls wait for the first connection, which is usually established quickly: at most half the
    /// call timeout from its start. `None` if calls need not wait.
    fn calls_held_until(&self, now: Instant) -> Option<Instant> {
        let connecting = self.connecting.as_ref()?;
        let until = connecting.started_at + self.call_timeout / 2;
        (self.connections.is_empty() && until > now).then_some(until)
    }

    /// Starts another connection if all existing ones have pending calls and have received data. Without the latter
    /// condition, connections would multiply while the counter itself is silent.
    fn connect_if_needed(&mut self, address: SocketAddr) {
        let is_needed = self
            .connections
            .iter()
            .all(|connection| connection.has_received_data() && connection.pending_calls() > 0);
        let is_allowed = self.connections.len() < MAX_CONNECTIONS
            && self.connecting.is_none()
            && self.backoff_until <= Instant::now();
        if is_needed && is_allowed {
            let stream = async move { timeout(CONNECT_TIMEOUT, connect(address)).await.ok()?.ok() };
            self.connecting = Some(Connecting {
                started_at: Instant::now(),
                stream: Box::pin(stream),
            });
        }
    }

    /// Adds the established connection to the pool, or backs off if it failed.
    fn finish_connecting(&mut self, stream: Option<TcpStream>) {
        self.connecting = None;
        let Some(stream) = stream else {
            self.back_off();
            return;
        };
        let response_time = self.response_time.clone();
        self.connections
            .push(Connection::new(stream, self.call_timeout, response_time));
    }

    /// Sends a call on one of the connections, or reports that there is none.
    fn dispatch(&mut self, call: CounterCall) {
        let Some(index) = self.connection_for(&call.name) else {
            self.engine
                .counter_replied(call.name, CompletionStatus::NoConnection, 0.0);
            return;
        };
        let connection = &mut self.connections[index];
        connection.enqueue(call, &self.engine);
        if connection.write().is_err() {
            self.close(index);
        }
    }

    /// Returns the index of the connection for a call: one with a pending call for the same name, since replies keep
    /// their order only within a connection; otherwise the one with the fewest pending calls.
    fn connection_for(&self, name: &str) -> Option<usize> {
        let has_pending_call_for_name =
            |connection: &Connection| connection.has_pending_call_for(name);
        let with_fewest_pending = || {
            (0..self.connections.len()).min_by_key(|&index| self.connections[index].pending_calls())
        };
        self.connections
            .iter()
            .position(has_pending_call_for_name)
            .or_else(with_fewest_pending)
    }

    /// Closes a connection that broke or became silent.
    fn close(&mut self, index: usize) {
        let mut connection = self.connections.swap_remove(index);
        if connection.has_received_data() {
            self.backoff = MIN_BACKOFF;
        } else {
            self.back_off();
        }
        connection.abandon(&self.engine);
    }

    /// Delays the next connection and doubles the delay for the next failure.
    fn back_off(&mut self) {
        self.backoff_until = Instant::now() + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Drains the connections to the counter's previous address in the background, so that new calls go to the new
    /// address.
    fn change_address(&mut self) {
        for connection in self.connections.drain(..) {
            tokio::task::spawn_local(connection.drain(self.engine.clone()));
        }
        self.connecting = None;
        self.backoff = MIN_BACKOFF;
        self.backoff_until = Instant::now();
    }
}

/// Waits for the connection that is being established and returns its stream, or `None` if it failed; waits forever
/// if there is no such connection.
async fn wait_for_connecting(connecting: &mut Option<Connecting>) -> Option<TcpStream> {
    match connecting {
        Some(connecting) => connecting.stream.as_mut().await,
        None => pending().await,
    }
}

/// Waits for the next step of any connection and returns the index of the connection and the result of the step.
async fn step_any(connections: &mut [Connection], engine: &Rc<Engine>) -> (usize, io::Result<()>) {
    let mut steps: Vec<_> = connections
        .iter_mut()
        .map(|connection| Box::pin(connection.step(engine)))
        .collect();
    poll_fn(|context| {
        for (index, step) in steps.iter_mut().enumerate() {
            if let Poll::Ready(result) = step.as_mut().poll(context) {
                return Poll::Ready((index, result));
            }
        }
        Poll::Pending
    })
    .await
}
