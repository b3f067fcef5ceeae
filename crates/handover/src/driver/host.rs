//! The interface between the driver and its host process.

use crate::message::{Mark, TransferredState};
use std::os::fd::OwnedFd;
use tokio::sync::mpsc;

/// Maximum number of events queued for the driver.
const MAX_QUEUED_EVENTS: usize = 256;

/// The operations of the host process that a handover uses.
pub trait Host {
    /// Returns the names and duplicates of the listeners that a new process can adopt.
    fn listeners(&self) -> Vec<(String, OwnedFd)>;
    /// Returns the state that a new process adopts.
    fn state(&self) -> TransferredState;
    /// Sets whether the process uses half of its connection limits or all of them.
    fn set_half_capacity(&self, is_halved: bool);
    /// Sets whether the process accepts client connections.
    fn set_accepting(&self, is_accepting: bool);
    /// Applies an operator's out-of-service mark that the other process sent.
    fn apply_mark(&self, mark: Mark);
    /// Ends this process because the old process continues to serve.
    fn shut_down(&self);
}

/// An event in this process that affects the handover.
pub enum LocalEvent {
    /// This process received SIGTERM and will end soon.
    Terminate,
    /// An operator marked a server in this process.
    Marked(Mark),
    /// This process is ready to serve requests.
    Prepared,
}

/// The sender of the channel for the events of this process.
pub type LocalEventSender = mpsc::Sender<LocalEvent>;

/// Creates the channel for the events of this process.
pub fn local_events() -> (LocalEventSender, mpsc::Receiver<LocalEvent>) {
    mpsc::channel(MAX_QUEUED_EVENTS)
}
