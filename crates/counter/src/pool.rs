//! The connections to the counter, and the choice among them for each call.

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

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// The counter accepts 32 connections of a gateway, and some of those may still be closing.
const MAX_CONNECTIONS: usize = 8;

/// Makes the calls that are received, at whatever address the counter has. Returns when nobody makes calls any more or the
/// address can no longer change.
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

/// A connection that is being established; its future yields `None` if that fails.
struct Connecting {
    started_at: Instant,
    stream: Pin<Box<dyn Future<Output = Option<TcpStream>>>>,
}

/// The connections to the counter.
///
/// A call goes to the connection with the fewest pending calls, as a rule none, so that a connection that falls silent or
/// breaks loses few calls. A slow counter needs more connections, up to `MAX_CONNECTIONS`.
struct ConnectionPool {
    engine: Rc<Engine>,
    call_timeout: Duration,
    response_time: Rc<ResponseTime>,
    connections: Vec<Connection>,
    connecting: Option<Connecting>,
    /// The delay after the next failure to connect.
    backoff: Duration,
    /// No connection is started before this.
    backoff_until: Instant,
}

impl ConnectionPool {
    /// Serves calls until nobody makes any more.
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
                stream = connected(&mut self.connecting) => self.finish_connecting(stream),
                (index, result) = step_any(&mut self.connections, &self.engine) => if result.is_err() {
                    self.close(index);
                },
            }
        }
    }

    /// Until when calls wait for the first connection, which as a rule is established in no time.
    fn calls_held_until(&self, now: Instant) -> Option<Instant> {
        let connecting = self.connecting.as_ref()?;
        let until = connecting.started_at + self.call_timeout / 2;
        (self.connections.is_empty() && until > now).then_some(until)
    }

    /// Starts another connection where all have calls pending, unless one of them has received no data yet: connections must
    /// not multiply where the counter itself is silent.
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

    /// The connection with a call for the same name pending, as only one connection keeps the order of replies; else that
    /// with the fewest pending calls.
    fn connection_for(&self, name: &str) -> Option<usize> {
        let has_same_name = |connection: &Connection| connection.has_pending_call_for(name);
        let least_pending = || {
            (0..self.connections.len()).min_by_key(|&index| self.connections[index].pending_calls())
        };
        self.connections
            .iter()
            .position(has_same_name)
            .or_else(least_pending)
    }

    /// Closes a connection that broke or fell silent.
    fn close(&mut self, index: usize) {
        let mut connection = self.connections.swap_remove(index);
        if connection.has_received_data() {
            self.backoff = MIN_BACKOFF;
        } else {
            self.back_off();
        }
        connection.abandon(&self.engine);
    }

    fn back_off(&mut self) {
        self.backoff_until = Instant::now() + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Leaves the counter's former address: calls pending there may still end, new ones go to the new address.
    fn change_address(&mut self) {
        for connection in self.connections.drain(..) {
            tokio::task::spawn_local(connection.drain(self.engine.clone()));
        }
        self.connecting = None;
        self.backoff = MIN_BACKOFF;
        self.backoff_until = Instant::now();
    }
}

/// The stream of the connection that is being established, or `None` if that fails; waits forever if there is none.
async fn connected(connecting: &mut Option<Connecting>) -> Option<TcpStream> {
    match connecting {
        Some(connecting) => connecting.stream.as_mut().await,
        None => pending().await,
    }
}

/// Waits for the next step of any connection; returns its index and the result.
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
