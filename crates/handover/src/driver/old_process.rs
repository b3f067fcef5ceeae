//! The driver of the old process: listens for new processes and hands over to one at a time.

use super::host::{Host, LocalEvent};
use super::tick::TICK_INTERVAL;
use crate::connection::Connection;
use crate::message::{Message, VERSION};
use crate::rejection::RejectionReason;
use crate::source::{HandoverSource, Input, Output, Phase};
use frosthatch_log::log_line;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{interval, sleep, timeout, Instant, Interval, MissedTickBehavior};

/// Timeout for sending a rejection.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Time within which a new process has to send [`Message::Hello`].
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// The connection to a new process.
struct Peer {
    pid: u32,
    connection: Connection,
    connected_at: Instant,
}

/// An event that the driver handles.
enum Event {
    /// A process connected to the socket.
    Connected(UnixStream),
    /// Accepting a connection failed.
    AcceptFailed,
    /// An input for the state machine occurred.
    Input(Input),
    /// An event occurred that does not concern the old process.
    Ignored,
    /// The channel of local events is closed: this process takes part in no more handovers.
    Closed,
}

/// The driver of the old process and the connection to a new process, if there is one.
pub(super) struct OldProcess {
    listener: UnixListener,
    host: Rc<dyn Host>,
    source: HandoverSource,
    started: Instant,
    peer: Option<Peer>,
}

impl OldProcess {
    pub(super) fn listen(path: &Path, host: Rc<dyn Host>) -> io::Result<OldProcess> {
        let listener = bind_owner_only(path)?;
        Ok(OldProcess {
            listener,
            host,
            source: HandoverSource::default(),
            started: Instant::now(),
            peer: None,
        })
    }

    /// Handles handovers to new processes until `events` is closed.
    pub(super) async fn run(mut self, mut events: mpsc::Receiver<LocalEvent>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            match self.next_event(&mut ticks, &mut events).await {
                Event::Connected(stream) => self.admit(stream),
                Event::AcceptFailed => sleep(TICK_INTERVAL).await,
                Event::Input(input) => self.handle(input).await,
                Event::Ignored => {}
                Event::Closed => return,
            }
        }
    }

    async fn next_event(
        &self,
        ticks: &mut Interval,
        events: &mut mpsc::Receiver<LocalEvent>,
    ) -> Event {
        tokio::select! {
            // The end of a peer that has gone is handled before the next process is admitted, which is rejected otherwise.
            biased;
            input = self.receive() => Event::Input(input),
            accepted = self.listener.accept() => match accepted {
                Ok((stream, _)) => Event::Connected(stream),
                Err(_) => Event::AcceptFailed,
            },
            event = events.recv() => match event {
                Some(LocalEvent::Terminate) => Event::Input(Input::Terminate),
                Some(LocalEvent::Marked(mark)) => Event::Input(Input::Marked(mark)),
                Some(LocalEvent::Prepared) => Event::Ignored,
                None => Event::Closed,
            },
            // Uses an interval because a sleep would start again after every event, such as a connection attempt.
            _ = ticks.tick(), if self.peer.is_some() => Event::Input(Input::Tick),
        }
    }

    async fn receive(&self) -> Input {
        match &self.peer {
            Some(peer) => {
                let received = peer.connection.receive().await;
                received.map_or(Input::Disconnected, Input::Received)
            }
            None => std::future::pending().await,
        }
    }

    async fn handle(&mut self, input: Input) {
        let is_disconnected = input == Input::Disconnected;
        let mut outputs = Vec::new();
        self.source
            .handle(self.started.elapsed(), input, &mut outputs);
        for output in outputs {
            self.perform(output).await;
        }
        if is_disconnected || self.is_hello_overdue() {
            self.peer = None;
        }
    }

    /// Returns whether the peer has not sent [`Message::Hello`] within [`HELLO_TIMEOUT`].
    fn is_hello_overdue(&self) -> bool {
        self.source.phase() == Phase::Idle
            && self
                .peer
                .as_ref()
                .is_some_and(|peer| peer.connected_at.elapsed() >= HELLO_TIMEOUT)
    }

    async fn perform(&mut self, output: Output) {
        match output {
            Output::Send(message) => self.send(&message, &[]).await,
            Output::SendWelcome => self.send_welcome().await,
            Output::CloseConnection => self.peer = None,
            Output::HalveCapacity => self.host.set_half_capacity(true),
            Output::RestoreCapacity => self.host.set_half_capacity(false),
            Output::StartAccepting => self.host.set_accepting(true),
            Output::StopAccepting => self.host.set_accepting(false),
            Output::ApplyMark(mark) => self.host.apply_mark(mark),
            Output::Log(line) => log_line!("{line}"),
        }
    }

    async fn send_welcome(&self) {
        if self.peer.is_none() {
            return;
        }
        let (listeners, descriptors): (_, Vec<OwnedFd>) = self.host.listeners().into_iter().unzip();
        let welcome = Message::Welcome {
            version: VERSION,
            listeners,
            state: self.host.state(),
        };
        self.send(&welcome, &descriptors).await;
    }

    async fn send(&self, message: &Message, descriptors: &[OwnedFd]) {
        if let Some(peer) = &self.peer {
            // A broken connection is detected by the next read.
            let _ = peer.connection.send(message, descriptors).await;
        }
    }

    /// Accepts the connection as the peer if it comes from the same user and there is no other peer; rejects it
    /// otherwise.
    fn admit(&mut self, stream: UnixStream) {
        let own_uid = rustix::process::geteuid().as_raw();
        let is_same_user = stream
            .peer_cred()
            .is_ok_and(|credentials| credentials.uid() == own_uid);
        if !is_same_user {
            reject(
                stream,
                "the connecting user is not the owner of the old process".into(),
            );
        } else if self.peer.is_some() {
            let new_pid = self.peer.as_ref().map_or(0, |peer| peer.pid);
            reject(
                stream,
                RejectionReason::upgrade_in_progress(std::process::id(), new_pid),
            );
        } else {
            self.peer = Some(Peer {
                pid: peer_pid(&stream),
                connection: Connection::new(stream),
                connected_at: Instant::now(),
            });
        }
    }
}

/// Returns the process id of the connecting process; 0 if it is unknown.
fn peer_pid(stream: &UnixStream) -> u32 {
    let credentials = stream.peer_cred().ok();
    let pid = credentials.and_then(|credentials| credentials.pid());
    pid.and_then(|pid| u32::try_from(pid).ok()).unwrap_or(0)
}

fn reject(stream: UnixStream, reason: RejectionReason) {
    let rejection = Message::Rejected { reason };
    tokio::task::spawn_local(async move {
        let connection = Connection::new(stream);
        let _ = timeout(REJECTION_TIMEOUT, connection.send(&rejection, &[])).await;
    });
}

/// Binds a listener that only the owner can connect to. It atomically replaces an existing socket at `path`.
fn bind_owner_only(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(format!("new-{}", std::process::id()));
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(&temporary, path)?;
    Ok(listener)
}
