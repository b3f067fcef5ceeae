//! The second phase of a handover in the new process: takes over accepting connections and waits for the end of the old
//! process.

use super::host::{Host, LocalEvent};
use super::inherited::Inherited;
use crate::target::{Input, Output, Phase};
use frosthatch_log::log_line;
use tokio::sync::mpsc;

/// The result of a handover in the new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Takeover {
    /// The handover is over and this process continues to serve, or the channel of local events was closed.
    Completed,
    /// The old process rejected the takeover and continues to serve; this process has to end.
    Rejected,
}

/// Completes a handover as the new process.
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
    while target.phase() != Phase::Finished {
        let input = tokio::select! {
            received = connection.receive() => received.map_or(Input::Disconnected, Input::Received),
            event = events.recv() => match event {
                Some(LocalEvent::Prepared) => Input::Prepared,
                Some(LocalEvent::Marked(mark)) => Input::Marked(mark),
                // On SIGTERM the new process takes no action; a tick has no effect in these phases.
                Some(LocalEvent::Terminate) => Input::Tick,
                None => return Takeover::Completed,
            },
        };
        target.handle(started.elapsed(), input, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                // A broken connection is detected by the next read.
                Output::Send(message) => drop(connection.send(&message, &[]).await),
                Output::StartAccepting => host.set_accepting(true),
                Output::RestoreCapacity => host.set_half_capacity(false),
                Output::ApplyMark(mark) => host.apply_mark(mark),
                Output::Log(line) => log_line!("{line}"),
                Output::EndProcess(reason) => {
                    log_line!("upgrade: {reason}; the old process continues to serve");
                    return Takeover::Rejected;
                }
                Output::CloseConnection | Output::Bind | Output::Adopt { .. } => {}
            }
        }
    }
    Takeover::Completed
}
