//! Starts the parts that work with the engine: membership, discovery, the shared counter, Diameter, plug-ins and
//! the policy.

use super::Core;
use crate::diameter::{DiameterBackend, DiameterService};
use crate::gateway::discovery_source;
use crate::operator_config::OperatorConfig;
use crate::outlier_gossip;
use crate::platform_config::PlatformConfig;
use crate::policy::PolicyService;
use frosthatch_cluster_membership::driver::MembershipHandle;
use frosthatch_discovery::{EndpointRegistry, Source};
use frosthatch_engine::{Clock, CounterCall, Engine, RequestPlugins};
use frosthatch_http1::backend;
use frosthatch_log::log_line;
use frosthatch_plugins::host::Plugins;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, AbortHandle};

/// The handles of the parts that work with the engine.
pub(super) struct Services {
    pub(super) member_task: Option<AbortHandle>,
    pub(super) diameter: Option<DiameterService>,
    pub(super) endpoints: Rc<EndpointRegistry>,
    pub(super) discovery_source: watch::Sender<Source>,
    pub(super) counter_address: watch::Sender<Option<SocketAddr>>,
    pub(super) plugins: Option<Rc<Plugins>>,
    pub(super) policy: Option<Rc<PolicyService>>,
}

impl Services {
    /// Starts all parts that are configured.
    pub(super) async fn start(
        core: Core,
        listener: &TcpListener,
        member: Option<&Rc<MembershipHandle>>,
        operator: &OperatorConfig,
        platform: &Rc<PlatformConfig>,
    ) -> Result<Services, String> {
        let engine = core.engine;
        let address = listener.local_addr();
        let address = address
            .map_err(|error| format!("cannot read the address of the HTTP listener: {error}"))?;
        let diameter = start_diameter(core.diameter, operator, platform, &engine).await?;
        log_line!("{} listens on {address}", platform.name);
        spawn_local(engine.clone().run_timers());
        let member_task = spawn_membership(member, operator, &engine);
        spawn_local(backend::close_stale_connections(core.upstream));
        let (endpoints, discovery_source) = spawn_discovery(platform, operator, &engine);
        let counter_address = spawn_counter(platform, core.counter_calls, &engine);
        let plugins = start_plugins(operator, platform, &core.clock).await?;
        let policy = start_policy(operator, platform, member, &engine)?;
        Ok(Services {
            member_task,
            diameter,
            endpoints,
            discovery_source,
            counter_address,
            plugins,
            policy,
        })
    }

    pub(super) fn request_plugins(&self) -> Option<Rc<dyn RequestPlugins>> {
        let plugins = self.plugins.clone();
        plugins.map(|plugins| plugins as Rc<dyn RequestPlugins>)
    }
}

async fn start_diameter(
    backend: Option<DiameterBackend>,
    operator: &OperatorConfig,
    platform: &Rc<PlatformConfig>,
    engine: &Rc<Engine>,
) -> Result<Option<DiameterService>, String> {
    let (Some(backend), Some(config)) = (backend, &operator.diameter) else {
        return Ok(None);
    };
    let service = backend.into_service(config.clone(), platform.clone(), engine.clone());
    Ok(Some(service.await?))
}

/// Starts the member, if there is one. Returns the handle of its task.
fn spawn_membership(
    member: Option<&Rc<MembershipHandle>>,
    operator: &OperatorConfig,
    engine: &Rc<Engine>,
) -> Option<AbortHandle> {
    let (Some(member), Some(fleet)) = (member, &operator.fleet) else {
        return None;
    };
    let member_task = spawn_local(member.clone().run(fleet.gossip_interval, engine.clone()));
    if fleet.shares_server_choices {
        spawn_local(outlier_gossip::run(member.clone(), engine.clone()));
    }
    Some(member_task.abort_handle())
}

fn spawn_discovery(
    platform: &PlatformConfig,
    operator: &OperatorConfig,
    engine: &Rc<Engine>,
) -> (Rc<EndpointRegistry>, watch::Sender<Source>) {
    let (source, source_changes) = watch::channel(discovery_source(platform, operator));
    let endpoints = EndpointRegistry::new(engine.clone());
    spawn_local(frosthatch_discovery::run(
        source_changes,
        platform.known_endpoints.targets.clone(),
        platform.seed,
        endpoints.clone(),
    ));
    (endpoints, source)
}

fn spawn_counter(
    platform: &PlatformConfig,
    calls: mpsc::Receiver<CounterCall>,
    engine: &Rc<Engine>,
) -> watch::Sender<Option<SocketAddr>> {
    let (address, address_changes) = watch::channel(platform.counter);
    spawn_local(frosthatch_counter::run(
        address_changes,
        platform.counter_timeout,
        calls,
        engine.clone(),
    ));
    address
}

/// Starts the plug-ins, which are compiled on threads of their own. Without plug-ins no such thread or task is
/// started.
async fn start_plugins(
    operator: &OperatorConfig,
    platform: &PlatformConfig,
    clock: &Rc<Clock>,
) -> Result<Option<Rc<Plugins>>, String> {
    if operator.plugins.is_empty() {
        return Ok(None);
    }
    let max_units = platform.settings.max_units;
    let reader = clock.clone().reader();
    let plugins = Plugins::start(operator.plugins.clone(), max_units, reader).await?;
    spawn_local(plugins.clone().run_ticks());
    Ok(Some(plugins))
}

fn start_policy(
    operator: &OperatorConfig,
    platform: &PlatformConfig,
    member: Option<&Rc<MembershipHandle>>,
    engine: &Rc<Engine>,
) -> Result<Option<Rc<PolicyService>>, String> {
    let (Some(config), Some(member)) = (&operator.policy, member) else {
        return Ok(None);
    };
    let service = PolicyService::start(
        config,
        member.clone(),
        engine.clone(),
        platform.settings.clone(),
        platform.seed,
        &operator.plugins,
    )?;
    Ok(Some(service))
}
