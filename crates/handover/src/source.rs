//! The side of the process that is there. Up to the switch it goes on as if nobody had called; after it, it accepts
//! again if the new one dies.

use crate::message::{Mark, Message, VERSION};
use std::time::Duration;

/// A new process is ready within this, or the way back is taken.
pub const PREPARES_WITHIN: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nobody has called.
    Alone,
    /// The listeners are lent to a new process, until that time (since the start).
    Offered(Duration),
    /// The new process accepts.
    Succeeded,
}

#[derive(Debug, PartialEq)]
pub enum Input {
    Heard(Message),
    /// The link has ended, for whatever reason.
    Left,
    /// Time goes on.
    Tick,
    /// SIGTERM.
    Terminate,
    /// An operator marked a server here.
    Marked(Mark),
}

#[derive(Debug, PartialEq)]
pub enum Output {
    Say(Message),
    /// Say `Welcome`, with the listeners and the state as they are now.
    Lend,
    /// End the link.
    HangUp,
    /// Hold to half of the limits, or to all.
    Halve(bool),
    Accept(bool),
    Mark(Mark),
    Log(&'static str),
}

#[derive(Debug)]
pub struct HandoverSource {
    stage: Stage,
    ending: bool,
}

impl Default for HandoverSource {
    fn default() -> Self {
        HandoverSource {
            stage: Stage::Alone,
            ending: false,
        }
    }
}

impl HandoverSource {
    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match (self.stage, input) {
            (_, Input::Terminate) => {
                self.ending = true;
                if matches!(self.stage, Stage::Offered(_)) {
                    // Nobody else accepts yet, and this one will not much longer.
                    out.push(Output::Log("upgrade: ends before the new process is ready"));
                }
            }
            (Stage::Alone, Input::Heard(Message::Hello { version, .. })) => {
                let why = if version.major != VERSION.major {
                    "another major version"
                } else if self.ending {
                    "this process is ending"
                } else {
                    self.stage = Stage::Offered(now + PREPARES_WITHIN);
                    out.extend([
                        Output::Halve(true),
                        Output::Lend,
                        Output::Log("upgrade: a new process calls"),
                    ]);
                    return;
                };
                out.extend([
                    Output::Say(Message::Refused { why: why.into() }),
                    Output::HangUp,
                ]);
            }
            (Stage::Offered(_), Input::Heard(Message::Ready)) => {
                self.stage = Stage::Succeeded;
                out.extend([Output::Accept(false), Output::Say(Message::Yours)]);
                out.push(Output::Log("upgrade: the new process accepts"));
            }
            (Stage::Offered(by), Input::Tick) if now >= by => {
                const WHY: &str = "upgrade: the new process was not ready in time";
                // Said before the link ends, so that it is not taken for this process's death.
                out.push(Output::Say(Message::Refused {
                    why: "not ready in time".into(),
                }));
                out.extend([Output::HangUp, Output::Log(WHY)]);
                self.alone(out);
            }
            (Stage::Offered(_), Input::Left) => {
                out.push(Output::Log(
                    "upgrade: the new process has gone before it was ready",
                ));
                self.alone(out);
            }
            (Stage::Succeeded, Input::Left) => {
                out.push(Output::Log("upgrade: the new process has gone"));
                self.alone(out);
            }
            (Stage::Offered(_) | Stage::Succeeded, Input::Heard(Message::Marked(mark))) => {
                out.push(Output::Mark(mark))
            }
            (Stage::Offered(_) | Stage::Succeeded, Input::Marked(mark)) => {
                out.push(Output::Say(Message::Marked(mark)))
            }
            // Said out of turn by a process that is wrong: nothing of it is believed.
            (_, Input::Heard(Message::Unknown)) => {}
            (Stage::Alone, Input::Heard(_)) => out.push(Output::HangUp),
            (_, Input::Heard(_) | Input::Left | Input::Tick | Input::Marked(_)) => {}
        }
    }

    /// The way back.
    fn alone(&mut self, out: &mut Vec<Output>) {
        let accepts = self.stage == Stage::Succeeded && !self.ending;
        self.stage = Stage::Alone;
        out.push(Output::Halve(false));
        out.extend(accepts.then_some(Output::Accept(true)));
    }
}
