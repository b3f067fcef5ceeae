//! The state machine of the new process.
//!
//! ```text
//! Joining --Welcome--> Preparing --prepared--> AwaitingSwitch --StoppedAccepting--> Accepting
//!    |                     |                         |                                  |
//!    '---------------------'------ disconnect, rejection --------> Alone <--------------'
//! ```

use crate::message::{Mark, Message, State, Version, VERSION};
use std::time::Duration;

/// An old process that does not answer within this time is ignored.
pub const WELCOME_TIMEOUT: Duration = Duration::from_secs(1);

/// How far the handover is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for the answer of the old process.
    Joining {
        /// The answer has to come by then, in time since the start.
        deadline: Duration,
    },
    /// It has the listeners and does not accept connections yet.
    Preparing,
    /// It could accept connections, and waits until the old process does not.
    AwaitingSwitch,
    /// It accepts connections; the old process still serves those that it has.
    Accepting,
    /// There is no old process, or none that it could replace.
    Alone,
}

/// An event for the state machine.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// The old process sent a message.
    Received(Message),
    /// The connection has ended, for any reason.
    Disconnected,
    /// Some time has passed.
    Tick,
    /// This process can serve.
    Prepared,
    /// An operator marked a server in this process.
    Marked(Mark),
}

/// An action for the driver.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a message to the old process.
    Send(Message),
    /// Close the connection.
    CloseConnection,
    /// Adopt what came with [`Message::Welcome`].
    Adopt {
        /// The names of the listeners, in the order of their descriptors.
        listeners: Vec<String>,
        /// The state of the old process.
        state: State,
    },
    /// Open own listeners, as there is nothing to adopt.
    Bind,
    /// Accept client connections.
    StartAccepting,
    /// End this process for this reason: the old process continues to serve.
    GiveUp(String),
    /// Use all of the connection limits.
    RestoreCapacity,
    /// Apply an operator's mark.
    ApplyMark(Mark),
    /// Write a line to the log.
    Log(String),
}

/// The state of the new process.
#[derive(Debug)]
pub struct HandoverTarget {
    stage: Stage,
    is_prepared: bool,
}

impl HandoverTarget {
    /// Starts at `now`, the time since the start, and appends the first message to `out`.
    pub fn new(now: Duration, pid: u32, out: &mut Vec<Output>) -> HandoverTarget {
        out.push(Output::Send(Message::Hello {
            version: VERSION,
            pid,
        }));
        HandoverTarget {
            stage: Stage::Joining {
                deadline: now + WELCOME_TIMEOUT,
            },
            is_prepared: false,
        }
    }

    /// How far the handover is.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Handles an input at `now`, the time since the start, and appends the actions to `out`.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match self.stage {
            Stage::Joining { deadline } => self.handle_joining(now, deadline, input, out),
            Stage::Preparing | Stage::AwaitingSwitch => self.handle_before_switch(input, out),
            Stage::Accepting => self.handle_accepting(input, out),
            Stage::Alone => {}
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
            Input::Received(Message::Rejected { reason }) => self.leave_and_bind(&reason, out),
            Input::Received(_) => self.leave_and_bind("the old process makes no sense", out),
            Input::Tick if now >= deadline => {
                self.leave_and_bind("the old process does not answer", out);
            }
            Input::Disconnected => self.bind("the old process has gone", out),
            Input::Prepared => self.is_prepared = true,
            Input::Tick | Input::Marked(_) => {}
        }
    }

    fn adopt(
        &mut self,
        version: Version,
        listeners: Vec<String>,
        state: State,
        out: &mut Vec<Output>,
    ) {
        if version.major != VERSION.major {
            return self.leave_and_bind("the old process is of another major version", out);
        }
        self.stage = Stage::Preparing;
        out.push(Output::Adopt { listeners, state });
        if self.is_prepared {
            self.request_switch(out);
        }
    }

    fn handle_before_switch(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Prepared if self.stage == Stage::Preparing => self.request_switch(out),
            Input::Received(Message::StoppedAccepting) if self.stage == Stage::AwaitingSwitch => {
                self.stage = Stage::Accepting;
                out.push(Output::StartAccepting);
            }
            Input::Received(Message::Rejected { reason }) => {
                self.stage = Stage::Alone;
                out.extend([Output::CloseConnection, Output::GiveUp(reason)]);
            }
            // No other process accepts connections, so this one does even if it is not prepared yet.
            Input::Disconnected => {
                self.stage = Stage::Alone;
                out.extend([
                    Output::StartAccepting,
                    Output::RestoreCapacity,
                    Output::Log("upgrade: the old process has gone before the switch".into()),
                ]);
            }
            other => exchange_mark(other, out),
        }
    }

    fn handle_accepting(&mut self, input: Input, out: &mut Vec<Output>) {
        if input == Input::Disconnected {
            self.stage = Stage::Alone;
            out.extend([
                Output::RestoreCapacity,
                Output::Log("upgrade: the old process has ended".into()),
            ]);
        } else {
            exchange_mark(input, out);
        }
    }

    fn request_switch(&mut self, out: &mut Vec<Output>) {
        self.stage = Stage::AwaitingSwitch;
        out.push(Output::Send(Message::Ready));
    }

    fn leave_and_bind(&mut self, reason: &str, out: &mut Vec<Output>) {
        out.push(Output::CloseConnection);
        self.bind(reason, out);
    }

    /// Starts without the old process.
    fn bind(&mut self, reason: &str, out: &mut Vec<Output>) {
        self.stage = Stage::Alone;
        out.extend([
            Output::Log(format!("upgrade: {reason}; listens by itself")),
            Output::Bind,
        ]);
    }
}

/// Marks go both ways while both processes serve; other inputs are ignored.
fn exchange_mark(input: Input, out: &mut Vec<Output>) {
    match input {
        Input::Received(Message::Marked(mark)) => out.push(Output::ApplyMark(mark)),
        Input::Marked(mark) => out.push(Output::Send(Message::Marked(mark))),
        Input::Received(_) | Input::Disconnected | Input::Tick | Input::Prepared => {}
    }
}
