//! The state machine of the new process, which takes over the listeners and the state of the old one.
//!
//! ```text
//! Joining --Welcome--> Preparing --prepared--> AwaitingSwitch --StoppedAccepting--> Accepting
//!    |                     |                         |                                  |
//!    '---------------------'------ disconnect, rejection --------> Finished <-----------'
//!
//! A rejection ends the new process, unless the old process cannot hand over (another version, or it is terminating).
//! ```

use crate::message::{Mark, Message, TransferredState, Version, VERSION};
use crate::rejection::RejectionReason;
use std::time::Duration;

/// Time within which the old process has to reply to [`Message::Hello`]; the new process opens its own listeners
/// otherwise.
pub const WELCOME_TIMEOUT: Duration = Duration::from_secs(1);

/// The phase of a handover in the new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The new process waits for the reply to [`Message::Hello`].
    Joining {
        /// The time since the start by which the reply has to arrive.
        deadline: Duration,
    },
    /// The new process has the listeners and is not ready to accept connections yet.
    Preparing,
    /// The new process is ready and waits until the old process has stopped accepting connections.
    AwaitingSwitch,
    /// The new process accepts connections; the old process still serves its existing connections.
    Accepting,
    /// The handover is over: the old process has ended, or the takeover failed.
    Finished,
}

/// An input of the state machine.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// The old process sent a message.
    Received(Message),
    /// The connection to the old process has ended for any reason.
    Disconnected,
    /// Time has passed; deadlines are checked.
    Tick,
    /// This process is ready to serve requests.
    Prepared,
    /// An operator marked a server in this process.
    Marked(Mark),
}

/// An action that the driver performs.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Sends a message to the old process.
    Send(Message),
    /// Closes the connection to the old process.
    CloseConnection,
    /// Adopts the listeners and the state received with [`Message::Welcome`].
    Adopt {
        /// The names of the listeners, in the order of their descriptors.
        listeners: Vec<String>,
        /// The state of the old process.
        state: TransferredState,
    },
    /// Opens own listeners because there are none to adopt.
    Bind,
    /// Starts accepting client connections.
    StartAccepting,
    /// Ends this process for this reason; the old process continues to serve.
    EndProcess(RejectionReason),
    /// Restores the full connection limits.
    RestoreCapacity,
    /// Applies an operator's out-of-service mark that the old process sent.
    ApplyMark(Mark),
    /// Writes a line to the log.
    Log(String),
}

/// The state machine of the new process.
#[derive(Debug)]
pub struct HandoverTarget {
    phase: Phase,
    is_prepared: bool,
}

impl HandoverTarget {
    /// Creates the state machine at `now`, the time since the start, and appends the first message to `out`.
    pub fn new(now: Duration, pid: u32, out: &mut Vec<Output>) -> HandoverTarget {
        out.push(Output::Send(Message::Hello {
            version: VERSION,
            pid,
        }));
        HandoverTarget {
            phase: Phase::Joining {
                deadline: now + WELCOME_TIMEOUT,
            },
            is_prepared: false,
        }
    }

    /// Returns the current phase of the handover.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles an input at `now`, the time since the start, and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match self.phase {
            Phase::Joining { deadline } => self.handle_joining(now, deadline, input, out),
            Phase::Preparing | Phase::AwaitingSwitch => self.handle_before_accepting(input, out),
            Phase::Accepting => self.handle_accepting(input, out),
            Phase::Finished => {}
        }
    }

    fn handle_joining(
        &mut self,
        now: Duration,
        deadline: Duration,
        input: Input,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Received(Message::Welcome {
                version,
                listeners,
                state,
            }) => self.adopt(version, listeners, state, out),
            Input::Received(Message::Rejected { reason }) if reason.permits_own_start() => {
                self.close_and_bind(&reason.to_string(), out);
            }
            Input::Received(Message::Rejected { reason }) => self.end_process(reason, out),
            Input::Received(_) => self.close_and_bind("the old process sent an invalid reply", out),
            Input::Tick if now >= deadline => {
                self.close_and_bind("the old process did not reply within 1 s", out);
            }
            Input::Disconnected => self.bind("the old process closed the connection", out),
            Input::Prepared => self.is_prepared = true,
            Input::Tick | Input::Marked(_) => {}
        }
    }

    fn adopt(
        &mut self,
        version: Version,
        listeners: Vec<String>,
        state: TransferredState,
        out: &mut Vec<Output>,
    ) {
        if version.major != VERSION.major {
            return self.close_and_bind(
                "the old process has another major version of the handover protocol",
                out,
            );
        }
        self.phase = Phase::Preparing;
        out.push(Output::Adopt { listeners, state });
        if self.is_prepared {
            self.report_ready(out);
        }
    }

    fn handle_before_accepting(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Prepared if self.phase == Phase::Preparing => self.report_ready(out),
            Input::Received(Message::StoppedAccepting) if self.phase == Phase::AwaitingSwitch => {
                self.phase = Phase::Accepting;
                out.push(Output::StartAccepting);
            }
            Input::Received(Message::Rejected { reason }) => self.end_process(reason, out),
            // No other process accepts connections, so this process does, even if it is not ready yet.
            Input::Disconnected => {
                self.phase = Phase::Finished;
                out.extend([
                    Output::StartAccepting,
                    Output::RestoreCapacity,
                    Output::Log(
                        "upgrade: the old process ended before it stopped accepting".into(),
                    ),
                ]);
            }
            input => exchange_marks(input, out),
        }
    }

    fn handle_accepting(&mut self, input: Input, out: &mut Vec<Output>) {
        if input == Input::Disconnected {
            self.phase = Phase::Finished;
            out.extend([
                Output::RestoreCapacity,
                Output::Log("upgrade: the old process has ended".into()),
            ]);
        } else {
            exchange_marks(input, out);
        }
    }

    fn report_ready(&mut self, out: &mut Vec<Output>) {
        self.phase = Phase::AwaitingSwitch;
        out.push(Output::Send(Message::Ready));
    }

    fn end_process(&mut self, reason: RejectionReason, out: &mut Vec<Output>) {
        self.phase = Phase::Finished;
        out.extend([Output::CloseConnection, Output::EndProcess(reason)]);
    }

    fn close_and_bind(&mut self, reason: &str, out: &mut Vec<Output>) {
        out.push(Output::CloseConnection);
        self.bind(reason, out);
    }

    /// Continues without the old process.
    fn bind(&mut self, reason: &str, out: &mut Vec<Output>) {
        self.phase = Phase::Finished;
        out.extend([
            Output::Log(format!(
                "upgrade: {reason}; the new process opens its own listeners"
            )),
            Output::Bind,
        ]);
    }
}

/// Exchanges operators' out-of-service marks with the old process; ignores all other inputs.
fn exchange_marks(input: Input, out: &mut Vec<Output>) {
    match input {
        Input::Received(Message::Marked(mark)) => out.push(Output::ApplyMark(mark)),
        Input::Marked(mark) => out.push(Output::Send(Message::Marked(mark))),
        Input::Received(_) | Input::Disconnected | Input::Tick | Input::Prepared => {}
    }
}
