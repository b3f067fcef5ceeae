//! Connects the [`Membership`] state machine to a UDP socket, a periodic tick and the engine. The driver itself makes
//! no decisions.

use crate::membership::{Membership, Output};
use crate::record::LifecyclePhase;
use crate::seal::{Keys, MAX_DATAGRAM_BYTES};
use frosthatch_engine::{Engine, UsageReporter};
use frosthatch_log::log_line;
use frosthatch_sockets::uninterrupted;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::yield_now;
use tokio::time::{interval, MissedTickBehavior};

/// Upper bound of the datagrams read in one turn of the task.
const MAX_DATAGRAMS_PER_READ: usize = 64;

/// Receives the messages that other members sent for another subsystem.
pub trait MessageHandler {
    /// Handles a message from the member named `from`.
    fn handle_message(&self, from: &str, bytes: &[u8]);
}

/// This process as a member of the cluster: the state machine with its socket, engine and message handler.
pub struct MembershipHandle {
    membership: RefCell<Membership>,
    message_handler: RefCell<Option<Rc<dyn MessageHandler>>>,
    socket: UdpSocket,
    engine: RefCell<Option<Rc<Engine>>>,
}

impl MembershipHandle {
    /// Creates a member that is idle until [`MembershipHandle::run`] is polled.
    pub fn new(membership: Membership, socket: UdpSocket) -> Rc<MembershipHandle> {
        Rc::new(MembershipHandle {
            membership: RefCell::new(membership),
            message_handler: RefCell::default(),
            socket,
            engine: RefCell::default(),
        })
    }

    /// Calls `read` with the state machine and returns its result.
    pub fn read<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&self.membership.borrow())
    }

    /// Sets the handler of messages from other members.
    pub fn set_message_handler(&self, message_handler: Rc<dyn MessageHandler>) {
        self.message_handler.replace(Some(message_handler));
    }

    /// Sends a message once to the member named `to`, as a datagram that may be lost.
    pub fn send_message(&self, to: &str, bytes: Vec<u8>) {
        let mut outputs = Vec::new();
        self.membership
            .borrow_mut()
            .send_message(self.now_us(), to, bytes, &mut outputs);
        self.execute_outputs(&mut outputs);
    }

    /// Sets one of this member's gauges to a value measured now.
    pub fn set_gauge(&self, name: &str, value: f64) {
        self.set_gauge_measured_at(self.now_us(), name, value);
    }

    /// Sets one of this member's gauges to a value measured at `measured_at_us`, in microseconds of the engine's clock.
    pub fn set_gauge_measured_at(&self, measured_at_us: u64, name: &str, value: f64) {
        self.membership
            .borrow_mut()
            .set_gauge(measured_at_us, name, value);
    }

    /// Stops publishing one of this member's gauges.
    pub fn clear_gauge(&self, name: &str) {
        self.membership.borrow_mut().clear_gauge(name);
    }

    /// Publishes this member's lifecycle phase.
    pub fn set_phase(&self, phase: LifecyclePhase) {
        self.membership.borrow_mut().set_phase(self.now_us(), phase);
    }

    /// Replaces the keys that seal and open datagrams.
    pub fn set_keys(&self, keys: Keys) {
        self.membership.borrow_mut().set_keys(keys);
    }

    /// Notifies the other members that this one leaves. Each tick repeats the notice until the future of
    /// [`MembershipHandle::run`] is dropped.
    pub fn leave(&self) {
        let mut outputs = Vec::new();
        self.membership
            .borrow_mut()
            .leave(self.now_us(), &mut outputs);
        self.execute_outputs(&mut outputs);
    }

    /// Receives datagrams and ticks the state machine once per `tick` interval, until the future is dropped.
    pub async fn run(self: Rc<Self>, tick: Duration, engine: Rc<Engine>) {
        self.engine.replace(Some(engine.clone()));
        let mut ticks = interval(tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut outputs = Vec::new();
        loop {
            tokio::select! {
                ready = self.socket.readable() => {
                    self.receive(&engine, ready.is_ok(), &mut buffer, &mut outputs);
                    // More datagrams may have arrived already: the other tasks have their turn first.
                    yield_now().await;
                }
                _ = ticks.tick() => self.membership.borrow_mut().tick(engine.now_us(), &mut outputs),
            }
            self.execute_outputs(&mut outputs);
        }
    }

    /// Reads the datagrams queued at the socket and handles them, or discards them if waiting for the socket failed
    /// (`is_ready` is false).
    fn receive(
        &self,
        engine: &Engine,
        is_ready: bool,
        buffer: &mut [u8],
        outputs: &mut Vec<Output>,
    ) {
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            // Any error is ignored, since an earlier send to a closed port is also reported as an error here.
            let received: std::io::Result<(usize, SocketAddr)> =
                uninterrupted(|| self.socket.try_recv_from(buffer));
            let Ok((length, from)) = received else {
                return;
            };
            if is_ready {
                self.membership.borrow_mut().handle_datagram(
                    engine.now_us(),
                    from,
                    &buffer[..length],
                    outputs,
                );
            }
        }
    }

    fn execute_outputs(&self, outputs: &mut Vec<Output>) {
        for output in outputs.drain(..) {
            match output {
                Output::Send { to, bytes } => {
                    // A datagram that cannot be sent now is dropped: the next one to the same receiver repeats the
                    // gossip, and messages may be lost.
                    drop(uninterrupted(|| self.socket.try_send_to(&bytes, to)));
                }
                Output::UsageReported {
                    complete_gateways,
                    uses,
                    earlier_uses,
                } => {
                    let engine = self.engine.borrow().clone();
                    engine.inspect(|e| e.record_peer_usage(complete_gateways, uses, earlier_uses));
                }
                Output::GatewaysAbsent(gateways) => {
                    let engine = self.engine.borrow().clone();
                    engine.inspect(|e| e.set_absent_gateways(gateways));
                }
                Output::MessageReceived { from, bytes } => {
                    let message_handler = self.message_handler.borrow().clone();
                    message_handler.inspect(|handler| handler.handle_message(&from, &bytes));
                }
                Output::Log(line) => log_line!("{line}"),
            }
        }
    }

    fn now_us(&self) -> u64 {
        self.engine
            .borrow()
            .as_ref()
            .map_or(0, |engine| engine.now_us())
    }
}

impl UsageReporter for MembershipHandle {
    fn record_usage(&self, tag: u32, units: f64) {
        self.membership.borrow_mut().record_usage(tag, units);
    }
}
