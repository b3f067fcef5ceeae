//! The second part of a handover in the new process: switches over and then waits for the end of the old one.

use super::host::{Host, LocalEvent};
use super::inherited::Inherited;
use crate::target::{Input, Output, Stage};
use frosthatch_log::log_line;
use tokio::sync::mpsc;

/// How a handover ended in the new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Takeover {
    /// This process serves alone.
    Completed,
    /// The old process continues to serve, and this one has to end.
    GivenUp,
}

/// Goes through the rest of a handover as the new process.
pub(super) async fn complete_takeover(
    inherited: Inherited,
    host: &dyn Host,
    events: &mut mpsc::Receiver<LocalEvent>,
) -> Takeover {
    let Inherited {
        mut target,
        connection,
        started,
        ..
    } = inherited;
    let mut outputs = Vec::new();
    while target.stage() != Stage::Alone {
        let input = tokio::select! {
            received = connection.receive() => received.map_or(Input::Disconnected, Input::Received),
            event = events.recv() => match event {
                Some(LocalEvent::Prepared) => Input::Prepared,
                Some(LocalEvent::Marked(mark)) => Input::Marked(mark),
                Some(LocalEvent::Terminate) => Input::Tick,
                None => return Takeover::Completed,
            },
        };
        target.handle(started.elapsed(), input, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                // A broken connection is noticed when it is read.
                Output::Send(message) => drop(connection.send(&message, &[]).await),
                Output::StartAccepting => host.accept(true),
                Output::RestoreCapacity => host.set_halved(false),
                Output::ApplyMark(mark) => host.mark(mark),
                Output::Log(line) => log_line!("{line}"),
                Output::GiveUp(reason) => {
                    log_line!("upgrade: {reason}; the old process serves on");
                    return Takeover::GivenUp;
                }
                Output::CloseConnection | Output::Bind | Output::Adopt { .. } => {}
            }
        }
    }
    Takeover::Completed
}
