//! The state machine of the old process. The old process accepts connections until the new process is ready, and
//! again if the new process ends afterwards, unless the old process has received SIGTERM.
//!
//! ```text
//! Idle --Hello--> Offered --Ready--> HandedOver
//!   ^--- timeout, disconnect ---'         |
//!   ^------------- disconnect ------------'
//! ```

use crate::message::{Mark, Message, Version, VERSION};
use crate::rejection::RejectionReason;
use std::time::Duration;

/// Time within which the new process has to become ready; the handover is cancelled otherwise.
pub const PREPARE_TIMEOUT: Duration = Duration::from_secs(10);

/// The phase of a handover in the old process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No handover is in progress.
    Idle,
    /// The new process was sent the listeners and has not reported yet that it is ready.
    Offered {
        /// The time since the start by which the new process has to be ready.
        deadline: Duration,
    },
    /// The new process accepts connections; this process has stopped accepting them.
    HandedOver,
}

/// An input of the state machine.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// The new process sent a message.
    Received(Message),
    /// The connection to the new process has ended for any reason.
    Disconnected,
    /// Time has passed; deadlines are checked.
    Tick,
    /// This process received SIGTERM and will end soon.
    Terminate,
    /// An operator marked a server in this process.
    Marked(Mark),
}

/// An action that the driver performs.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Sends a message to the new process.
    Send(Message),
    /// Sends [`Message::Welcome`] with the current listeners and state.
    SendWelcome,
    /// Closes the connection to the new process.
    CloseConnection,
    /// Reduces the connection limits to half; the new process uses the other half.
    HalveCapacity,
    /// Restores the full connection limits.
    RestoreCapacity,
    /// Starts accepting client connections again.
    StartAccepting,
    /// Stops accepting client connections.
    StopAccepting,
    /// Applies an operator's out-of-service mark that the new process sent.
    ApplyMark(Mark),
    /// Writes a line to the log.
    Log(&'static str),
}

/// The state machine of the old process.
#[derive(Debug)]
pub struct HandoverSource {
    phase: Phase,
    is_terminating: bool,
}

impl Default for HandoverSource {
    fn default() -> Self {
        HandoverSource {
            phase: Phase::Idle,
            is_terminating: false,
        }
    }
}

impl HandoverSource {
    /// Returns the current phase of the handover.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles an input at `now`, the time since the start, and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        if input == Input::Terminate {
            return self.terminate(out);
        }
        match self.phase {
            Phase::Idle => self.handle_idle(now, input, out),
            Phase::Offered { deadline } => self.handle_offered(now, deadline, input, out),
            Phase::HandedOver => self.handle_handed_over(input, out),
        }
    }

    fn terminate(&mut self, out: &mut Vec<Output>) {
        self.is_terminating = true;
        if matches!(self.phase, Phase::Offered { .. }) {
            out.push(Output::Log(
                "upgrade: this process received SIGTERM before the new process was ready",
            ));
        }
    }

    fn handle_idle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Received(Message::Hello { version, .. }) => self.handle_hello(now, version, out),
            Input::Received(Message::Unknown) => {}
            // The peer violates the protocol.
            Input::Received(_) => out.push(Output::CloseConnection),
            Input::Disconnected | Input::Tick | Input::Terminate | Input::Marked(_) => {}
        }
    }

    fn handle_hello(&mut self, now: Duration, version: Version, out: &mut Vec<Output>) {
        if version.major != VERSION.major {
            return reject(RejectionReason::OtherVersion, out);
        }
        if self.is_terminating {
            return reject(RejectionReason::Terminating, out);
        }
        self.phase = Phase::Offered {
            deadline: now + PREPARE_TIMEOUT,
        };
        out.extend([
            Output::HalveCapacity,
            Output::SendWelcome,
            Output::Log("upgrade: a new process calls"),
        ]);
    }

    fn handle_offered(
        &mut self,
        now: Duration,
        deadline: Duration,
        input: Input,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Received(Message::Ready) => {
                self.phase = Phase::HandedOver;
                out.extend([
                    Output::StopAccepting,
                    Output::Send(Message::StoppedAccepting),
                    Output::Log("upgrade: the new process accepts"),
                ]);
            }
            Input::Tick if now >= deadline => {
                // Without this message the new process would treat the end of the connection as the end of this
                // process.
                reject("the new process was not ready within 10 s".into(), out);
                out.push(Output::Log(
                    "upgrade: the new process was not ready within 10 s",
                ));
                self.roll_back(out);
            }
            Input::Disconnected => {
                out.push(Output::Log(
                    "upgrade: the new process has gone before it was ready",
                ));
                self.roll_back(out);
            }
            input => exchange_marks(input, out),
        }
    }

    fn handle_handed_over(&mut self, input: Input, out: &mut Vec<Output>) {
        if input == Input::Disconnected {
            out.push(Output::Log("upgrade: the new process has gone"));
            self.roll_back(out);
        } else {
            exchange_marks(input, out);
        }
    }

    /// Ends the handover: restores the full connection limits and, if this process had stopped accepting connections,
    /// accepts them again unless it is terminating.
    fn roll_back(&mut self, out: &mut Vec<Output>) {
        let must_accept_again = self.phase == Phase::HandedOver && !self.is_terminating;
        self.phase = Phase::Idle;
        out.push(Output::RestoreCapacity);
        if must_accept_again {
            out.push(Output::StartAccepting);
        }
    }
}

/// Exchanges operators' out-of-service marks with the new process; ignores all other inputs.
fn exchange_marks(input: Input, out: &mut Vec<Output>) {
    match input {
        Input::Received(Message::Marked(mark)) => out.push(Output::ApplyMark(mark)),
        Input::Marked(mark) => out.push(Output::Send(Message::Marked(mark))),
        Input::Received(_) | Input::Disconnected | Input::Tick | Input::Terminate => {}
    }
}

/// Rejects the takeover and closes the connection.
fn reject(reason: RejectionReason, out: &mut Vec<Output>) {
    out.extend([
        Output::Send(Message::Rejected { reason }),
        Output::CloseConnection,
    ]);
}
