//! The interface to the process that takes part in a handover.

use crate::message::{Mark, State};
use std::os::fd::OwnedFd;
use tokio::sync::mpsc;

/// Events that may wait for the driver, at most.
const MAX_QUEUED_EVENTS: usize = 256;

/// What a process does for a handover.
pub trait Host {
    /// Duplicates of the listeners that a new process can adopt, with their names.
    fn listeners(&self) -> Vec<(String, OwnedFd)>;
    /// The state that a new process adopts.
    fn state(&self) -> State;
    /// Keeps to half of the connection limits, or uses all of them.
    fn set_halved(&self, is_halved: bool);
    /// Starts or stops accepting client connections.
    fn accept(&self, is_accepting: bool);
    /// Applies an operator's mark from the other process.
    fn mark(&self, mark: Mark);
    /// Ends this process, as the other one continues to serve.
    fn end(&self);
}

/// An event in this process that the other one has to know of.
pub enum LocalEvent {
    /// This process has to end soon (SIGTERM).
    Terminate,
    /// An operator marked a server.
    Marked(Mark),
    /// This process can serve.
    Prepared,
}

/// Sends the events of this process to the driver.
pub type LocalEventSender = mpsc::Sender<LocalEvent>;

/// Creates the channel for the events of this process.
pub fn local_events() -> (LocalEventSender, mpsc::Receiver<LocalEvent>) {
    mpsc::channel(MAX_QUEUED_EVENTS)
}
