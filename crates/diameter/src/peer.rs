//! One peer's connection (RFC 6733 section 5): capabilities, watchdog, the end. No I/O and no clock.
//!
//! A peer that connects to the gateway is a client, one that the gateway connects to is a server: there is one connection
//! to each and no election (section 5.6.4).
//!
//! ```text
//!   accepted: WAIT_CER --CER--> OPEN          connected: (CER sent) WAIT_CEA --CEA 2001--> OPEN
//!   OPEN --DPR from us--> CLOSING --DPA--> closed      OPEN --DPR from the peer--> LEAVING --it closes--> closed
//! ```

use crate::codec::{flag, Avp, Fault, Header, Message, Unreadable};
use crate::dictionary::{application, code, command, result};
use crate::watchdog::{Action, Watchdog};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::IpAddr;

/// Capabilities, and the answer to a DPR, are awaited for so long.
const ANSWERS_WITHIN_US: u64 = 5_000_000;
/// After the peer's DPR the connection is the peer's to close, for so long.
const LEAVES_WITHIN_US: u64 = 30_000_000;

/// Why a connection ends (RFC 6733 section 5.4.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    Rebooting = 0,
    Busy = 1,
    DoNotWantToTalkToYou = 2,
}

/// Who the gateway is to its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    pub host: String,
    pub realm: String,
    pub address: IpAddr,
    /// Grows with each start (RFC 6733 section 8.16).
    pub state_id: u32,
}

/// Who a peer says it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remote {
    pub host: String,
    pub realm: String,
    /// None: it keeps no state.
    pub state_id: Option<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The peer connected.
    Client,
    /// The gateway connected.
    Server,
}

pub enum Input {
    /// The transport is there.
    Connected,
    Message(Message),
    Unreadable(Unreadable),
    /// Say goodbye: nothing is held for the peer any more.
    Leave(Cause),
}

#[derive(Debug, PartialEq, Eq)]
pub enum Output {
    Send(Message),
    /// Capabilities are exchanged.
    Up(Remote),
    /// New requests go elsewhere.
    Failover,
    /// It takes requests again.
    Failback,
    /// It takes no new requests, and will close.
    Leaving,
    /// An application's message.
    Request(Message),
    Answer(Message),
    /// Close the transport; why, for the log.
    Close(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    WaitCer,
    WaitCea,
    Open,
    /// Our DPR is out.
    Closing,
    /// Its DPR was answered.
    Leaving,
    Closed,
}

pub struct Peer {
    me: Identity,
    role: Role,
    state: State,
    watchdog: Watchdog,
    rng: Pcg64Mcg,
    due: u64,
    end_to_end: u32,
    hop_by_hop: u32,
}

impl Peer {
    /// `again`: it was up before, and must show that it is back (RFC 3539: REOPEN).
    pub fn new(me: Identity, role: Role, tw_us: u64, again: bool, seed: u64) -> Peer {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (end_to_end, hop_by_hop) = (rng.next_u32(), rng.next_u32());
        let mut watchdog = Watchdog::new(tw_us);
        if again {
            watchdog.handle_down();
        }
        Peer {
            me,
            role,
            state: State::Idle,
            watchdog,
            rng,
            due: u64::MAX,
            end_to_end,
            hop_by_hop,
        }
    }

    /// Whether it takes new requests.
    pub fn open(&self) -> bool {
        self.state == State::Open
    }

    pub fn next(&self) -> u64 {
        if self.state == State::Open {
            self.due.min(self.watchdog.due_us())
        } else {
            self.due
        }
    }

    /// A fresh Hop-by-Hop id on this connection.
    pub fn hop(&mut self) -> u32 {
        self.hop_by_hop = self.hop_by_hop.wrapping_add(1);
        self.hop_by_hop
    }

    fn request(&mut self, command: u32) -> Message {
        self.end_to_end = self.end_to_end.wrapping_add(1);
        let (hop_by_hop, end_to_end) = (self.hop(), self.end_to_end);
        let header = Header {
            flags: flag::REQUEST,
            command,
            application: application::COMMON,
            hop_by_hop,
            end_to_end,
        };
        self.signed(Message::new(header))
    }

    fn signed(&self, message: Message) -> Message {
        message
            .with(Avp::of_text(code::ORIGIN_HOST, &self.me.host))
            .with(Avp::of_text(code::ORIGIN_REALM, &self.me.realm))
    }

    fn capabilities(&self, message: Message) -> Message {
        let mut address = vec![0, if self.me.address.is_ipv4() { 1 } else { 2 }];
        match self.me.address {
            IpAddr::V4(a) => address.extend(a.octets()),
            IpAddr::V6(a) => address.extend(a.octets()),
        }
        message
            .with(Avp::new(code::HOST_IP_ADDRESS, address))
            .with(Avp::of_u32(code::VENDOR_ID, 0))
            .with(Avp::of_text(code::PRODUCT_NAME, "frosthatch").optional())
            .with(Avp::of_u32(code::ORIGIN_STATE_ID, self.me.state_id))
            .with(Avp::of_u32(
                code::AUTH_APPLICATION_ID,
                application::CREDIT_CONTROL,
            ))
    }

    /// An answer of our own to a request, with its result.
    pub fn answer(&self, to: &Message, result: u32) -> Message {
        let mut answer = self.signed(to.answer().with(Avp::of_u32(code::RESULT_CODE, result)));
        if (3_000..4_000).contains(&result) {
            answer.header.flags |= flag::ERROR;
        }
        answer
    }

    fn fault(&self, to: &Message, fault: &Fault) -> Message {
        let answer = self.answer(to, fault.result_code);
        match &fault.failed_avp {
            Some(avp) => answer.with(Avp::of_group(code::FAILED_AVP, std::slice::from_ref(avp))),
            None => answer,
        }
    }

    pub fn handle(&mut self, now: u64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Connected if self.state == State::Idle => {
                self.due = now + ANSWERS_WITHIN_US;
                self.state = State::WaitCer;
                if self.role == Role::Server {
                    self.state = State::WaitCea;
                    let cer = self.request(command::CAPABILITIES_EXCHANGE);
                    out.push(Output::Send(self.capabilities(cer)));
                }
            }
            Input::Connected => {}
            Input::Message(message) => self.message(now, message, out),
            Input::Unreadable(Unreadable { header, fault }) => {
                let message = Message::new(header);
                match header.has(flag::REQUEST) && self.state == State::Open {
                    true => out.push(Output::Send(self.fault(&message, &fault))),
                    // RFC 6733 section 7.2: an answer that makes no sense is dropped. What it belongs to times out.
                    false if self.state == State::Open => {}
                    false => self.close("a message that cannot be read before capabilities", out),
                }
            }
            Input::Leave(cause) if self.state == State::Open => {
                let dpr = self.request(command::DISCONNECT_PEER);
                out.push(Output::Send(
                    dpr.with(Avp::of_u32(code::DISCONNECT_CAUSE, cause as u32)),
                ));
                (self.state, self.due) = (State::Closing, now + ANSWERS_WITHIN_US);
            }
            Input::Leave(_) => self.close("it is left", out),
        }
    }

    pub fn tick(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.due <= now {
            let why = match self.state {
                State::WaitCer | State::WaitCea => "no capabilities in time",
                State::Closing => "no answer to the goodbye",
                _ => "it did not close after its goodbye",
            };
            return self.close(why, out);
        }
        if self.state == State::Open {
            if let Some(act) = self.watchdog.handle_timeout(now, &mut self.rng) {
                self.act(act, out);
            }
        }
    }

    fn act(&mut self, act: Action, out: &mut Vec<Output>) {
        match act {
            Action::SendRequest => {
                let dwr = self.request(command::DEVICE_WATCHDOG);
                out.push(Output::Send(
                    dwr.with(Avp::of_u32(code::ORIGIN_STATE_ID, self.me.state_id)),
                ));
            }
            Action::Failover => out.push(Output::Failover),
            Action::Failback => out.push(Output::Failback),
            Action::Close => self.close("its watchdog has fallen silent", out),
        }
    }

    fn close(&mut self, why: &str, out: &mut Vec<Output>) {
        if self.state != State::Closed {
            (self.state, self.due) = (State::Closed, u64::MAX);
            out.push(Output::Close(why.into()));
        }
    }

    fn message(&mut self, now: u64, message: Message, out: &mut Vec<Output>) {
        let (request, which) = (message.header.has(flag::REQUEST), message.header.command);
        let common = message.header.application == application::COMMON;
        if self.state == State::Open {
            let answer = which == command::DEVICE_WATCHDOG && !request;
            if let Some(act) = self.watchdog.handle_message(now, answer, &mut self.rng) {
                self.act(act, out);
            }
        }
        match (self.state, which, request) {
            (State::WaitCer, command::CAPABILITIES_EXCHANGE, true) => self.cer(now, &message, out),
            (State::WaitCea, command::CAPABILITIES_EXCHANGE, false) => self.cea(now, &message, out),
            (State::WaitCer | State::WaitCea, ..) => {
                self.close("something else than capabilities came first", out)
            }
            (State::Closed | State::Idle, ..) => {}
            // A second CER on an open connection changes nothing (RFC 6733 section 5.6: I-Rcv-CER is for new ones).
            (State::Open, command::CAPABILITIES_EXCHANGE, true) => {
                out.push(Output::Send(
                    self.answer(&message, result::UNABLE_TO_COMPLY),
                ));
            }
            (_, command::DEVICE_WATCHDOG, true) => {
                let dwa = self.answer(&message, result::SUCCESS);
                out.push(Output::Send(
                    dwa.with(Avp::of_u32(code::ORIGIN_STATE_ID, self.me.state_id)),
                ));
            }
            (_, command::DEVICE_WATCHDOG, false) => {}
            (State::Closing, command::DISCONNECT_PEER, false) => self.close("goodbye", out),
            (_, command::DISCONNECT_PEER, true) => {
                out.push(Output::Send(self.answer(&message, result::SUCCESS)));
                // Both at once: each has said goodbye.
                match self.state {
                    State::Closing => self.close("goodbye from both sides", out),
                    _ => {
                        (self.state, self.due) = (State::Leaving, now + LEAVES_WITHIN_US);
                        out.push(Output::Leaving);
                    }
                }
            }
            (_, command::CREDIT_CONTROL, true)
                if message.header.application == application::CREDIT_CONTROL =>
            {
                match message.validate() {
                    Err(fault) => out.push(Output::Send(self.fault(&message, &fault))),
                    // What crossed our goodbye was not taken.
                    Ok(()) if self.state == State::Closing => {
                        out.push(Output::Send(self.answer(&message, result::TOO_BUSY)));
                    }
                    Ok(()) => out.push(Output::Request(message)),
                }
            }
            (_, _, true) => {
                let result = if common {
                    result::COMMAND_UNSUPPORTED
                } else {
                    result::APPLICATION_UNSUPPORTED
                };
                out.push(Output::Send(self.answer(&message, result)));
            }
            // Whether anybody asked is known where requests are kept.
            (_, _, false) => out.push(Output::Answer(message)),
        }
    }

    fn cer(&mut self, now: u64, cer: &Message, out: &mut Vec<Output>) {
        let remote = match remote(cer) {
            Ok(remote) => remote,
            Err(fault) => {
                out.push(Output::Send(self.fault(cer, &fault)));
                return self.close("its capabilities are not in order", out);
            }
        };
        if !common_application(&cer.avps) {
            out.push(Output::Send(
                self.answer(cer, result::NO_COMMON_APPLICATION),
            ));
            return self.close("it has no application in common", out);
        }
        let cea = self.answer(cer, result::SUCCESS);
        out.push(Output::Send(self.capabilities(cea)));
        self.up(now, remote, out);
    }

    fn cea(&mut self, now: u64, cea: &Message, out: &mut Vec<Output>) {
        match (cea.result(), remote(cea)) {
            (Some(result::SUCCESS), Ok(remote)) if common_application(&cea.avps) => {
                self.up(now, remote, out)
            }
            (Some(result::SUCCESS), Ok(_)) => self.close("it has no application in common", out),
            (Some(result::SUCCESS), Err(_)) => self.close("its capabilities are not in order", out),
            (code, _) => self.close(&format!("it refuses, result {}", code.unwrap_or(0)), out),
        }
    }

    fn up(&mut self, now: u64, remote: Remote, out: &mut Vec<Output>) {
        (self.state, self.due) = (State::Open, u64::MAX);
        out.push(Output::Up(remote));
        if let Some(act) = self.watchdog.handle_up(now, &mut self.rng) {
            // Not yet believed.
            out.push(Output::Failover);
            self.act(act, out);
        }
    }
}

/// Who the sender of capabilities is.
fn remote(message: &Message) -> Result<Remote, Fault> {
    message.validate()?;
    let text = |code| {
        let avp = message.find(code).ok_or_else(|| Fault::missing_avp(code))?;
        match avp.text()? {
            "" => Err(Fault::in_avp(result::INVALID_AVP_VALUE, avp)),
            text => Ok(text.to_ascii_lowercase()),
        }
    };
    let (host, realm) = (text(code::ORIGIN_HOST)?, text(code::ORIGIN_REALM)?);
    Ok(Remote {
        host,
        realm,
        state_id: message.number(code::ORIGIN_STATE_ID),
    })
}

fn common_application(avps: &[Avp]) -> bool {
    let ours = |a: &Avp| {
        matches!(
            a.u32(),
            Ok(application::CREDIT_CONTROL | application::RELAY)
        )
    };
    avps.iter().any(|a| match (a.code, a.vendor) {
        (code::AUTH_APPLICATION_ID, None) => ours(a),
        (code::VENDOR_SPECIFIC_APPLICATION_ID, None) => a.group().is_ok_and(|g| {
            g.iter()
                .any(|a| a.code == code::AUTH_APPLICATION_ID && ours(a))
        }),
        _ => false,
    })
}
