//! The driver: one UDP socket, and a tick. No rules here.

use crate::fleet::{Membership, Output};
use crate::record::LifecyclePhase;
use crate::seal::{Keys, MOST_BYTES};
use frosthatch_engine::{Engine, UsageReporter};
use frosthatch_log::log_line;
use frosthatch_sockets::uninterrupted;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{interval, MissedTickBehavior};

/// Datagrams that are read at once at most: others have their turn in between.
const AT_ONCE: usize = 64;

/// Takes letters from other members.
pub trait MessageHandler {
    fn letter(&self, from: &str, bytes: &[u8]);
}

/// This process as a member.
pub struct MembershipHandle {
    fleet: RefCell<Membership>,
    /// Who takes letters that come.
    reader: RefCell<Option<Rc<dyn MessageHandler>>>,
    socket: UdpSocket,
    engine: RefCell<Option<Rc<Engine>>>,
}

impl MembershipHandle {
    pub fn new(fleet: Membership, socket: UdpSocket) -> Rc<MembershipHandle> {
        Rc::new(MembershipHandle {
            fleet: RefCell::new(fleet),
            reader: RefCell::default(),
            socket,
            engine: RefCell::default(),
        })
    }

    pub fn with<T>(&self, f: impl FnOnce(&Membership) -> T) -> T {
        f(&self.fleet.borrow())
    }

    fn now(&self) -> u64 {
        self.engine.borrow().as_ref().map_or(0, |e| e.now())
    }

    pub fn set_reader(&self, reader: Rc<dyn MessageHandler>) {
        self.reader.replace(Some(reader));
    }

    /// Sends a letter: once, as a datagram.
    pub fn post(&self, to: &str, bytes: Vec<u8>) {
        let mut out = Vec::new();
        self.fleet
            .borrow_mut()
            .send_message(self.now(), to, bytes, &mut out);
        self.carry_out(&mut out);
    }

    /// One of this member's figures for the others.
    pub fn set_fact(&self, name: &str, value: f64) {
        self.fleet.borrow_mut().set_gauge(self.now(), name, value);
    }

    /// The same, found out at that time.
    pub fn set_fact_of(&self, at: u64, name: &str, value: f64) {
        self.fleet.borrow_mut().set_gauge(at, name, value);
    }

    /// It is told no more.
    pub fn clear_fact(&self, name: &str) {
        self.fleet.borrow_mut().clear_gauge(name);
    }

    pub fn set_phase(&self, phase: LifecyclePhase) {
        self.fleet.borrow_mut().set_phase(self.now(), phase);
    }

    pub fn set_keys(&self, keys: Keys) {
        self.fleet.borrow_mut().set_keys(keys);
    }

    /// Says that it goes; from then on it tells no use.
    pub fn leave(&self) {
        let mut out = Vec::new();
        self.fleet.borrow_mut().leave(self.now(), &mut out);
        self.carry_out(&mut out);
    }

    fn carry_out(&self, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                // What does not go out now is told again.
                Output::Send { to, bytes } => {
                    drop(uninterrupted(|| self.socket.try_send_to(&bytes, to)))
                }
                Output::UsageReported { heard, uses, past } => {
                    let engine = self.engine.borrow().clone();
                    engine.inspect(|e| e.record_peer_usage(heard, uses, past));
                }
                Output::GatewaysAbsent(gateways) => {
                    let engine = self.engine.borrow().clone();
                    engine.inspect(|e| e.set_absent_gateways(gateways));
                }
                Output::MessageReceived { from, bytes } => {
                    let reader = self.reader.borrow().clone();
                    reader.inspect(|r| r.letter(&from, &bytes));
                }
                Output::Log(line) => log_line!("{line}"),
            }
        }
    }

    /// Talks for good.
    pub async fn run(self: Rc<Self>, tick: Duration, engine: Rc<Engine>) {
        self.engine.replace(Some(engine.clone()));
        let mut ticks = interval(tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; MOST_BYTES + 1];
        let mut out = Vec::new();
        loop {
            tokio::select! {
                ready = self.socket.readable() => {
                    for _ in 0..AT_ONCE {
                        // An error is some member's that is not there.
                        let Ok((n, from)) = uninterrupted(|| self.socket.try_recv_from(&mut buffer)) else { break };
                        if ready.is_ok() {
                            self.fleet.borrow_mut().datagram(engine.now(), from, &buffer[..n], &mut out);
                        }
                    }
                }
                _ = ticks.tick() => self.fleet.borrow_mut().tick(engine.now(), &mut out),
            }
            self.carry_out(&mut out);
        }
    }
}

impl UsageReporter for MembershipHandle {
    fn record_usage(&self, tag: u32, units: f64) {
        self.fleet.borrow_mut().record_usage(tag, units);
    }
}
