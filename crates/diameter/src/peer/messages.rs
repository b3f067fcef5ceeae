//! Handles messages received from a peer.

use super::{CloseReason, Output, Peer, State, PEER_CLOSE_TIMEOUT_US};
use crate::codec::{flag, DecodeError, Message};
use crate::dictionary::{application, command, result};

impl Peer {
    /// Handles a decoded message according to the connection's state.
    pub(super) fn handle_message(&mut self, now_us: u64, message: Message, out: &mut Vec<Output>) {
        let is_request = message.header.has_any_flag(flag::REQUEST);
        if self.state == State::Open {
            let is_watchdog_answer =
                message.header.command == command::DEVICE_WATCHDOG && !is_request;
            let action = self
                .watchdog
                .handle_message(now_us, is_watchdog_answer, &mut self.rng);
            if let Some(action) = action {
                self.apply_watchdog(action, out);
            }
        }
        match self.state {
            State::Idle | State::Closed => {}
            State::WaitCer | State::WaitCea => self.handle_first_message(now_us, &message, out),
            State::Open | State::Closing | State::PeerClosing => {
                if is_request {
                    self.handle_request(now_us, message, out);
                } else {
                    self.handle_answer(message, out);
                }
            }
        }
    }

    /// Handles a message that cannot be decoded. On an open connection a request is answered with its fault.
    pub(super) fn handle_decode_error(
        &mut self,
        decode_error: &DecodeError,
        out: &mut Vec<Output>,
    ) {
        if self.state != State::Open {
            return self.close(CloseReason::UndecodableMessage, out);
        }
        // An answer that cannot be decoded is dropped (RFC 6733 section 7.2), and its request times out.
        if decode_error.header.has_any_flag(flag::REQUEST) {
            let request = Message::new(decode_error.header);
            let answer = self.fault_answer(&request, &decode_error.fault);
            out.push(Output::Send(answer));
        }
    }

    /// Handles the first message of a connection, which must be a CER from a client or a CEA from a server.
    fn handle_first_message(&mut self, now_us: u64, message: &Message, out: &mut Vec<Output>) {
        let is_request = message.header.has_any_flag(flag::REQUEST);
        match (self.state, message.header.command, is_request) {
            (State::WaitCer, command::CAPABILITIES_EXCHANGE, true) => {
                self.handle_cer(now_us, message, out);
            }
            (State::WaitCea, command::CAPABILITIES_EXCHANGE, false) => {
                self.handle_cea(now_us, message, out);
            }
            _ => self.close(CloseReason::CapabilitiesExpected, out),
        }
    }

    fn handle_request(&mut self, now_us: u64, request: Message, out: &mut Vec<Output>) {
        match request.header.command {
            // A second CER does not change the state of an open connection (in RFC 6733 section 5.6, the event I-Rcv-CER
            // occurs only on new connections).
            command::CAPABILITIES_EXCHANGE if self.state == State::Open => {
                let cea = self.answer(&request, result::UNABLE_TO_COMPLY);
                out.push(Output::Send(cea));
            }
            command::DEVICE_WATCHDOG => {
                let dwa = self.answer(&request, result::SUCCESS);
                out.push(Output::Send(dwa.with_avp(self.origin_state_id())));
            }
            command::DISCONNECT_PEER => self.handle_dpr(now_us, &request, out),
            command::CREDIT_CONTROL
                if request.header.application == application::CREDIT_CONTROL =>
            {
                self.handle_ccr(request, out);
            }
            // Other requests, such as RAR and ASR from a server, are not supported.
            _ => {
                let result_code = if request.header.application == application::COMMON {
                    result::COMMAND_UNSUPPORTED
                } else {
                    result::APPLICATION_UNSUPPORTED
                };
                out.push(Output::Send(self.answer(&request, result_code)));
            }
        }
    }

    /// Handles a Disconnect-Peer-Request.
    fn handle_dpr(&mut self, now_us: u64, dpr: &Message, out: &mut Vec<Output>) {
        out.push(Output::Send(self.answer(dpr, result::SUCCESS)));
        if self.state == State::Closing {
            return self.close(CloseReason::DisconnectedByBoth, out);
        }
        self.state = State::PeerClosing;
        self.due_us = now_us + PEER_CLOSE_TIMEOUT_US;
        out.push(Output::PeerClosing);
    }

    /// Handles a Credit-Control-Request.
    fn handle_ccr(&mut self, ccr: Message, out: &mut Vec<Output>) {
        if let Err(fault) = ccr.validate() {
            out.push(Output::Send(self.fault_answer(&ccr, &fault)));
        } else {
            // In the state CLOSING the request crossed the gateway's disconnect request. The owner of the connection
            // answers it, as it may repeat one that was executed.
            out.push(Output::Request(ccr));
        }
    }

    fn handle_answer(&mut self, answer: Message, out: &mut Vec<Output>) {
        match answer.header.command {
            command::DEVICE_WATCHDOG => {}
            command::DISCONNECT_PEER if self.state == State::Closing => {
                self.close(CloseReason::Disconnected, out);
            }
            // The owner of the connection matches the answer with a pending request.
            _ => out.push(Output::Answer(answer)),
        }
    }
}
