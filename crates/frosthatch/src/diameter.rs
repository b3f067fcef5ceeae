//! Runs Diameter credit control as the `[diameter]` table of the operator's file configures it: created at startup,
//! changed by a reload.

use crate::operator_config::DiameterConfig;
use crate::platform_config::PlatformConfig;
use crate::tls::{Tls, TlsFiles};
use frosthatch_diameter::credit::CreditControlConfig;
use frosthatch_diameter::front::{Frontend, FrontendConfig};
use frosthatch_diameter::peer::Identity;
use frosthatch_diameter::servers::{Servers, ServersConfig};
use frosthatch_engine::Engine;
use frosthatch_sockets::PortSharing;
use frosthatch_traffic_control::{Effect, RequestClass, Settings};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};

/// Maximum number of sessions per MB of memory, whatever the operator's file allows: at some 400 bytes each they
/// take a quarter of the memory.
const MAX_SESSIONS_PER_MB: usize = 600;
/// Maximum bytes of an incomplete message that a client's connection buffers.
const MAX_READ_BUFFER_BYTES: usize = 72 << 10;
/// Divisor of the process's memory that gives the maximum bytes of answers cached for duplicate requests.
const CACHED_ANSWERS_DIVISOR: usize = 16;
/// Divisor of the process's memory that gives the maximum bytes of requests in flight.
const REQUESTS_DIVISOR: usize = 32;
/// Divisor of the process's memory that gives the maximum bytes queued for writing, to clients and to servers each.
const WRITE_QUEUES_DIVISOR: usize = 16;
/// Divisor of the process's memory that gives the maximum bytes of clients' read buffers.
const READ_BUFFERS_DIVISOR: usize = 16;
/// Divisor of the process's memory that gives the maximum bytes held for HTTP clients if Diameter is enabled (half
/// of the memory otherwise).
pub const HTTP_CLIENTS_DIVISOR: usize = 4;

/// Returns the maximum number of client connections: the configured one, reduced to what descriptors and memory
/// allow.
pub fn max_clients(config: &DiameterConfig, platform: &PlatformConfig) -> usize {
    let read_buffers = memory_bytes(platform) / READ_BUFFERS_DIVISOR / MAX_READ_BUFFER_BYTES;
    config
        .max_clients
        .min(platform.max_descriptors / 4)
        .min(read_buffers)
        .max(1)
}

fn memory_bytes(platform: &PlatformConfig) -> usize {
    platform.memory_mb << 20
}

/// Checks that the platform's settings have the classes and plans that the operator's file names, and that the
/// classes have the effect that their use requires.
///
/// # Errors
/// Returns a message on the first class or plan that does not fit.
pub fn check(config: &DiameterConfig, settings: &Settings) -> Result<(), String> {
    check_class(settings, &config.check_class, true)?;
    check_class(settings, &config.charge_class, false)?;
    let is_known = |name: &str| settings.plans.iter().any(|plan| plan.name == name);
    let mut plans = config.plans.values().chain(&config.default_plan);
    match plans.find(|plan| !is_known(plan)) {
        Some(plan) => Err(format!(
            "diameter: there is no plan {plan:?} in the settings"
        )),
        None => Ok(()),
    }
}

fn check_class(settings: &Settings, name: &str, must_be_repeatable: bool) -> Result<(), String> {
    let class = settings.classes.iter().find(|class| class.name == name);
    let Some(class) = class else {
        return Err(format!(
            "diameter: there is no class {name:?} in the settings"
        ));
    };
    let is_allowed = match class.effect {
        Effect::Repeatable => true,
        Effect::Keyed { .. } => !must_be_repeatable,
        Effect::Once => false,
    };
    if is_allowed {
        Ok(())
    } else {
        Err(format!(
            "diameter: class {name:?} is not of the effect that its use requires: check_class must be repeatable, charge_class repeatable or keyed"
        ))
    }
}

/// Returns the configuration of the connections to servers.
fn servers_config(
    config: &DiameterConfig,
    own_identity: Identity,
    platform: &PlatformConfig,
    tls: Option<&Tls>,
) -> ServersConfig {
    ServersConfig {
        identity: own_identity,
        watchdog_interval_us: micros(config.watchdog_interval),
        connect_timeout: platform.connect_timeout,
        max_pending: config.max_pending,
        tls: tls.map(|tls| (tls.client.clone(), tls.server_name.clone())),
        max_queued_bytes: memory_bytes(platform) / WRITE_QUEUES_DIVISOR,
        seed: platform.seed,
    }
}

/// Returns the configuration of the clients' side.
fn frontend_config(
    config: &DiameterConfig,
    own_identity: Identity,
    platform: &PlatformConfig,
    tls: Option<&Tls>,
) -> FrontendConfig {
    let transaction_timeout = |class: &RequestClass| {
        let deadline = Duration::from_micros(class.deadline_us);
        (class.name.clone(), config.transaction_timeout.min(deadline))
    };
    let classes = platform.settings.classes.iter();
    FrontendConfig {
        identity: own_identity,
        watchdog_interval_us: micros(config.watchdog_interval),
        mapping: mapping(config, platform),
        transaction_timeouts: classes.map(transaction_timeout).collect(),
        gateway_count: platform.settings.gateways,
        max_clients: max_clients(config, platform),
        tls: tls.map(|tls| tls.server.clone()),
        max_request_bytes: memory_bytes(platform) / REQUESTS_DIVISOR,
        max_queued_bytes: memory_bytes(platform) / WRITE_QUEUES_DIVISOR,
        seed: platform.seed,
    }
}

/// Returns how credit-control requests map to the gateway's classes and plans.
fn mapping(config: &DiameterConfig, platform: &PlatformConfig) -> CreditControlConfig {
    CreditControlConfig {
        check_class: config.check_class.clone(),
        charge_class: config.charge_class.clone(),
        plans: config.plans.clone(),
        default_plan: config.default_plan.clone(),
        max_units: platform.settings.max_units,
        session_timeout_us: micros(config.session_timeout),
        duplicate_window_us: micros(config.duplicate_window),
        max_sessions: config
            .max_sessions
            .min(platform.memory_mb * MAX_SESSIONS_PER_MB),
        max_tracked_requests: config.max_cached_answers,
        max_cached_answer_bytes: memory_bytes(platform) / CACHED_ANSWERS_DIVISOR,
    }
}

/// Converts a duration to microseconds.
fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

fn load_tls(files: Option<&TlsFiles>) -> Result<Option<Tls>, String> {
    let tls = files.map(TlsFiles::load).transpose();
    tls.map_err(|error| error.to_string())
}

/// The connections to Diameter servers, which are created before the engine.
pub struct DiameterBackend {
    identity: Identity,
    tls: Option<Tls>,
    /// Connections to servers.
    pub servers: Rc<Servers>,
}

impl DiameterBackend {
    /// Checks the configuration and creates the connections to servers. `clock` returns microseconds since 1970.
    ///
    /// # Errors
    /// Returns a message on what is wrong with the configuration.
    pub fn new(
        config: &DiameterConfig,
        platform: &PlatformConfig,
        clock: Rc<dyn Fn() -> u64>,
    ) -> Result<DiameterBackend, String> {
        check(config, &platform.settings)?;
        let tls = load_tls(config.tls.as_ref())?;
        let identity = Identity {
            host: config.identity.clone(),
            realm: config.realm.clone(),
            address: config.listen.ip(),
            // Origin-State-Id must increase with each start (RFC 6733 section 8.16), as seconds since 1970 do.
            state_id: (clock() / 1_000_000) as u32,
        };
        let servers = Servers::new(
            servers_config(config, identity.clone(), platform, tls.as_ref()),
            clock,
        );
        Ok(DiameterBackend {
            identity,
            tls,
            servers,
        })
    }

    /// Adds the clients' side and starts to accept client connections.
    ///
    /// # Errors
    /// Returns a message if the gateway cannot listen on the configured address.
    pub async fn into_service(
        self,
        config: DiameterConfig,
        platform: Rc<PlatformConfig>,
        engine: Rc<Engine>,
    ) -> Result<DiameterService, String> {
        let listener = frosthatch_sockets::listen(config.listen, PortSharing::Exclusive).await;
        let listener = listener.map_err(|error| listen_error(&config, &error))?;
        let frontend_config =
            frontend_config(&config, self.identity.clone(), &platform, self.tls.as_ref());
        let frontend = Frontend::new(frontend_config, engine, self.servers.clone());
        let accept_task = spawn_local(frontend.clone().accept(listener)).abort_handle();
        Ok(DiameterService {
            config,
            identity: self.identity,
            platform,
            frontend,
            servers: self.servers,
            accept_task,
        })
    }
}

/// Binds the listen address of a reloaded configuration. Fails at once if the address is in use, as a reload must
/// not wait.
async fn bind(config: &DiameterConfig) -> Result<TcpListener, String> {
    let listener = TcpListener::bind(config.listen).await;
    listener.map_err(|error| listen_error(config, &error))
}

fn listen_error(config: &DiameterConfig, error: &std::io::Error) -> String {
    format!("diameter: cannot listen on {}: {error}", config.listen)
}

/// The clients' and the servers' side of Diameter while the gateway runs.
pub struct DiameterService {
    config: DiameterConfig,
    identity: Identity,
    /// The platform's configuration at startup: the engine keeps using its classes and limits.
    platform: Rc<PlatformConfig>,
    /// Connections of clients.
    pub frontend: Rc<Frontend>,
    /// Connections to servers.
    pub servers: Rc<Servers>,
    accept_task: AbortHandle,
}

impl DiameterService {
    /// Closes the listener. Connections stay open.
    pub fn stop_accepting(&self) {
        self.accept_task.abort();
    }

    /// Applies a changed `[diameter]` table.
    ///
    /// # Errors
    /// Returns why the table cannot be applied; the configuration in use then stays unchanged.
    pub async fn reload(&mut self, new: &DiameterConfig) -> Result<(), String> {
        if new.identity != self.config.identity || new.realm != self.config.realm {
            return Err("diameter: a change of identity or realm requires a restart".into());
        }
        check(new, &self.platform.settings)?;
        let tls = load_tls(new.tls.as_ref())?;
        if new.listen != self.config.listen {
            let listener = bind(new).await?;
            self.accept_task.abort();
            self.accept_task = spawn_local(self.frontend.clone().accept(listener)).abort_handle();
            self.identity.address = new.listen.ip();
        }
        let servers = servers_config(new, self.identity.clone(), &self.platform, tls.as_ref());
        self.servers.reload(servers);
        let frontend = frontend_config(new, self.identity.clone(), &self.platform, tls.as_ref());
        self.frontend.reload(frontend);
        self.config = new.clone();
        Ok(())
    }
}
