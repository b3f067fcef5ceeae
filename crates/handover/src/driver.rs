//! The sockets of a handover: the one that a running process is called on, and the link between the two.

use crate::message::{Mark, Message, State, VERSION};
use crate::pipe::Pipe;
use crate::source::{self, HandoverSource};
use crate::target::{self, HandoverTarget};
use frosthatch_log::log_line;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

/// How often time is told to the steps.
const TICK: Duration = Duration::from_millis(100);
/// A stranger's or a second caller's first words are not waited for; an answer to it is written within this.
const REFUSES_WITHIN: Duration = Duration::from_millis(500);
/// A caller says hello within this.
const SPEAKS_WITHIN: Duration = Duration::from_secs(1);
/// Marks that wait to be told at most.
const MOST_WAITING: usize = 256;

/// What a process that takes part in a handover does.
pub trait Host {
    /// The listeners that can be lent, by name.
    fn listeners(&self) -> Vec<(String, OwnedFd)>;
    fn state(&self) -> State;
    /// Holds to half of the limits, or to all.
    fn halve(&self, half: bool);
    fn accept(&self, yes: bool);
    fn mark(&self, mark: Mark);
    /// Ends: another process serves on.
    fn end(&self);
}

/// What happens in this process that the other side must hear of.
pub enum LocalEvent {
    Terminate,
    Marked(Mark),
    /// It is ready to serve.
    Prepared,
}

pub type LocalEventSender = mpsc::Sender<LocalEvent>;

pub fn telling() -> (LocalEventSender, mpsc::Receiver<LocalEvent>) {
    mpsc::channel(MOST_WAITING)
}

/// What a new process has got from the old one.
pub struct Inherited {
    pub listeners: Vec<(String, TcpListener)>,
    pub state: State,
    heir: HandoverTarget,
    pipe: Pipe,
    since: Instant,
}

impl Inherited {
    /// The listener of this name, if it stands at this address (port 0: any).
    pub fn listener(&self, name: &str, at: SocketAddr) -> Option<io::Result<TcpListener>> {
        let (_, listener) = self.listeners.iter().find(|(n, _)| n == name)?;
        let there = listener.local_addr().ok()?;
        let same = there.ip() == at.ip() && (at.port() == 0 || there.port() == at.port());
        same.then(|| listener.try_clone())
    }
}

/// Calls the process that is there, if one is: none if this one has to listen by itself.
pub async fn inherit(path: &Path) -> Option<Inherited> {
    let stream = UnixStream::connect(path).await.ok()?;
    let (pipe, since) = (Pipe::new(stream), Instant::now());
    let mut steps = Vec::new();
    let mut heir = HandoverTarget::new(since.elapsed(), std::process::id(), &mut steps);
    loop {
        for step in steps.drain(..) {
            match step {
                target::Output::Say(message) => drop(pipe.say(&message, &[]).await),
                target::Output::Log(line) => log_line!("{line}"),
                target::Output::Adopt(names, state) => {
                    let fds = pipe.lent();
                    if fds.len() != names.len() {
                        log_line!("upgrade: {} listeners of {} came", fds.len(), names.len());
                        return None;
                    }
                    let listeners = names
                        .into_iter()
                        .zip(fds.into_iter().map(TcpListener::from))
                        .collect();
                    return Some(Inherited {
                        listeners,
                        state,
                        heir,
                        pipe,
                        since,
                    });
                }
                target::Output::Bind => return None,
                _ => {}
            }
        }
        let input = tokio::select! {
            heard = pipe.hear() => heard.map_or(target::Input::Left, target::Input::Heard),
            () = sleep(TICK) => target::Input::Tick,
        };
        heir.handle(since.elapsed(), input, &mut steps);
    }
}

/// Goes through the rest of a handover as the new process, and returns once it is alone; false: it is to end.
async fn succeed(
    inherited: Inherited,
    host: &dyn Host,
    here: &mut mpsc::Receiver<LocalEvent>,
) -> bool {
    let Inherited {
        mut heir,
        pipe,
        since,
        ..
    } = inherited;
    let mut steps = Vec::new();
    while heir.stage() != target::Stage::Alone {
        let input = tokio::select! {
            heard = pipe.hear() => heard.map_or(target::Input::Left, target::Input::Heard),
            told = here.recv() => match told {
                Some(LocalEvent::Prepared) => target::Input::Prepared,
                Some(LocalEvent::Marked(mark)) => target::Input::Marked(mark),
                Some(LocalEvent::Terminate) => target::Input::Tick,
                None => return true,
            },
        };
        heir.handle(since.elapsed(), input, &mut steps);
        for step in steps.drain(..) {
            match step {
                // A link that breaks is heard of as its end.
                target::Output::Say(message) => drop(pipe.say(&message, &[]).await),
                target::Output::Accept => host.accept(true),
                target::Output::Whole => host.halve(false),
                target::Output::Mark(mark) => host.mark(mark),
                target::Output::Log(line) => log_line!("{line}"),
                target::Output::GiveUp(why) => {
                    log_line!("upgrade: {why}; the old process serves on");
                    return false;
                }
                target::Output::HangUp | target::Output::Bind | target::Output::Adopt(..) => {}
            }
        }
    }
    true
}

/// A socket under this path that only the owner reaches. It appears whole, in place of the one that was there.
fn listen(path: &Path) -> io::Result<UnixListener> {
    let new = path.with_extension(format!("new-{}", std::process::id()));
    let _ = std::fs::remove_file(&new);
    let listener = UnixListener::bind(&new)?;
    std::fs::set_permissions(&new, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(&new, path)?;
    Ok(listener)
}

/// Takes part for good: first as the new process, if it has inherited, then as one that others may take over from.
pub async fn run(
    path: PathBuf,
    inherited: Option<Inherited>,
    host: Rc<dyn Host>,
    mut here: mpsc::Receiver<LocalEvent>,
) {
    if let Some(inherited) = inherited {
        if !succeed(inherited, &*host, &mut here).await {
            return host.end();
        }
    }
    let listener = match listen(&path) {
        Ok(listener) => listener,
        Err(e) => return log_line!("upgrade: cannot listen on {}: {e}", path.display()),
    };
    let (mut elder, since) = (HandoverSource::default(), Instant::now());
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut link: Option<(Pipe, Instant)> = None;
    let mut steps = Vec::new();
    loop {
        let hear = async {
            match &link {
                Some((pipe, _)) => pipe
                    .hear()
                    .await
                    .map_or(source::Input::Left, source::Input::Heard),
                None => std::future::pending().await,
            }
        };
        let input = tokio::select! {
            called = listener.accept() => match called {
                Ok((stream, _)) => {
                    called_by(stream, &mut link);
                    continue;
                }
                Err(_) => {
                    sleep(TICK).await;
                    continue;
                }
            },
            input = hear => input,
            told = here.recv() => match told {
                Some(LocalEvent::Terminate) => source::Input::Terminate,
                Some(LocalEvent::Marked(mark)) => source::Input::Marked(mark),
                Some(LocalEvent::Prepared) => continue,
                None => return,
            },
            // Not a pause that begins anew: callers must not hold time up.
            _ = ticks.tick(), if link.is_some() => source::Input::Tick,
        };
        let left = input == source::Input::Left;
        elder.handle(since.elapsed(), input, &mut steps);
        for step in steps.drain(..) {
            match (step, link.as_ref().map(|(pipe, _)| pipe)) {
                (source::Output::Say(message), Some(pipe)) => drop(pipe.say(&message, &[]).await),
                (source::Output::Lend, Some(pipe)) => {
                    let (listeners, fds): (_, Vec<OwnedFd>) = host.listeners().into_iter().unzip();
                    let welcome = Message::Welcome {
                        version: VERSION,
                        listeners,
                        state: host.state(),
                    };
                    drop(pipe.say(&welcome, &fds).await);
                }
                (source::Output::HangUp, _) => link = None,
                (source::Output::Halve(half), _) => host.halve(half),
                (source::Output::Accept(yes), _) => host.accept(yes),
                (source::Output::Mark(mark), _) => host.mark(mark),
                (source::Output::Log(line), _) => log_line!("{line}"),
                (source::Output::Say(_) | source::Output::Lend, None) => {}
            }
        }
        // Guards against a caller that holds the link and says nothing.
        let idle = link
            .as_ref()
            .is_some_and(|(_, since)| since.elapsed() >= SPEAKS_WITHIN);
        if left || idle && elder.stage() == source::Stage::Alone {
            link = None;
        }
    }
}

/// Somebody calls: the first is linked, if it runs as the same user; others hear why not.
fn called_by(stream: UnixStream, link: &mut Option<(Pipe, Instant)>) {
    let own = rustix::process::geteuid().as_raw();
    let why = match stream.peer_cred() {
        Ok(peer) if peer.uid() == own && link.is_none() => {
            *link = Some((Pipe::new(stream), Instant::now()));
            return;
        }
        Ok(peer) if peer.uid() == own => "another upgrade is under way",
        _ => "not the owner",
    };
    let refused = Message::Refused { why: why.into() };
    tokio::task::spawn_local(async move {
        let _ = timeout(REFUSES_WITHIN, Pipe::new(stream).say(&refused, &[])).await;
    });
}
