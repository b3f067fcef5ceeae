//! The side of the new process.

use crate::message::{Mark, Message, State, VERSION};
use std::time::Duration;

/// A process that is there answers within this: its loop turns in milliseconds.
pub const WELCOME_WITHIN: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Joining(Duration),
    /// It has the listeners and does not accept yet.
    Preparing,
    /// It could accept, and waits until the old one does not.
    Asking,
    /// It accepts; the old one may still be there.
    Switched,
    /// Nobody is there beside it.
    Alone,
}

#[derive(Debug, PartialEq)]
pub enum Input {
    Heard(Message),
    /// The link has ended.
    Left,
    Tick,
    /// All is there that it takes to serve.
    Prepared,
    /// An operator marked a server here.
    Marked(Mark),
}

#[derive(Debug, PartialEq)]
pub enum Output {
    Say(Message),
    HangUp,
    /// Take these over, in the order in which their descriptors came.
    Adopt(Vec<String>, State),
    /// There is nothing to take over: listen by oneself.
    Bind,
    Accept,
    /// The old one has taken the way back and serves: end.
    GiveUp(String),
    /// All of the limits are its own.
    Whole,
    Mark(Mark),
    Log(String),
}

#[derive(Debug)]
pub struct HandoverTarget {
    stage: Stage,
    prepared: bool,
}

impl HandoverTarget {
    /// Calls the process that is there.
    pub fn new(now: Duration, pid: u32, out: &mut Vec<Output>) -> HandoverTarget {
        out.push(Output::Say(Message::Hello {
            version: VERSION,
            pid,
        }));
        HandoverTarget {
            stage: Stage::Joining(now + WELCOME_WITHIN),
            prepared: false,
        }
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match (self.stage, input) {
            (
                Stage::Joining(_),
                Input::Heard(Message::Welcome {
                    version,
                    listeners,
                    state,
                }),
            ) => {
                if version.major != VERSION.major {
                    return self.bind("the old process is of another major version", true, out);
                }
                self.stage = Stage::Preparing;
                out.push(Output::Adopt(listeners, state));
                if self.prepared {
                    self.switch(out);
                }
            }
            (Stage::Joining(_), Input::Heard(Message::Refused { why })) => {
                self.bind(&why, true, out)
            }
            (Stage::Joining(by), Input::Tick) if now >= by => {
                self.bind("the old process does not answer", true, out)
            }
            (Stage::Joining(_), Input::Left) => self.bind("the old process has gone", false, out),
            (Stage::Joining(_), Input::Heard(_)) => {
                self.bind("the old process makes no sense", true, out)
            }
            (Stage::Preparing, Input::Prepared) => self.switch(out),
            (_, Input::Prepared) => self.prepared = true,
            (Stage::Asking, Input::Heard(Message::Yours)) => {
                self.stage = Stage::Switched;
                out.push(Output::Accept);
            }
            (Stage::Preparing | Stage::Asking, Input::Heard(Message::Refused { why })) => {
                self.stage = Stage::Alone;
                out.extend([Output::HangUp, Output::GiveUp(why)]);
            }
            // Nobody accepts but this one: it does so as it is, and gets ready meanwhile.
            (Stage::Preparing | Stage::Asking, Input::Left) => {
                self.stage = Stage::Alone;
                out.extend([Output::Accept, Output::Whole]);
                out.push(Output::Log(
                    "upgrade: the old process has gone before the switch".into(),
                ));
            }
            (Stage::Switched, Input::Left) => {
                self.stage = Stage::Alone;
                out.extend([
                    Output::Whole,
                    Output::Log("upgrade: the old process has ended".into()),
                ]);
            }
            (
                Stage::Preparing | Stage::Asking | Stage::Switched,
                Input::Heard(Message::Marked(mark)),
            ) => out.push(Output::Mark(mark)),
            (Stage::Preparing | Stage::Asking | Stage::Switched, Input::Marked(mark)) => {
                out.push(Output::Say(Message::Marked(mark)))
            }
            (_, Input::Heard(_) | Input::Left | Input::Tick | Input::Marked(_)) => {}
        }
    }

    fn switch(&mut self, out: &mut Vec<Output>) {
        self.stage = Stage::Asking;
        out.push(Output::Say(Message::Ready));
    }

    fn bind(&mut self, why: &str, linked: bool, out: &mut Vec<Output>) {
        self.stage = Stage::Alone;
        out.extend(linked.then_some(Output::HangUp));
        out.extend([
            Output::Log(format!("upgrade: {why}; listens by itself")),
            Output::Bind,
        ]);
    }
}
