//! The first phase of a handover in the new process: receives the listeners and the state of the old process.

use super::tick::TICK_INTERVAL;
use crate::connection::Connection;
use crate::message::TransferredState;
use crate::rejection::RejectionReason;
use crate::target::{HandoverTarget, Input, Output};
use frosthatch_log::log_line;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use tokio::net::UnixStream;
use tokio::time::{sleep, Instant};

/// The listeners and the state received from the old process, and the handover in progress.
pub struct Inherited {
    /// The names and the listeners received from the old process.
    pub listeners: Vec<(String, TcpListener)>,
    /// The state of the old process.
    pub state: TransferredState,
    pub(super) target: HandoverTarget,
    pub(super) connection: Connection,
    pub(super) started: Instant,
}

impl Inherited {
    /// Returns a duplicate of the listener with this name; `None` if there is none or if it is not bound to
    /// `address`. Port 0 in `address` matches any port.
    pub fn listener(&self, name: &str, address: SocketAddr) -> Option<io::Result<TcpListener>> {
        let (_, listener) = self.listeners.iter().find(|(other, _)| other == name)?;
        let bound = listener.local_addr().ok()?;
        let is_same_port = address.port() == 0 || bound.port() == address.port();
        let is_same_address = bound.ip() == address.ip() && is_same_port;
        is_same_address.then(|| listener.try_clone())
    }
}

/// Connects to the old process at `path` and receives its listeners and state. Returns `None` if this process has to
/// open its own listeners.
///
/// # Errors
/// Returns the reason if the old process goes on serving and this one has to end.
pub async fn inherit(path: &Path) -> Result<Option<Inherited>, RejectionReason> {
    let Ok(stream) = UnixStream::connect(path).await else {
        return Ok(None);
    };
    let connection = Connection::new(stream);
    let started = Instant::now();
    let mut outputs = Vec::new();
    let mut target = HandoverTarget::new(started.elapsed(), std::process::id(), &mut outputs);
    loop {
        for output in outputs.drain(..) {
            match output {
                Output::Send(message) => drop(connection.send(&message, &[]).await),
                Output::Log(line) => log_line!("{line}"),
                Output::Adopt { listeners, state } => {
                    let listeners = received_listeners(&connection, listeners);
                    return Ok(listeners.map(|listeners| Inherited {
                        listeners,
                        state,
                        target,
                        connection,
                        started,
                    }));
                }
                Output::Bind => return Ok(None),
                Output::EndProcess(reason) => return Err(reason),
                _ => {}
            }
        }
        let input = tokio::select! {
            received = connection.receive() => received.map_or(Input::Disconnected, Input::Received),
            () = sleep(TICK_INTERVAL) => Input::Tick,
        };
        target.handle(started.elapsed(), input, &mut outputs);
    }
}

/// Pairs the received descriptors with the names. Returns `None` unless there are as many descriptors as names.
fn received_listeners(
    connection: &Connection,
    names: Vec<String>,
) -> Option<Vec<(String, TcpListener)>> {
    let descriptors = connection.take_descriptors();
    if descriptors.len() != names.len() {
        log_line!(
            "upgrade: received {} descriptors for {} listeners",
            descriptors.len(),
            names.len()
        );
        return None;
    }
    let listeners = descriptors.into_iter().map(TcpListener::from);
    Some(names.into_iter().zip(listeners).collect())
}
