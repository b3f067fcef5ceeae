//! Runs the gateway: [`start`] creates its parts, [`reload`] handles SIGHUP, [`shutdown`] handles SIGTERM, and
//! [`budget`] divides descriptors and memory.

mod budget;
mod reload;
mod shutdown;
mod start;

use crate::admin::ReloadCounters;
use crate::diameter::DiameterService;
use crate::operator_config::{FleetConfig, OperatorConfig, PolicyConfig};
use crate::platform_config::PlatformConfig;
use crate::policy::PolicyService;
use frosthatch_cluster_membership::driver::MembershipHandle;
use frosthatch_cluster_membership::LifecyclePhase;
use frosthatch_config_reader::join_errors;
use frosthatch_discovery::Source;
use frosthatch_engine::Engine;
use frosthatch_handover::driver::LocalEventSender;
use frosthatch_handover::rejection::RejectionReason;
use frosthatch_http1::server::HttpServer;
use frosthatch_plugins::host::Plugins;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::task::{AbortHandle, LocalSet};
use tokio::time::{interval, MissedTickBehavior};

/// Interval at which this gateway announces its lifecycle phase to the other members.
const PHASE_INTERVAL: Duration = Duration::from_millis(50);

/// Why the gateway ended other than by SIGTERM.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The gateway cannot start, or could not replace a running process.
    #[error("{0}")]
    Failed(String),
    /// The running process goes on serving and rejected this one.
    #[error("upgrade: {0}; this process ends")]
    TakeoverRejected(#[from] RejectionReason),
}

impl From<String> for GatewayError {
    fn from(reason: String) -> Self {
        GatewayError::Failed(reason)
    }
}

/// Runs the gateway until SIGTERM.
///
/// # Errors
/// Returns why the gateway cannot start, or why it could not replace a running process.
pub fn run(operator_file: Option<&Path>) -> Result<(), GatewayError> {
    let platform = PlatformConfig::from_env().map_err(|errors| join_errors(&errors))?;
    let operator = OperatorConfig::read(operator_file).map_err(|errors| join_errors(&errors))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    runtime.block_on(LocalSet::new().run_until(serve(platform, operator, operator_file)))
}

async fn serve(
    platform: PlatformConfig,
    operator: OperatorConfig,
    operator_file: Option<&Path>,
) -> Result<(), GatewayError> {
    let (mut gateway, mut signals) = start::start(platform, operator).await?;
    gateway.serve(&mut signals, operator_file).await?;
    gateway.shut_down().await;
    Ok(())
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    fn new() -> Result<Signals, String> {
        let install = |kind| {
            signal(kind).map_err(|error| format!("cannot install a signal handler: {error}"))
        };
        Ok(Signals {
            terminate: install(SignalKind::terminate())?,
            hang_up: install(SignalKind::hangup())?,
        })
    }
}

/// A running gateway: the parts that are still needed after startup.
struct RunningGateway {
    engine: Rc<Engine>,
    http_server: Rc<HttpServer>,
    /// The task that accepts HTTP clients; aborting it closes the listener.
    accept_task: AbortHandle,
    member: Option<Rc<MembershipHandle>>,
    /// The task of `member`; aborting it ends all communication with the other members.
    member_task: Option<AbortHandle>,
    plugins: Option<Rc<Plugins>>,
    policy: Option<Rc<PolicyService>>,
    diameter: Option<DiameterService>,
    hot_restart: Option<LocalEventSender>,
    /// Notified when this process has to exit because it could not replace a running one.
    exit_requested: Rc<Notify>,
    discovery_source: watch::Sender<Source>,
    counter_address: watch::Sender<Option<SocketAddr>>,
    reloads: Rc<ReloadCounters>,
    /// The `[fleet]` or `[peers]` table at startup; a changed one takes effect only after a restart.
    fleet_config: Option<FleetConfig>,
    /// The `[policy]` table at startup; a changed one takes effect only after a restart.
    policy_config: Option<PolicyConfig>,
    /// The longest deadline of all request classes.
    longest_deadline: Duration,
}

impl RunningGateway {
    /// Serves until SIGTERM and reloads the configuration on SIGHUP; returns an error if this process could not
    /// replace a running one.
    async fn serve(
        &mut self,
        signals: &mut Signals,
        operator_file: Option<&Path>,
    ) -> Result<(), String> {
        let exit_requested = self.exit_requested.clone();
        let mut phase_ticks = interval(PHASE_INTERVAL);
        phase_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => return Ok(()),
                _ = phase_ticks.tick(), if self.member.is_some() => self.announce_phase(),
                () = exit_requested.notified() => {
                    return Err("upgrade: the running process of this gateway could not be replaced".into());
                }
                _ = signals.hang_up.recv() => {
                    tokio::select! {
                        biased;
                        // A reload that waits for plug-ins is cut off, and the configuration in use stays.
                        _ = signals.terminate.recv() => return Ok(()),
                        () = self.reload(operator_file) => {}
                    }
                }
            }
        }
    }

    /// Announces to the other members whether this gateway is joining, ready or draining.
    fn announce_phase(&self) {
        let phase = if self.http_server.is_draining() {
            LifecyclePhase::Draining
        } else if self.http_server.is_ready() {
            LifecyclePhase::Ready
        } else {
            LifecyclePhase::Joining
        };
        if let Some(member) = &self.member {
            member.set_phase(phase);
        }
    }
}

/// Returns the source from which servers are discovered.
fn discovery_source(platform: &PlatformConfig, operator: &OperatorConfig) -> Source {
    match &operator.dns_sd {
        Some(config) => Source::DnsSd(config.clone()),
        None => Source::List(platform.discovery),
    }
}
