//! Diameter credit control as the operator's file has it: made at the start, and moved by a new file.

use crate::node::Config;
use crate::operator::Diameter;
use crate::tls::Tls;
use frosthatch_diameter::credit::Mapping;
use frosthatch_diameter::front::{self, Front};
use frosthatch_diameter::peer::Identity;
use frosthatch_diameter::servers::{self, Servers};
use frosthatch_engine::Engine;
use frosthatch_sockets::Sharing;
use frosthatch_traffic_control::{Effect, Settings};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};

/// Sessions that may be held, whatever the operator's file says: some 400 bytes each, a quarter of the memory.
const SESSIONS_A_MB: usize = 600;
/// A client's connection holds that much that has been read, and not yet a whole message.
const READ_BYTES: usize = 72 << 10;
/// Parts of the memory: answers kept for repeats, requests out, what waits to be written (each side), and what is read.
const REPEATS_PART: usize = 16;
const REQUESTS_PART: usize = 32;
const QUEUES_PART: usize = 16;
const READ_PART: usize = 16;

/// What is left of the memory for clients over HTTP beside all that: a quarter.
pub const HTTP_PART: usize = 4;

/// Connections of clients: as the file says, but no more than the descriptors and the memory bear.
pub fn most_clients(d: &Diameter, config: &Config) -> usize {
    let memory = (config.memory_mb << 20) / READ_PART / READ_BYTES;
    d.most_clients.min(config.sockets / 4).min(memory).max(1)
}

/// The operator's classes and plans must be the platform's.
pub fn check(d: &Diameter, settings: &Settings) -> Result<(), String> {
    let class = |name: &str, repeatable: bool| {
        let class = settings.classes.iter().find(|c| c.name == name);
        match class.map(|c| c.effect) {
            Some(Effect::Repeatable) => Ok(()),
            Some(Effect::Keyed { .. }) if !repeatable => Ok(()),
            Some(_) => Err(format!(
                "diameter: class {name:?} is not of the effect that it must have"
            )),
            None => Err(format!(
                "diameter: there is no class {name:?} in the settings"
            )),
        }
    };
    class(&d.check_class, true)?;
    class(&d.charge_class, false)?;
    let known = |plan: &&String| settings.plans.iter().any(|p| p.name == **plan);
    match d.plans.values().chain(&d.default_plan).find(|p| !known(p)) {
        Some(plan) => Err(format!(
            "diameter: there is no plan {plan:?} in the settings"
        )),
        None => Ok(()),
    }
}

fn to_servers(
    d: &Diameter,
    me: Identity,
    config: &Config,
    tls: Option<&Tls>,
) -> servers::ServersConfig {
    servers::ServersConfig {
        me,
        tw_us: d.tw.as_micros() as u64,
        connect_timeout: config.connect_timeout,
        most_pending: d.most_pending,
        tls: tls.map(|t| (t.client.clone(), t.name.clone())),
        queued_bytes: (config.memory_mb << 20) / QUEUES_PART,
        seed: config.seed,
    }
}

fn to_clients(
    d: &Diameter,
    me: Identity,
    config: &Config,
    tls: Option<&Tls>,
) -> front::FrontConfig {
    let micros = |t: Duration| t.as_micros() as u64;
    let mapping = Mapping {
        check: d.check_class.clone(),
        charge: d.charge_class.clone(),
        plans: d.plans.clone(),
        otherwise: d.default_plan.clone(),
        most_units: config.settings.max_units,
        session_us: micros(d.session),
        repeats_us: micros(d.repeats),
        most_sessions: d.most_sessions.min(config.memory_mb * SESSIONS_A_MB),
        most_repeats: d.most_repeats,
        repeat_bytes: (config.memory_mb << 20) / REPEATS_PART,
    };
    let tx = |class: &frosthatch_traffic_control::RequestClass| {
        (
            class.name.clone(),
            d.tx.min(Duration::from_micros(class.deadline_us)),
        )
    };
    front::FrontConfig {
        me,
        tw_us: micros(d.tw),
        mapping,
        tx: config.settings.classes.iter().map(tx).collect(),
        gateways: config.settings.gateways,
        most_clients: most_clients(d, config),
        tls: tls.map(|t| t.server.clone()),
        request_bytes: (config.memory_mb << 20) / REQUESTS_PART,
        queued_bytes: (config.memory_mb << 20) / QUEUES_PART,
        seed: config.seed,
    }
}

/// The servers' side, which must be there before the decisions are.
pub struct Half {
    me: Identity,
    tls: Option<Tls>,
    pub servers: Rc<Servers>,
}

impl Half {
    pub fn new(d: &Diameter, config: &Config, clock: Rc<dyn Fn() -> u64>) -> Result<Half, String> {
        check(d, &config.settings)?;
        let tls = d.tls.as_ref().map(|files| files.read()).transpose()?;
        let me = Identity {
            host: d.identity.clone(),
            realm: d.realm.clone(),
            address: d.listen.ip(),
            // Seconds since 1970 grow with each start.
            state_id: (clock() / 1_000_000) as u32,
        };
        let servers = Servers::new(to_servers(d, me.clone(), config, tls.as_ref()), clock);
        Ok(Half { me, tls, servers })
    }

    pub async fn join(
        self,
        d: Diameter,
        config: Rc<Config>,
        engine: Rc<Engine>,
    ) -> Result<Spoken, String> {
        let Half { me, tls, servers } = self;
        let listener = frosthatch_sockets::listen(d.listen, Sharing::Alone).await;
        let listener = listener.map_err(|e| cannot_listen(&d, &e))?;
        let plan = to_clients(&d, me.clone(), &config, tls.as_ref());
        let front = Front::new(plan, engine, servers.clone());
        let accepts = spawn_local(front.clone().accept(listener)).abort_handle();
        Ok(Spoken {
            d,
            me,
            config,
            front,
            servers,
            accepts,
        })
    }
}

/// Listens at another address of a new configuration; a reload does not wait for one that is taken.
async fn listen(d: &Diameter) -> Result<TcpListener, String> {
    TcpListener::bind(d.listen)
        .await
        .map_err(|e| cannot_listen(d, &e))
}

fn cannot_listen(d: &Diameter, error: &std::io::Error) -> String {
    format!("diameter: cannot listen on {}: {error}", d.listen)
}

/// Diameter while it is spoken.
pub struct Spoken {
    d: Diameter,
    me: Identity,
    /// Of the start: classes and limits are those that the decisions work with.
    config: Rc<Config>,
    pub front: Rc<Front>,
    pub servers: Rc<Servers>,
    accepts: AbortHandle,
}

impl Spoken {
    /// Goes over to a new table, or says why not and stays as it was.
    pub async fn reload(&mut self, new: &Diameter) -> Result<(), String> {
        if (&new.identity, &new.realm) != (&self.d.identity, &self.d.realm) {
            return Err("diameter: another identity or realm wants a restart".into());
        }
        check(new, &self.config.settings)?;
        let tls = new.tls.as_ref().map(|files| files.read()).transpose()?;
        if new.listen != self.d.listen {
            let listener = listen(new).await?;
            self.accepts.abort();
            self.accepts = spawn_local(self.front.clone().accept(listener)).abort_handle();
            self.me.address = new.listen.ip();
        }
        let (me, config) = (&self.me, &self.config);
        self.servers
            .reload(to_servers(new, me.clone(), config, tls.as_ref()));
        self.front
            .reload(to_clients(new, me.clone(), config, tls.as_ref()));
        self.d = new.clone();
        Ok(())
    }
}
