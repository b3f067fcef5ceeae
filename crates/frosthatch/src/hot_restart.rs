//! Hot restart: hands the clients' listener and the operators' marks over to a new process, and halves the
//! connection limits while both processes run.

use crate::operator_config::{OperatorConfig, MAX_SOCKET_PATH_BYTES};
use crate::platform_config::PlatformConfig;
use frosthatch_discovery::{EndpointRegistry, OperatorMark};
use frosthatch_engine::Engine;
use frosthatch_handover::driver::{Host, LocalEvent, LocalEventSender};
use frosthatch_handover::message::{Mark, TransferredState};
use frosthatch_http1::backend::Upstream;
use frosthatch_http1::server::HttpServer;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Name of the HTTP clients' listener in the hand-over protocol.
pub const CLIENT_LISTENER: &str = "clients";
/// Interval at which the engine is polled for readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the path of the hand-over socket: the path in the operator's file, else `$TMPDIR/frosthatch.sock` if the
/// platform gives an address for the admin API, as a platform does that replaces processes and lets them share
/// `TMPDIR`. `None` (no such path, or one that is too long) disables hot restart.
pub fn socket_path(platform: &PlatformConfig, operator: &OperatorConfig) -> Option<PathBuf> {
    let shared = || {
        let folder = std::env::var_os("TMPDIR").filter(|_| platform.admin.is_some())?;
        let path = PathBuf::from(folder).join("frosthatch.sock");
        (path.as_os_str().len() <= MAX_SOCKET_PATH_BYTES).then_some(path)
    };
    operator.upgrade.clone().or_else(shared)
}

/// Converts an operator's mark to its form in the hand-over protocol.
pub fn transferred_mark(server: String, mark: OperatorMark) -> Mark {
    Mark {
        server,
        out_ms: mark.out_ms,
        back_ms: mark.back_ms,
    }
}

/// The parts of the gateway that a hot restart reads and controls.
pub struct RestartHost {
    /// The HTTP clients' listener; closed once this process takes no more requests.
    pub listener: Weak<TcpListener>,
    /// The HTTP server that clients connect to.
    pub http_server: Rc<HttpServer>,
    /// The HTTP connections to servers.
    pub upstream: Rc<Upstream>,
    /// The registry of endpoints and of the operators' marks on them.
    pub endpoints: Rc<EndpointRegistry>,
    /// Maximum number of client connections while only one process runs.
    pub max_client_connections: usize,
    /// Maximum number of connections to servers while only one process runs.
    pub max_server_connections: usize,
    /// Notified when this process has to exit because it could not replace a running one.
    pub exit_requested: Rc<Notify>,
}

impl Host for RestartHost {
    fn listeners(&self) -> Vec<(String, OwnedFd)> {
        let listener = self.listener.upgrade();
        let duplicate = listener.and_then(|open| open.as_fd().try_clone_to_owned().ok());
        duplicate
            .map(|fd| (CLIENT_LISTENER.to_string(), fd))
            .into_iter()
            .collect()
    }

    fn state(&self) -> TransferredState {
        let marks = self.endpoints.marks().into_iter();
        let marks = marks.map(|(server, mark)| transferred_mark(server, mark));
        TransferredState {
            marks: marks.collect(),
        }
    }

    fn set_half_capacity(&self, is_halved: bool) {
        let divisor = if is_halved { 2 } else { 1 };
        self.http_server
            .set_max_connections(self.max_client_connections / divisor);
        self.upstream
            .set_max_connections(self.max_server_connections / divisor);
    }

    fn set_accepting(&self, is_accepting: bool) {
        self.http_server.set_accepting(is_accepting);
    }

    fn shut_down(&self) {
        self.exit_requested.notify_one();
    }

    fn apply_mark(&self, mark: Mark) {
        let operator_mark = OperatorMark {
            out_ms: mark.out_ms,
            back_ms: mark.back_ms,
        };
        self.endpoints.set_mark(&mark.server, operator_mark);
    }
}

/// Waits until the engine is ready to serve, then reports it to the hot restart task.
pub async fn report_prepared(engine: Rc<Engine>, sender: LocalEventSender) {
    while !engine.is_ready() {
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    let _ = sender.send(LocalEvent::Prepared).await;
}
