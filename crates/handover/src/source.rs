//! The state machine of the old process. Until the switch it serves as usual; after it, it accepts connections again if the
//! new process ends.
//!
//! ```text
//! Idle --Hello--> Offered --Ready--> HandedOver
//!   ^--- timeout, disconnect ---'         |
//!   ^------------- disconnect ------------'
//! ```

use crate::message::{Mark, Message, Version, VERSION};
use std::time::Duration;

/// A new process that is not ready within this time is given up.
pub const PREPARE_TIMEOUT: Duration = Duration::from_secs(10);

/// How far the handover is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// There is no new process.
    Idle,
    /// The new process has the listeners and prepares.
    Offered {
        /// It has to be ready by then, in time since the start.
        deadline: Duration,
    },
    /// The new process accepts connections.
    HandedOver,
}

/// An event for the state machine.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// The new process sent a message.
    Received(Message),
    /// The connection has ended, for any reason.
    Disconnected,
    /// Some time has passed.
    Tick,
    /// This process has to end soon (SIGTERM).
    Terminate,
    /// An operator marked a server in this process.
    Marked(Mark),
}

/// An action for the driver.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a message to the new process.
    Send(Message),
    /// Send [`Message::Welcome`] with the current listeners and state.
    SendWelcome,
    /// Close the connection.
    CloseConnection,
    /// Keep to half of the connection limits; the new process uses the other half.
    HalveCapacity,
    /// Use all of the connection limits again.
    RestoreCapacity,
    /// Accept client connections again.
    StartAccepting,
    /// Accept no more client connections.
    StopAccepting,
    /// Apply an operator's mark.
    ApplyMark(Mark),
    /// Write a line to the log.
    Log(&'static str),
}

/// The state of the old process.
#[derive(Debug)]
pub struct HandoverSource {
    stage: Stage,
    is_terminating: bool,
}

impl Default for HandoverSource {
    fn default() -> Self {
        HandoverSource {
            stage: Stage::Idle,
            is_terminating: false,
        }
    }
}

impl HandoverSource {
    /// How far the handover is.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Handles an input at `now`, the time since the start, and appends the actions to `out`.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        if input == Input::Terminate {
            return self.terminate(out);
        }
        match self.stage {
            Stage::Idle => self.handle_idle(now, input, out),
            Stage::Offered { deadline } => self.handle_offered(now, deadline, input, out),
            Stage::HandedOver => self.handle_handed_over(input, out),
        }
    }

    fn terminate(&mut self, out: &mut Vec<Output>) {
        self.is_terminating = true;
        if matches!(self.stage, Stage::Offered { .. }) {
            out.push(Output::Log("upgrade: ends before the new process is ready"));
        }
    }

    fn handle_idle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Received(Message::Hello { version, .. }) => self.answer_hello(now, version, out),
            Input::Received(Message::Unknown) => {}
            // A peer that breaks the protocol.
            Input::Received(_) => out.push(Output::CloseConnection),
            Input::Disconnected | Input::Tick | Input::Terminate | Input::Marked(_) => {}
        }
    }

    fn answer_hello(&mut self, now: Duration, version: Version, out: &mut Vec<Output>) {
        if version.major != VERSION.major {
            return reject("another major version", out);
        }
        if self.is_terminating {
            return reject("this process is ending", out);
        }
        self.stage = Stage::Offered {
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
                self.stage = Stage::HandedOver;
                out.extend([
                    Output::StopAccepting,
                    Output::Send(Message::StoppedAccepting),
                    Output::Log("upgrade: the new process accepts"),
                ]);
            }
            Input::Tick if now >= deadline => {
                // Without this message the new process would take the end of the connection for the end of this process.
                reject("not ready in time", out);
                out.push(Output::Log(
                    "upgrade: the new process was not ready in time",
                ));
                self.roll_back(out);
            }
            Input::Disconnected => {
                out.push(Output::Log(
                    "upgrade: the new process has gone before it was ready",
                ));
                self.roll_back(out);
            }
            other => exchange_mark(other, out),
        }
    }

    fn handle_handed_over(&mut self, input: Input, out: &mut Vec<Output>) {
        if input == Input::Disconnected {
            out.push(Output::Log("upgrade: the new process has gone"));
            self.roll_back(out);
        } else {
            exchange_mark(input, out);
        }
    }

    /// Serves alone again.
    fn roll_back(&mut self, out: &mut Vec<Output>) {
        let has_to_accept = self.stage == Stage::HandedOver && !self.is_terminating;
        self.stage = Stage::Idle;
        out.push(Output::RestoreCapacity);
        if has_to_accept {
            out.push(Output::StartAccepting);
        }
    }
}

/// Marks go both ways while both processes serve; other inputs are ignored.
fn exchange_mark(input: Input, out: &mut Vec<Output>) {
    match input {
        Input::Received(Message::Marked(mark)) => out.push(Output::ApplyMark(mark)),
        Input::Marked(mark) => out.push(Output::Send(Message::Marked(mark))),
        Input::Received(_) | Input::Disconnected | Input::Tick | Input::Terminate => {}
    }
}

fn reject(reason: &str, out: &mut Vec<Output>) {
    out.extend([
        Output::Send(Message::Rejected {
            reason: reason.into(),
        }),
        Output::CloseConnection,
    ]);
}
