//! What of the gateway goes over to a new process, and what it does meanwhile.

use crate::node::Config;
use crate::operator::{Operator, SOCKET_PATH_BYTES};
use frosthatch_discovery as membership;
use frosthatch_engine::Engine;
use frosthatch_handover::driver::{Host, LocalEvent, LocalEventSender};
use frosthatch_handover::message::{Mark, State};
use frosthatch_http1::backend::Upstream;
use frosthatch_http1::server::HttpServer;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// The clients' listener, as it is called between the processes.
pub const CLIENTS: &str = "clients";

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

/// A mark as the processes tell it.
pub fn as_told(server: String, mark: membership::OperatorMark) -> Mark {
    Mark {
        server,
        out_ms: mark.out_ms,
        back_ms: mark.back_ms,
    }
}

pub struct Process {
    pub listener: Rc<TcpListener>,
    pub http_server: Rc<HttpServer>,
    pub upstream: Rc<Upstream>,
    pub servers: Rc<membership::EndpointRegistry>,
    /// Connections that clients may have, and those to servers, by all of the limits.
    pub clients: usize,
    pub to_servers: usize,
    /// Told when this process is to end.
    pub ends: Rc<Notify>,
}

impl Host for Process {
    fn listeners(&self) -> Vec<(String, OwnedFd)> {
        let lent = self.listener.as_fd().try_clone_to_owned();
        lent.map(|fd| (CLIENTS.to_string(), fd))
            .into_iter()
            .collect()
    }

    fn state(&self) -> State {
        let marks = self.servers.marks().into_iter();
        State {
            marks: marks.map(|(server, mark)| as_told(server, mark)).collect(),
        }
    }

    fn halve(&self, half: bool) {
        let of = |all: usize| if half { all / 2 } else { all };
        self.http_server.hold_to(of(self.clients));
        self.upstream.hold_to(of(self.to_servers));
    }

    fn accept(&self, yes: bool) {
        self.http_server.turn(yes);
    }

    fn end(&self) {
        self.ends.notify_one();
    }

    fn mark(&self, mark: Mark) {
        let (out_ms, back_ms) = (mark.out_ms, mark.back_ms);
        self.servers
            .set_mark(&mark.server, membership::OperatorMark { out_ms, back_ms });
    }
}

/// Tells once the gateway can serve.
pub async fn tell_prepared(engine: Rc<Engine>, tell: LocalEventSender) {
    while !engine.ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let _ = tell.send(LocalEvent::Prepared).await;
}
