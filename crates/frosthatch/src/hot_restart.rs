//! Hot restart: what of the gateway passes to a new process, and what it does meanwhile.

use crate::operator_config::{OperatorConfig, MAX_SOCKET_PATH_BYTES};
use crate::platform_config::PlatformConfig;
use frosthatch_discovery::{EndpointRegistry, OperatorMark};
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

/// The name of the clients' listener between the processes.
pub const CLIENT_LISTENER: &str = "clients";
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The Unix socket where this gateway's processes meet: as the operator's file says, or in the folder that the platform
/// lets them share where it replaces processes, which is where it has a place for the admin API.
pub fn socket_path(platform: &PlatformConfig, operator: &OperatorConfig) -> Option<PathBuf> {
    let shared = || {
        let folder = std::env::var_os("TMPDIR").filter(|_| platform.admin.is_some())?;
        let path = PathBuf::from(folder).join("frosthatch.sock");
        (path.as_os_str().len() <= MAX_SOCKET_PATH_BYTES).then_some(path)
    };
    operator.upgrade.clone().or_else(shared)
}

/// An operator's mark in the form in which processes pass it.
pub fn transferred_mark(server: String, mark: OperatorMark) -> Mark {
    Mark {
        server,
        out_ms: mark.out_ms,
        back_ms: mark.back_ms,
    }
}

/// The gateway's parts that a hot restart works on.
pub struct RestartHost {
    /// The clients' listener.
    pub listener: Rc<TcpListener>,
    /// The clients' side.
    pub http_server: Rc<HttpServer>,
    /// The servers' side.
    pub upstream: Rc<Upstream>,
    /// The endpoints and the operators' marks on them.
    pub endpoints: Rc<EndpointRegistry>,
    /// Connections that clients may have, by all limits.
    pub max_client_connections: usize,
    /// Connections to servers, by all limits.
    pub max_server_connections: usize,
    /// Notified when this process has to end.
    pub end: Rc<Notify>,
}

impl Host for RestartHost {
    fn listeners(&self) -> Vec<(String, OwnedFd)> {
        let duplicate = self.listener.as_fd().try_clone_to_owned();
        duplicate
            .map(|fd| (CLIENT_LISTENER.to_string(), fd))
            .into_iter()
            .collect()
    }

    fn state(&self) -> State {
        let marks = self.endpoints.marks().into_iter();
        let marks = marks.map(|(server, mark)| transferred_mark(server, mark));
        State {
            marks: marks.collect(),
        }
    }

    fn set_halved(&self, is_halved: bool) {
        let divisor = if is_halved { 2 } else { 1 };
        self.http_server
            .set_max_connections(self.max_client_connections / divisor);
        self.upstream
            .set_max_connections(self.max_server_connections / divisor);
    }

    fn accept(&self, is_accepting: bool) {
        self.http_server.set_accepting(is_accepting);
    }

    fn end(&self) {
        self.end.notify_one();
    }

    fn mark(&self, mark: Mark) {
        let operator_mark = OperatorMark {
            out_ms: mark.out_ms,
            back_ms: mark.back_ms,
        };
        self.endpoints.set_mark(&mark.server, operator_mark);
    }
}

/// Reports to the hot restart once the gateway can serve.
pub async fn report_prepared(engine: Rc<Engine>, sender: LocalEventSender) {
    while !engine.is_ready() {
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    let _ = sender.send(LocalEvent::Prepared).await;
}
