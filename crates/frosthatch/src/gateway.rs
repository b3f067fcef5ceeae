//! The gateway: started in stages ([`start`]), changed by SIGHUP ([`reload`]), ended by SIGTERM ([`shutdown`]).

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
use frosthatch_http1::server::HttpServer;
use frosthatch_plugins::host::Plugins;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::task::LocalSet;
use tokio::time::{interval, MissedTickBehavior};

/// How often the other members are told whether this gateway is ready.
const PHASE_INTERVAL: Duration = Duration::from_millis(50);

/// Serves until the process is told to end.
///
/// # Errors
/// Why it cannot start, or could not replace a running process; for people.
pub fn run(operator_file: Option<&Path>) -> Result<(), String> {
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
) -> Result<(), String> {
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
        let handle = |kind| signal(kind).map_err(|error| format!("no signals: {error}"));
        Ok(Signals {
            terminate: handle(SignalKind::terminate())?,
            hang_up: handle(SignalKind::hangup())?,
        })
    }
}

/// A gateway that serves: its parts, as far as they are used after the start.
struct RunningGateway {
    engine: Rc<Engine>,
    http_server: Rc<HttpServer>,
    member: Option<Rc<MembershipHandle>>,
    plugins: Option<Rc<Plugins>>,
    policy: Option<Rc<PolicyService>>,
    diameter: Option<DiameterService>,
    hot_restart: Option<LocalEventSender>,
    /// Notified when a running process could not be replaced.
    end: Rc<Notify>,
    discovery_source: watch::Sender<Source>,
    counter_address: watch::Sender<Option<SocketAddr>>,
    reloads: Rc<ReloadCounters>,
    /// Of the start: other tables want a restart.
    fleet_config: Option<FleetConfig>,
    policy_config: Option<PolicyConfig>,
    longest_deadline: Duration,
}

impl RunningGateway {
    /// Serves until SIGTERM.
    async fn serve(
        &mut self,
        signals: &mut Signals,
        operator_file: Option<&Path>,
    ) -> Result<(), String> {
        let end = self.end.clone();
        let mut phase_ticks = interval(PHASE_INTERVAL);
        phase_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => return Ok(()),
                _ = phase_ticks.tick(), if self.member.is_some() => self.announce_phase(),
                () = end.notified() => {
                    return Err("a running process could not be replaced".into());
                }
                _ = signals.hang_up.recv() => self.reload(operator_file).await,
            }
        }
    }

    /// Tells the other members whether this gateway is ready.
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

/// Where servers are discovered.
fn discovery_source(platform: &PlatformConfig, operator: &OperatorConfig) -> Source {
    match &operator.dns_sd {
        Some(config) => Source::DnsSd(config.clone()),
        None => Source::List(platform.discovery),
    }
}
