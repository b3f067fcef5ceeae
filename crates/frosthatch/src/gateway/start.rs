//! Starts the gateway, in this order: sockets that may be inherited, the engine, discovery and the counter,
//! plug-ins and the policy, the HTTP server, hot restart, the admin API.

mod services;

use super::budget::ResourceBudget;
use super::{GatewayError, RunningGateway, Signals};
use crate::admin::{GatewayAdmin, ReloadCounters};
use crate::diameter::DiameterBackend;
use crate::hot_restart::{self, RestartHost, CLIENT_LISTENER};
use crate::membership;
use crate::operator_config::OperatorConfig;
use crate::platform_config::PlatformConfig;
use frosthatch_cluster_membership::driver::MembershipHandle;
use frosthatch_discovery::EndpointRegistry;
use frosthatch_engine::{
    Clock, CounterCall, EndpointObserver, Engine, RequestCounters, UsageReporter,
};
use frosthatch_handover::driver::{self as handover, Host, Inherited, LocalEventSender};
use frosthatch_http1::backend::{Upstream, UpstreamLimits};
use frosthatch_http1::server::HttpServer;
use frosthatch_log::log_line;
use frosthatch_sockets::{listen, PortSharing};
use frosthatch_traffic_control::Gateway;
use services::Services;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, AbortHandle};

/// Starts all parts of the gateway.
///
/// # Errors
/// Returns why the gateway cannot start.
pub(super) async fn start(
    mut platform: PlatformConfig,
    operator: OperatorConfig,
) -> Result<(RunningGateway, Signals), GatewayError> {
    let prepared = PreparedParts::new(&mut platform, &operator).await?;
    let PreparedParts {
        member,
        signals,
        budget,
        socket_path,
        inherited,
        core,
    } = prepared;
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
    // A process that replaces another accepts connections only once it is ready; until then the old process serves.
    http_server.set_accepting(inherited.is_none());
    let (accept_task, shared_listener) = spawn_accept(&http_server, listener);
    let exit_requested = Rc::new(Notify::new());
    let host = RestartHost {
        listener: shared_listener,
        http_server: http_server.clone(),
        upstream,
        endpoints: services.endpoints.clone(),
        max_client_connections: budget.client_connections,
        max_server_connections: budget.server_connections,
        exit_requested: exit_requested.clone(),
    };
    let hot_restart = socket_path.map(|path| spawn_hot_restart(path, inherited, host, &engine));
    let gateway = RunningGateway {
        engine,
        http_server,
        accept_task,
        member,
        member_task: services.member_task,
        plugins: services.plugins,
        policy: services.policy,
        diameter: services.diameter,
        hot_restart,
        exit_requested,
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

/// The parts that are created before the gateway accepts connections.
struct PreparedParts {
    member: Option<Rc<MembershipHandle>>,
    signals: Signals,
    budget: ResourceBudget,
    /// The Unix socket over which one process of this gateway hands over to another, if hot restart is enabled.
    socket_path: Option<PathBuf>,
    /// The listeners and state that a running process hands over.
    inherited: Option<Inherited>,
    core: Core,
}

impl PreparedParts {
    async fn new(
        platform: &mut PlatformConfig,
        operator: &OperatorConfig,
    ) -> Result<PreparedParts, GatewayError> {
        let signals = Signals::new()?;
        // A process that is rejected must not take the running one's name in the fleet, so it joins afterwards.
        let socket_path = hot_restart::socket_path(platform, operator);
        let inherited = match &socket_path {
            Some(path) => handover::inherit(path).await?,
            None => None,
        };
        let member = match &operator.fleet {
            Some(fleet) => Some(membership::create_member(fleet, platform).await?),
            None => None,
        };
        let traffic_control = Gateway::new(platform.settings.clone(), platform.seed);
        let traffic_control = traffic_control.map_err(|error| error.to_string())?;
        let budget = ResourceBudget::new(platform, operator);
        let core = Core::new(traffic_control, platform, operator, &budget, member.clone())?;
        Ok(PreparedParts {
            member,
            signals,
            budget,
            socket_path,
            inherited,
            core,
        })
    }
}

/// The engine and the connections to servers that it is created with.
struct Core {
    engine: Rc<Engine>,
    upstream: Rc<Upstream>,
    clock: Rc<Clock>,
    diameter: Option<DiameterBackend>,
    counter_calls: mpsc::Receiver<CounterCall>,
}

impl Core {
    fn new(
        traffic_control: Gateway,
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
            traffic_control,
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

/// Returns the listener for HTTP clients: the one inherited from the process that is replaced, or a new one.
async fn client_listener(
    platform: &PlatformConfig,
    inherited: Option<&Inherited>,
    is_hot_restart_enabled: bool,
) -> Result<Rc<TcpListener>, String> {
    let inherited =
        inherited.and_then(|inherited| inherited.listener(CLIENT_LISTENER, platform.listen));
    let listener = match inherited {
        Some(listener) => listener.and_then(TcpListener::from_std),
        // A process that could not hand over may still be listening on the address for a while, so the address is
        // bound with SO_REUSEPORT if hot restart is enabled.
        None if is_hot_restart_enabled => listen(platform.listen, PortSharing::Shared).await,
        None => listen(platform.listen, PortSharing::Exclusive).await,
    };
    let listener = listener.map_err(|error| format!("cannot listen for HTTP clients: {error}"))?;
    Ok(Rc::new(listener))
}

/// Starts to accept HTTP clients. Returns the handle of the task, which alone owns the listener, so that the listener
/// closes with it.
fn spawn_accept(
    http_server: &Rc<HttpServer>,
    listener: Rc<TcpListener>,
) -> (AbortHandle, Weak<TcpListener>) {
    let shared_listener = Rc::downgrade(&listener);
    let accepting = spawn_local(http_server.clone().accept(listener));
    (accepting.abort_handle(), shared_listener)
}

/// Starts the hot restart task, which covers both roles: this process may replace another and may be replaced.
fn spawn_hot_restart(
    path: PathBuf,
    inherited: Option<Inherited>,
    host: RestartHost,
    engine: &Rc<Engine>,
) -> LocalEventSender {
    let host = Rc::new(host);
    if let Some(inherited) = &inherited {
        host.set_half_capacity(true);
        for mark in &inherited.state.marks {
            host.apply_mark(mark.clone());
        }
    }
    let (sender, events) = handover::local_events();
    spawn_local(hot_restart::report_prepared(engine.clone(), sender.clone()));
    spawn_local(handover::run(path, inherited, host, events));
    sender
}

/// Binds the admin API's address and starts to serve the API.
async fn spawn_admin(
    address: SocketAddr,
    gateway: &RunningGateway,
    endpoints: Rc<EndpointRegistry>,
) -> Result<(), String> {
    let listener = listen(address, PortSharing::Exclusive).await;
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

/// Returns the longest deadline of all request classes.
fn longest_deadline(platform: &PlatformConfig) -> Duration {
    let classes = platform.settings.classes.iter();
    let longest_us = classes.map(|class| class.deadline_us).max().unwrap_or(0);
    Duration::from_micros(longest_us)
}
