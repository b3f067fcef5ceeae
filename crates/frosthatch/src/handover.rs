//! What of the gateway goes over to a new process, and what it does meanwhile.

use crate::node::Config;
use crate::operator::Operator;
use frosthatch_handover::driver::{Here, Host, Tell};
use frosthatch_handover::message::{Mark, State};
use frosthatch_http1::backend::Upstream;
use frosthatch_http1::front::Door;
use frosthatch_membership as membership;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;

/// The clients' listener, as it is called between the processes.
pub const CLIENTS: &str = "clients";
/// Longer paths are none of Unix sockets.
const SOCKET_PATH_BYTES: usize = 90;

/// Where this gateway's processes meet: where the operator's file says, or in the folder that the platform lets them
/// share where it replaces processes, which is where it has a place for operators' calls.
pub fn meeting_place(config: &Config, operator: &Operator) -> Option<PathBuf> {
    let shared = || {
        let folder = std::env::var_os("TMPDIR").filter(|_| config.console.is_some())?;
        let path = PathBuf::from(folder).join("frosthatch.sock");
        (path.as_os_str().len() <= SOCKET_PATH_BYTES).then_some(path)
    };
    operator.upgrade.clone().or_else(shared)
}

/// Listens for clients. Where processes are replaced another may listen there for a while, if it could not hand over.
pub fn listen(config: &Config, shared: bool) -> std::io::Result<TcpListener> {
    let socket = if config.listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(config.listen)?;
    socket.listen(1_024)
}

/// How many connections clients and servers may have, of all and of half of the limits.
pub struct Shares {
    pub clients: [usize; 2],
    pub to_servers: [usize; 2],
}

pub struct Process {
    pub listener: Rc<TcpListener>,
    pub door: Rc<Door>,
    pub upstream: Rc<Upstream>,
    pub servers: Rc<membership::Desk>,
    pub shares: Shares,
    /// Told when this process is to end.
    pub ends: Rc<Notify>,
}

impl Host for Process {
    fn listeners(&self) -> Vec<(String, OwnedFd)> {
        let lent = self.listener.as_fd().try_clone_to_owned();
        lent.map(|fd| (CLIENTS.to_string(), fd)).into_iter().collect()
    }

    fn state(&self) -> State {
        let marks = self.servers.marks().into_iter();
        let marks = marks.map(|(server, m)| Mark { server, out_ms: m.out_ms, back_ms: m.back_ms });
        State { marks: marks.collect() }
    }

    fn halve(&self, half: bool) {
        self.door.hold_to(self.shares.clients[usize::from(half)]);
        self.upstream.hold_to(self.shares.to_servers[usize::from(half)]);
    }

    fn accept(&self, yes: bool) {
        self.door.turn(yes);
    }

    fn end(&self) {
        self.ends.notify_one();
    }

    fn mark(&self, mark: Mark) {
        let (out_ms, back_ms) = (mark.out_ms, mark.back_ms);
        self.servers.set_mark(&mark.server, membership::Mark { out_ms, back_ms });
    }
}

/// Tells once the gateway can serve.
pub async fn tell_prepared(door: Rc<Door>, tell: Tell) {
    while !door.prepared() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let _ = tell.send(Here::Prepared).await;
}
