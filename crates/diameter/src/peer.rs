//! The state machine of one connection to a peer (RFC 6733 section 5): capabilities exchange, watchdog, disconnect. No I/O
//! and no clock: times are microseconds, handed in.
//!
//! A peer that connects to the gateway is a client, one that the gateway connects to is a server. There is one connection
//! to each, and no election (section 5.6.4).
//!
//! ```text
//!   accepted: WAIT_CER --CER--> OPEN          connected: (CER sent) WAIT_CEA --CEA 2001--> OPEN
//!   OPEN --DPR from us--> CLOSING --DPA--> closed      OPEN --DPR from the peer--> PEER_CLOSING --it closes--> closed
//! ```

mod capabilities;
mod close_reason;
mod messages;

pub use close_reason::CloseReason;

use crate::codec::{flag, Avp, Fault, Header, Message, Unreadable};
use crate::dictionary::{application, code, command};
use crate::watchdog::{Action, Watchdog};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::IpAddr;

/// For the peer's capabilities, and for its answer to a disconnect request.
const ANSWER_TIMEOUT_US: u64 = 5_000_000;
/// For the peer to close the connection after its disconnect request.
const PEER_CLOSE_TIMEOUT_US: u64 = 30_000_000;

/// Disconnect-Cause (RFC 6733 section 5.4.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectCause {
    /// The gateway restarts.
    Rebooting = 0,
    /// The gateway is short of resources.
    Busy = 1,
    /// No messages to this peer are expected.
    DoNotWantToTalkToYou = 2,
}

/// How the gateway identifies itself to its peers.
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

/// How a peer identifies itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remote {
    /// Origin-Host in lower case.
    pub host: String,
    /// Origin-Realm in lower case.
    pub realm: String,
    /// Origin-State-Id; `None` if the peer does not send it.
    pub state_id: Option<u32>,
}

/// The peer's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The peer connected to the gateway.
    Client,
    /// The gateway connected to the peer.
    Server,
}

/// What happens to a connection.
pub enum Input {
    /// The transport is connected.
    Connected,
    /// A message was received.
    Message(Message),
    /// A message was received that cannot be decoded.
    Unreadable(Unreadable),
    /// The gateway disconnects; no requests are pending any more.
    Disconnect(DisconnectCause),
}

/// What is to be done on a connection, or what its user has to know.
#[derive(Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send(Message),
    /// Capabilities have been exchanged.
    Up(Remote),
    /// Send new requests to other peers.
    Failover,
    /// The peer accepts requests again.
    Failback,
    /// The peer accepts no new requests and will close the connection.
    PeerClosing,
    /// A valid request of the credit-control application was received.
    Request(Message),
    /// An answer was received.
    Answer(Message),
    /// Close the transport.
    Close(CloseReason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    WaitCer,
    WaitCea,
    Open,
    /// The gateway's DPR is not answered yet.
    Closing,
    /// The peer's DPR was answered.
    PeerClosing,
    Closed,
}

/// The state of one connection.
pub struct Peer {
    identity: Identity,
    role: Role,
    state: State,
    watchdog: Watchdog,
    rng: Pcg64Mcg,
    /// When the current state times out.
    due_us: u64,
    end_to_end: u32,
    hop_by_hop: u32,
}

impl Peer {
    /// A connection that is not established yet. `tw_us`: the watchdog's interval. `was_up_before`: the peer was connected
    /// earlier, and has to answer watchdog requests before it gets requests again (RFC 3539: REOPEN).
    pub fn new(identity: Identity, role: Role, tw_us: u64, was_up_before: bool, seed: u64) -> Peer {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let end_to_end = rng.next_u32();
        let hop_by_hop = rng.next_u32();
        let mut watchdog = Watchdog::new(tw_us);
        if was_up_before {
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

    /// Whether requests may be exchanged.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// When [`handle_timeout`](Self::handle_timeout) is to be called; `u64::MAX` for never.
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

    /// An answer from the gateway itself to a request.
    pub fn answer(&self, request: &Message, result_code: u32) -> Message {
        let result = Avp::of_u32(code::RESULT_CODE, result_code);
        let mut answer = self.with_origin(request.answer().with(result));
        if (3_000..4_000).contains(&result_code) {
            answer.header.flags |= flag::ERROR;
        }
        answer
    }

    /// The answer that reports a fault of a request, with its Failed-AVP.
    pub fn fault_answer(&self, request: &Message, fault: &Fault) -> Message {
        let answer = self.answer(request, fault.result_code);
        match &fault.failed_avp {
            Some(avp) => answer.with(Avp::of_group(code::FAILED_AVP, std::slice::from_ref(avp))),
            None => answer,
        }
    }

    /// Advances the state machine; what follows is appended to `out`.
    pub fn handle(&mut self, now_us: u64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Connected if self.state == State::Idle => self.start(now_us, out),
            Input::Connected => {}
            Input::Message(message) => self.handle_message(now_us, message, out),
            Input::Unreadable(unreadable) => self.handle_unreadable(&unreadable, out),
            Input::Disconnect(cause) if self.state == State::Open => {
                let dpr = self.request(command::DISCONNECT_PEER);
                let cause = Avp::of_u32(code::DISCONNECT_CAUSE, cause as u32);
                out.push(Output::Send(dpr.with(cause)));
                self.state = State::Closing;
                self.due_us = now_us + ANSWER_TIMEOUT_US;
            }
            Input::Disconnect(_) => self.close(CloseReason::Abandoned, out),
        }
    }

    /// Acts on timers that have expired.
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

    fn open(&mut self, now_us: u64, remote: Remote, out: &mut Vec<Output>) {
        self.state = State::Open;
        self.due_us = u64::MAX;
        out.push(Output::Up(remote));
        if let Some(action) = self.watchdog.handle_up(now_us, &mut self.rng) {
            // A reopened connection gets no requests before the watchdog reports a failback.
            out.push(Output::Failover);
            self.apply_watchdog(action, out);
        }
    }

    fn close(&mut self, reason: CloseReason, out: &mut Vec<Output>) {
        if self.state != State::Closed {
            self.state = State::Closed;
            self.due_us = u64::MAX;
            out.push(Output::Close(reason));
        }
    }

    fn apply_watchdog(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::SendRequest => {
                let dwr = self.request(command::DEVICE_WATCHDOG);
                out.push(Output::Send(dwr.with(self.origin_state_id())));
            }
            Action::Failover => out.push(Output::Failover),
            Action::Failback => out.push(Output::Failback),
            Action::Close => self.close(CloseReason::WatchdogTimeout, out),
        }
    }

    /// A request of the base protocol.
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

    fn with_origin(&self, message: Message) -> Message {
        message
            .with(Avp::of_text(code::ORIGIN_HOST, &self.identity.host))
            .with(Avp::of_text(code::ORIGIN_REALM, &self.identity.realm))
    }

    fn origin_state_id(&self) -> Avp {
        Avp::of_u32(code::ORIGIN_STATE_ID, self.identity.state_id)
    }
}
