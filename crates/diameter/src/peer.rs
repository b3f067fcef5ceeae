//! State machine of one connection to a peer (RFC 6733 section 5): capabilities exchange, watchdog and disconnection.
//!
//! This module does no I/O and reads no clock: the caller passes the time in microseconds. [`link`](crate::link) drives the
//! state machine.
//!
//! A peer that connects to the gateway is a client; a peer that the gateway connects to is a server. Each peer has one
//! connection, so there is no election (RFC 6733 section 5.6.4).
//!
//! ```text
//!   accepted: WAIT_CER --CER--> OPEN          connected: (CER sent) WAIT_CEA --CEA 2001--> OPEN
//!   OPEN --DPR sent--> CLOSING --DPA--> closed      OPEN --DPR received--> PEER_CLOSING --peer closes--> closed
//! ```

mod capabilities;
mod close_reason;
mod messages;

pub use close_reason::CloseReason;

use crate::codec::{flag, Avp, DecodeError, Fault, Header, Message};
use crate::dictionary::{application, code, command};
use crate::watchdog::{Action, Watchdog};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::IpAddr;

/// Timeout of the capabilities exchange, and of the peer's answer to a disconnect request. The texts of [`CloseReason`]
/// contain it.
const ANSWER_TIMEOUT_US: u64 = 5_000_000;
/// Timeout for the peer to close the connection after it sent a disconnect request. A text of [`CloseReason`] contains it.
const PEER_CLOSE_TIMEOUT_US: u64 = 30_000_000;

/// Values of Disconnect-Cause (RFC 6733 section 5.4.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectCause {
    /// The gateway restarts.
    Rebooting = 0,
    /// The gateway is short of resources.
    Busy = 1,
    /// No messages to this peer are expected.
    DoNotWantToTalkToYou = 2,
}

/// Identity that the gateway sends to its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Origin-Host.
    pub host: String,
    /// Origin-Realm.
    pub realm: String,
    /// Host-IP-Address.
    pub address: IpAddr,
    /// Origin-State-Id, which increases with each start (RFC 6733 section 8.16).
    pub state_id: u32,
}

/// Identity that a peer sent in its capabilities.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteIdentity {
    /// Origin-Host in lower case.
    pub host: String,
    /// Origin-Realm in lower case.
    pub realm: String,
    /// Origin-State-Id; `None` if the peer does not send it.
    pub state_id: Option<u32>,
}

/// Role of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The peer connected to the gateway.
    Client,
    /// The gateway connected to the peer.
    Server,
}

/// Input of the state machine.
pub enum Input {
    /// The transport connection is established.
    Connected,
    /// A message was received.
    Message(Message),
    /// A message that cannot be decoded was received.
    Undecodable(DecodeError),
    /// The gateway disconnects. The caller has to wait for pending requests first.
    Disconnect(DisconnectCause),
}

/// Output of the state machine: an action on the connection, or an event for its owner.
#[derive(Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this message.
    Send(Message),
    /// Capabilities have been exchanged with the peer.
    Up(RemoteIdentity),
    /// Send new requests to other peers: the peer does not answer watchdog requests, or has reconnected and has not
    /// answered `MIN_REOPEN_ANSWERS` of them yet.
    Failover,
    /// The peer answers again and may get requests.
    Failback,
    /// The peer accepts no new requests and is about to close the connection.
    PeerClosing,
    /// A valid request of the credit-control application was received.
    Request(Message),
    /// An answer was received.
    Answer(Message),
    /// Close the transport connection.
    Close(CloseReason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
/// States of the connection.
enum State {
    /// The transport connection is not established.
    Idle,
    /// The connection was accepted; the client's CER has not arrived.
    WaitCer,
    /// The gateway's CER was sent; the server's CEA has not arrived.
    WaitCea,
    /// Capabilities have been exchanged.
    Open,
    /// The gateway's DPR was sent and is not answered yet.
    Closing,
    /// The peer's DPR was answered; the peer has not closed the connection yet.
    PeerClosing,
    /// [`Output::Close`] was issued.
    Closed,
}

/// State machine of one connection.
pub struct Peer {
    identity: Identity,
    role: Role,
    state: State,
    watchdog: Watchdog,
    rng: Pcg64Mcg,
    /// Time at which the current state times out; `u64::MAX` for never.
    due_us: u64,
    /// Last End-to-End Identifier that was assigned.
    end_to_end: u32,
    /// Last Hop-by-Hop Identifier that was assigned.
    hop_by_hop: u32,
}

impl Peer {
    /// Creates the state machine of a connection that is not established yet. `was_connected_before`: the peer was
    /// connected earlier, and has to answer watchdog requests before it gets requests again (REOPEN in RFC 3539).
    pub fn new(
        identity: Identity,
        role: Role,
        watchdog_interval_us: u64,
        was_connected_before: bool,
        seed: u64,
    ) -> Peer {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let end_to_end = rng.next_u32();
        let hop_by_hop = rng.next_u32();
        let mut watchdog = Watchdog::new(watchdog_interval_us);
        if was_connected_before {
            watchdog.handle_down();
        }
        Peer {
            identity,
            role,
            state: State::Idle,
            watchdog,
            rng,
            due_us: u64::MAX,
            end_to_end,
            hop_by_hop,
        }
    }

    /// Returns whether requests may be exchanged.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Returns whether the gateway has sent its disconnect request and waits for the answer.
    pub fn is_closing(&self) -> bool {
        self.state == State::Closing
    }

    /// Returns the time at which to call [`handle_timeout`](Self::handle_timeout); `u64::MAX` for never.
    pub fn due_us(&self) -> u64 {
        if self.state == State::Open {
            self.due_us.min(self.watchdog.due_us())
        } else {
            self.due_us
        }
    }

    /// Assigns the next Hop-by-Hop Identifier of this connection.
    pub fn next_hop_by_hop(&mut self) -> u32 {
        self.hop_by_hop = self.hop_by_hop.wrapping_add(1);
        self.hop_by_hop
    }

    /// Creates an answer from the gateway itself to a request.
    pub fn answer(&self, request: &Message, result_code: u32) -> Message {
        let result = Avp::of_u32(code::RESULT_CODE, result_code);
        let mut answer = self.with_origin(request.answer().with_avp(result));
        if (3_000..4_000).contains(&result_code) {
            answer.header.flags |= flag::ERROR;
        }
        answer
    }

    /// Creates the answer that reports a fault of a request, with the fault's Failed-AVP.
    pub fn fault_answer(&self, request: &Message, fault: &Fault) -> Message {
        let answer = self.answer(request, fault.result_code);
        match &fault.failed_avp {
            Some(avp) => {
                answer.with_avp(Avp::of_group(code::FAILED_AVP, std::slice::from_ref(avp)))
            }
            None => answer,
        }
    }

    /// Advances the state machine and appends its outputs to `out`.
    pub fn handle(&mut self, now_us: u64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Connected if self.state == State::Idle => self.start(now_us, out),
            Input::Connected => {}
            Input::Message(message) => self.handle_message(now_us, message, out),
            Input::Undecodable(decode_error) => self.handle_decode_error(&decode_error, out),
            Input::Disconnect(cause) if self.state == State::Open => {
                let dpr = self.request(command::DISCONNECT_PEER);
                let cause = Avp::of_u32(code::DISCONNECT_CAUSE, cause as u32);
                out.push(Output::Send(dpr.with_avp(cause)));
                self.state = State::Closing;
                self.due_us = now_us + ANSWER_TIMEOUT_US;
            }
            Input::Disconnect(_) => self.close(CloseReason::Abandoned, out),
        }
    }

    /// Handles expired timers and appends the outputs to `out`.
    pub fn handle_timeout(&mut self, now_us: u64, out: &mut Vec<Output>) {
        if self.due_us <= now_us {
            let reason = match self.state {
                State::WaitCer | State::WaitCea => CloseReason::CapabilitiesTimeout,
                State::Closing => CloseReason::DisconnectAnswerTimeout,
                _ => CloseReason::PeerCloseTimeout,
            };
            return self.close(reason, out);
        }
        if self.state == State::Open {
            if let Some(action) = self.watchdog.handle_timeout(now_us, &mut self.rng) {
                self.apply_watchdog(action, out);
            }
        }
    }

    /// Starts the capabilities exchange.
    fn start(&mut self, now_us: u64, out: &mut Vec<Output>) {
        self.due_us = now_us + ANSWER_TIMEOUT_US;
        match self.role {
            Role::Client => self.state = State::WaitCer,
            Role::Server => {
                self.state = State::WaitCea;
                let cer = self.request(command::CAPABILITIES_EXCHANGE);
                out.push(Output::Send(self.with_capabilities(cer)));
            }
        }
    }

    /// Enters the state OPEN after the capabilities exchange.
    fn open(&mut self, now_us: u64, remote: RemoteIdentity, out: &mut Vec<Output>) {
        self.state = State::Open;
        self.due_us = u64::MAX;
        out.push(Output::Up(remote));
        if let Some(action) = self.watchdog.handle_up(now_us, &mut self.rng) {
            // A peer that has reconnected gets no requests until the watchdog reports a failback.
            out.push(Output::Failover);
            self.apply_watchdog(action, out);
        }
    }

    /// Closes the connection unless it is closed.
    fn close(&mut self, reason: CloseReason, out: &mut Vec<Output>) {
        if self.state != State::Closed {
            self.state = State::Closed;
            self.due_us = u64::MAX;
            out.push(Output::Close(reason));
        }
    }

    /// Executes an action of the watchdog.
    fn apply_watchdog(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::SendRequest => {
                let dwr = self.request(command::DEVICE_WATCHDOG);
                out.push(Output::Send(dwr.with_avp(self.origin_state_id())));
            }
            Action::Failover => out.push(Output::Failover),
            Action::Failback => out.push(Output::Failback),
            Action::Close => self.close(CloseReason::WatchdogTimeout, out),
        }
    }

    /// Creates a request of the base protocol, with the next identifiers.
    fn request(&mut self, command: u32) -> Message {
        self.end_to_end = self.end_to_end.wrapping_add(1);
        let header = Header {
            flags: flag::REQUEST,
            command,
            application: application::COMMON,
            hop_by_hop: self.next_hop_by_hop(),
            end_to_end: self.end_to_end,
        };
        self.with_origin(Message::new(header))
    }

    /// Adds the gateway's Origin-Host and Origin-Realm to a message.
    fn with_origin(&self, message: Message) -> Message {
        message
            .with_avp(Avp::of_text(code::ORIGIN_HOST, &self.identity.host))
            .with_avp(Avp::of_text(code::ORIGIN_REALM, &self.identity.realm))
    }

    fn origin_state_id(&self) -> Avp {
        Avp::of_u32(code::ORIGIN_STATE_ID, self.identity.state_id)
    }
}
