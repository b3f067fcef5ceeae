//! The start in stages: sockets that may be inherited, the engine, discovery and counter, plug-ins and policy, the clients'
//! side, hot restart, the admin API.

use super::budget::ResourceBudget;
use super::{discovery_source, RunningGateway, Signals};
use crate::admin::{GatewayAdmin, ReloadCounters};
use crate::diameter::{DiameterBackend, DiameterService};
use crate::hot_restart::{self, RestartHost, CLIENT_LISTENER};
use crate::operator_config::OperatorConfig;
use crate::platform_config::PlatformConfig;
use crate::policy::PolicyService;
use crate::{membership, outlier_gossip};
use frosthatch_cluster_membership::driver::MembershipHandle;
use frosthatch_discovery::{EndpointRegistry, Source};
use frosthatch_engine::{
    Clock, CounterCall, EndpointObserver, Engine, RequestCounters, RequestPlugins, UsageReporter,
};
use frosthatch_handover::driver::{self as handover, Host, Inherited, LocalEventSender};
use frosthatch_http1::backend::{self, Upstream, UpstreamLimits};
use frosthatch_http1::server::HttpServer;
use frosthatch_log::log_line;
use frosthatch_plugins::host::Plugins;
use frosthatch_sockets::{listen, Sharing};
use frosthatch_traffic_control::Gateway;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::spawn_local;

/// Starts all parts.
///
/// # Errors
/// What keeps the gateway from starting, for people.
pub(super) async fn start(
    mut platform: PlatformConfig,
    operator: OperatorConfig,
) -> Result<(RunningGateway, Signals), String> {
    let foundation = Foundation::new(&mut platform, &operator).await?;
    let Foundation {
        member,
        signals,
        budget,
        socket_path,
        inherited,
        core,
    } = foundation;
    let (engine, upstream) = (core.engine.clone(), core.upstream.clone());
    let listener = client_listener(&platform, inherited.as_ref(), socket_path.is_some()).await?;
    let platform = Rc::new(platform);
    let services = Services::start(core, &listener, member.as_ref(), &operator, &platform).await?;
    let http_server = HttpServer::new(
        engine.clone(),
        upstream.clone(),
        platform.settings.clone(),
        services.request_plugins(),
        budget.client_connections,
    );
    // A process that replaces another accepts only once it is ready: until then the old one serves.
    http_server.set_accepting(inherited.is_none());
    spawn_local(http_server.clone().accept(listener.clone()));
    let end = Rc::new(Notify::new());
    let host = RestartHost {
        listener,
        http_server: http_server.clone(),
        upstream,
        endpoints: services.endpoints.clone(),
        max_client_connections: budget.client_connections,
        max_server_connections: budget.server_connections,
        end: end.clone(),
    };
    let hot_restart = socket_path.map(|path| spawn_hot_restart(path, inherited, host, &engine));
    let gateway = RunningGateway {
        engine,
        http_server,
        member,
        plugins: services.plugins,
        policy: services.policy,
        diameter: services.diameter,
        hot_restart,
        end,
        discovery_source: services.discovery_source,
        counter_address: services.counter_address,
        reloads: Rc::new(ReloadCounters::default()),
        fleet_config: operator.fleet,
        policy_config: operator.policy,
        longest_deadline: longest_deadline(&platform),
    };
    if let Some(address) = platform.admin {
        spawn_admin(address, &gateway, services.endpoints).await?;
    }
    Ok((gateway, signals))
}

/// What exists before anything is served.
struct Foundation {
    member: Option<Rc<MembershipHandle>>,
    signals: Signals,
    budget: ResourceBudget,
    /// Where processes of this gateway replace each other, if they do.
    socket_path: Option<PathBuf>,
    /// What a running process hands over.
    inherited: Option<Inherited>,
    core: Core,
}

impl Foundation {
    async fn new(
        platform: &mut PlatformConfig,
        operator: &OperatorConfig,
    ) -> Result<Foundation, String> {
        let member = match &operator.fleet {
            Some(fleet) => Some(membership::create_member(fleet, platform).await?),
            None => None,
        };
        let decisions = Gateway::new(platform.settings.clone(), platform.seed);
        let decisions = decisions.map_err(|error| error.to_string())?;
        let signals = Signals::new()?;
        let budget = ResourceBudget::new(platform, operator);
        let socket_path = hot_restart::socket_path(platform, operator);
        let inherited = match &socket_path {
            Some(path) => handover::inherit(path).await,
            None => None,
        };
        let core = Core::new(decisions, platform, operator, &budget, member.clone())?;
        Ok(Foundation {
            member,
            signals,
            budget,
            socket_path,
            inherited,
            core,
        })
    }
}

/// The parts round the engine.
struct Services {
    diameter: Option<DiameterService>,
    endpoints: Rc<EndpointRegistry>,
    discovery_source: watch::Sender<Source>,
    counter_address: watch::Sender<Option<SocketAddr>>,
    plugins: Option<Rc<Plugins>>,
    policy: Option<Rc<PolicyService>>,
}

impl Services {
    async fn start(
        core: Core,
        listener: &TcpListener,
        member: Option<&Rc<MembershipHandle>>,
        operator: &OperatorConfig,
        platform: &Rc<PlatformConfig>,
    ) -> Result<Services, String> {
        let engine = core.engine;
        let address = listener.local_addr();
        let address = address.map_err(|error| format!("cannot listen: {error}"))?;
        let diameter = start_diameter(core.diameter, operator, platform, &engine).await?;
        log_line!("{} listens on {address}", platform.name);
        spawn_local(engine.clone().run_timers());
        spawn_membership(member, operator, &engine);
        spawn_local(backend::close_stale_connections(core.upstream));
        let (endpoints, discovery_source) = spawn_discovery(platform, operator, &engine);
        let counter_address = spawn_counter(platform, core.counter_calls, &engine);
        let plugins = start_plugins(operator, platform, &core.clock).await?;
        let policy = start_policy(operator, platform, member, &engine)?;
        Ok(Services {
            diameter,
            endpoints,
            discovery_source,
            counter_address,
            plugins,
            policy,
        })
    }

    fn request_plugins(&self) -> Option<Rc<dyn RequestPlugins>> {
        let plugins = self.plugins.clone();
        plugins.map(|plugins| plugins as Rc<dyn RequestPlugins>)
    }
}

/// The engine and the servers' sides that it is created with.
struct Core {
    engine: Rc<Engine>,
    upstream: Rc<Upstream>,
    clock: Rc<Clock>,
    diameter: Option<DiameterBackend>,
    counter_calls: mpsc::Receiver<CounterCall>,
}

impl Core {
    fn new(
        decisions: Gateway,
        platform: &PlatformConfig,
        operator: &OperatorConfig,
        budget: &ResourceBudget,
        member: Option<Rc<MembershipHandle>>,
    ) -> Result<Core, String> {
        let classes = platform.settings.classes.iter();
        let counters = Rc::new(RequestCounters::new(
            classes.map(|class| class.name.clone()),
        ));
        let limits = UpstreamLimits {
            connect_timeout: platform.connect_timeout,
            idle_timeout: platform.server_idle_timeout / 3,
            max_connections: budget.server_connections,
            max_long_request_bytes: budget.long_request_bytes,
        };
        let upstream = Rc::new(Upstream::new(limits, counters.clone()));
        let (call_sender, counter_calls) = mpsc::channel(frosthatch_counter::MAX_PENDING_CALLS);
        let clock = Rc::new(Clock::default());
        let mut observers: Vec<Rc<dyn EndpointObserver>> = vec![upstream.clone()];
        let mut diameter = None;
        if let Some(config) = &operator.diameter {
            let backend = DiameterBackend::new(config, platform, clock.clone().reader())?;
            observers.push(backend.servers.clone());
            diameter = Some(backend);
        }
        let usage_reporter = member.map(|member| member as Rc<dyn UsageReporter>);
        let engine = Rc::new(Engine::new(
            decisions,
            observers,
            call_sender,
            usage_reporter,
            counters,
            clock.clone(),
        ));
        Ok(Core {
            engine,
            upstream,
            clock,
            diameter,
            counter_calls,
        })
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

/// The clients' listener: of the process that is replaced, or a new one.
async fn client_listener(
    platform: &PlatformConfig,
    inherited: Option<&Inherited>,
    may_be_replaced: bool,
) -> Result<Rc<TcpListener>, String> {
    let inherited =
        inherited.and_then(|inherited| inherited.listener(CLIENT_LISTENER, platform.listen));
    let listener = match inherited {
        Some(listener) => listener.and_then(TcpListener::from_std),
        // Where processes replace each other, one that could not hand over may still listen there for a while.
        None if may_be_replaced => listen(platform.listen, Sharing::Shared).await,
        None => listen(platform.listen, Sharing::Alone).await,
    };
    let listener = listener.map_err(|error| format!("cannot listen: {error}"))?;
    Ok(Rc::new(listener))
}

fn spawn_membership(
    member: Option<&Rc<MembershipHandle>>,
    operator: &OperatorConfig,
    engine: &Rc<Engine>,
) {
    let (Some(member), Some(fleet)) = (member, &operator.fleet) else {
        return;
    };
    spawn_local(member.clone().run(fleet.gossip_interval, engine.clone()));
    if fleet.shares_server_choices {
        spawn_local(outlier_gossip::run(member.clone(), engine.clone()));
    }
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

/// Plug-ins are compiled on threads of their own; without any none of their machinery runs.
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

/// Runs both roles of a hot restart: this process may replace another, and may be replaced.
fn spawn_hot_restart(
    path: PathBuf,
    inherited: Option<Inherited>,
    host: RestartHost,
    engine: &Rc<Engine>,
) -> LocalEventSender {
    let host = Rc::new(host);
    if let Some(inherited) = &inherited {
        host.set_halved(true);
        for mark in &inherited.state.marks {
            host.mark(mark.clone());
        }
    }
    let (sender, events) = handover::local_events();
    spawn_local(hot_restart::report_prepared(engine.clone(), sender.clone()));
    spawn_local(handover::run(path, inherited, host, events));
    sender
}

async fn spawn_admin(
    address: SocketAddr,
    gateway: &RunningGateway,
    endpoints: Rc<EndpointRegistry>,
) -> Result<(), String> {
    let listener = listen(address, Sharing::Alone).await;
    let listener =
        listener.map_err(|error| format!("console: cannot listen on {address}: {error}"))?;
    let bound = listener.local_addr();
    let bound = bound.map_err(|error| format!("console: {error}"))?;
    log_line!("console on {bound}");
    let admin = GatewayAdmin {
        engine: gateway.engine.clone(),
        http_server: gateway.http_server.clone(),
        endpoints,
        reloads: gateway.reloads.clone(),
        member: gateway.member.clone(),
        policy: gateway.policy.clone(),
        hot_restart: gateway.hot_restart.clone(),
    };
    spawn_local(frosthatch_admin::listen(listener, Rc::new(admin)));
    Ok(())
}

fn longest_deadline(platform: &PlatformConfig) -> Duration {
    let classes = platform.settings.classes.iter();
    let longest_us = classes.map(|class| class.deadline_us).max().unwrap_or(0);
    Duration::from_micros(longest_us)
}
