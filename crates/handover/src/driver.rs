//! Connects the state machines to sockets, to the host process and to its log.

mod host;
mod inherited;
mod new_process;
mod old_process;
mod tick;

pub use host::{local_events, Host, LocalEvent, LocalEventSender};
pub use inherited::{inherit, Inherited};

use frosthatch_log::log_line;
use new_process::Takeover;
use old_process::OldProcess;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Runs handovers until `events` is closed. If `inherited` is given, the process first completes that handover as the
/// new process. It then listens on the Unix socket at `path` as the old process of the next handover.
pub async fn run(
    path: PathBuf,
    inherited: Option<Inherited>,
    host: Rc<dyn Host>,
    mut events: mpsc::Receiver<LocalEvent>,
) {
    if let Some(inherited) = inherited {
        let takeover = new_process::complete_takeover(inherited, &*host, &mut events).await;
        if takeover == Takeover::Rejected {
            host.shut_down();
            return;
        }
    }
    match OldProcess::listen(&path, host) {
        Ok(old_process) => old_process.run(events).await,
        Err(e) => log_line!("upgrade: cannot listen on {}: {e}", path.display()),
    }
}
