//! The gateway itself: its parts are made, joined and, by signals, moved and ended.

use crate::joined;
use crate::node::Config;
use crate::operator::{self, Diameter, Operator};
use crate::tls::{self, Tls};
use frosthatch_counter as counter;
use frosthatch_diameter::credit::Mapping;
use frosthatch_diameter::front::{self, Front};
use frosthatch_diameter::peer::Identity;
use frosthatch_diameter::servers::{self, Servers};
use frosthatch_engine::{Clock, Engine, Fleet};
use frosthatch_http1::backend::{self, Limits, Upstream};
use frosthatch_http1::front::Door;
use frosthatch_http1::{BODY_BYTES, HEAD_BYTES};
use frosthatch_membership::{self as membership, Source};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};
use turndeck::{Effect, Gateway, Settings};

/// After SIGTERM connections go on coming for up to 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(500);
/// Once the longest deadline has passed after that, nothing is held; SIGKILL may come 0.7 s after it.
const LAST_ANSWERS: Duration = Duration::from_millis(50);
/// Diameter sessions that may be held, whatever the operator's file says: some 400 bytes each, a quarter of the memory.
const SESSIONS_A_MB: usize = 600;
/// Peers' answers to a goodbye are awaited for so long.
const GOODBYE: Duration = Duration::from_millis(100);
/// Descriptors for the listener, membership, the counter and the runtime.
const OTHER_SOCKETS: usize = 16;
/// What a client's connection may make the gateway hold at most: head and body of its request, both once more as they
/// are sent on, and an answer.
const CLIENT_BYTES: usize = 2 * (HEAD_BYTES + BODY_BYTES) + BODY_BYTES;

/// Serves until it is told to end.
pub fn run(operator_file: Option<&Path>) -> Result<(), String> {
    let config = Config::from_env().map_err(|e| joined(&e))?;
    let operator = operator::read(operator_file).map_err(|e| joined(&e))?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(LocalSet::new().run_until(serve(config, operator, operator_file)))
}

fn source(config: &Config, operator: &Operator) -> Source {
    match &operator.dns_sd {
        Some(plan) => Source::DnsSd(plan.clone()),
        None => Source::List(config.discovery),
    }
}

/// The operator's classes and plans must be the platform's.
pub fn check(d: &Diameter, settings: &Settings) -> Result<(), String> {
    let class = |name: &str, repeatable: bool| {
        let class = settings.classes.iter().find(|c| c.name == name);
        match class.map(|c| c.effect) {
            Some(Effect::Repeatable) => Ok(()),
            Some(Effect::Keyed { .. }) if !repeatable => Ok(()),
            Some(_) => Err(format!("diameter: class {name:?} is not of the effect that it must have")),
            None => Err(format!("diameter: there is no class {name:?} in the settings")),
        }
    };
    class(&d.check_class, true)?;
    class(&d.charge_class, false)?;
    let known = |plan: &&String| settings.plans.iter().any(|p| p.name == **plan);
    match d.plans.values().chain(&d.default_plan).find(|p| !known(p)) {
        Some(plan) => Err(format!("diameter: there is no plan {plan:?} in the settings")),
        None => Ok(()),
    }
}

/// Diameter's two sides; the servers' side hears of the fleet.
fn diameter_servers(
    d: &Diameter,
    config: &Config,
    tls: Option<&Tls>,
    clock: Rc<dyn Fn() -> u64>,
) -> (Identity, Rc<Servers>) {
    let me = Identity {
        host: d.identity.clone(),
        realm: d.realm.clone(),
        address: d.listen.ip(),
        // Seconds since 1970 grow with each start.
        state_id: (clock() / 1_000_000) as u32,
    };
    let plan = servers::Plan {
        me: me.clone(),
        tw_us: d.tw.as_micros() as u64,
        connect_timeout: config.connect_timeout,
        most_pending: d.most_pending,
        tls: tls.map(|t| (t.client.clone(), t.name.clone())),
        seed: config.seed,
    };
    (me, Servers::new(plan, clock))
}

fn diameter_front(
    d: &Diameter,
    me: Identity,
    config: &Config,
    tls: Option<&Tls>,
    engine: Rc<Engine>,
    servers: Rc<Servers>,
) -> Rc<Front> {
    let micros = |t: Duration| t.as_micros() as u64;
    let mapping = Mapping {
        check: d.check_class.clone(),
        charge: d.charge_class.clone(),
        plans: d.plans.clone(),
        otherwise: d.default_plan.clone(),
        most_units: config.settings.most_units,
        session_us: micros(d.session),
        repeats_us: micros(d.repeats),
        most_sessions: d.most_sessions.min(config.memory_mb * SESSIONS_A_MB),
        most_repeats: d.most_repeats,
        repeat_bytes: config.memory_mb / 16 * 1_048_576,
    };
    let tx =
        |class: &turndeck::Class| (class.name.clone(), d.tx.min(Duration::from_micros(class.deadline_us)));
    let plan = front::Plan {
        me,
        tw_us: micros(d.tw),
        mapping,
        tx: config.settings.classes.iter().map(tx).collect(),
        gateways: config.settings.gateways,
        most_clients: d.most_clients,
        tls: tls.map(|t| t.server.clone()),
        seed: config.seed,
    };
    Front::new(plan, engine, servers)
}

async fn serve(config: Config, operator: Operator, operator_file: Option<&Path>) -> Result<(), String> {
    let gateway = Gateway::new(config.settings.clone(), config.seed).map_err(|e| e.to_string())?;
    let signals = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    let (mut terminate, mut hangup) = (signals(SignalKind::terminate())?, signals(SignalKind::hangup())?);
    // Membership by DNS-SD may ask for many things at once.
    let other_sockets = OTHER_SOCKETS
        + operator.dns_sd.as_ref().map_or(0, |p| p.sockets())
        + operator.diameter.as_ref().map_or(0, |d| d.most_clients + 1);
    // Clients hold a third of the descriptors at most for requests, and each has one attempt out: the rest is for
    // connections that are kept, and for clients that are none of ours.
    let to_servers = config.sockets * 2 / 5;
    let in_memory = config.memory_mb * 3 / 4 * 1_048_576 / CLIENT_BYTES;
    let clients = config.sockets.saturating_sub(to_servers + other_sockets).min(in_memory);
    let upstream = Rc::new(Upstream::new(Limits {
        connect_timeout: config.connect_timeout,
        idle: config.server_idle / 3,
        connections: to_servers,
        // Beside what clients' connections may hold, with some to spare.
        long_answers: config.memory_mb / 8 * 1_048_576,
    }));
    let (calls, called) = mpsc::channel(counter::MOST_OUT);
    let mut fleets: Vec<Rc<dyn Fleet>> = vec![upstream.clone()];
    let clock = Rc::new(Clock::default());
    let mut diameter = None;
    if let Some(d) = &operator.diameter {
        check(d, &config.settings)?;
        let tls = d.tls.as_ref().map(tls::Files::read).transpose()?;
        let (me, servers) = diameter_servers(d, &config, tls.as_ref(), clock.clone().reader());
        fleets.push(servers.clone());
        diameter = Some((d, me, servers, tls));
    }
    let engine = Rc::new(Engine::new(gateway, fleets, calls, clock));
    let listener = TcpListener::bind(config.listen).await.map_err(|e| format!("cannot listen: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
    let diameter = match diameter {
        Some((d, me, servers, tls)) => {
            let listener = TcpListener::bind(d.listen).await;
            let listener = listener.map_err(|e| format!("diameter: cannot listen on {}: {e}", d.listen))?;
            let front = diameter_front(d, me, &config, tls.as_ref(), engine.clone(), servers.clone());
            spawn_local(front.clone().accept(listener));
            Some((front, servers))
        }
        None => None,
    };
    let (to_source, sources) = watch::channel(source(&config, &operator));
    let (to_counter, counters) = watch::channel(config.counter);
    eprintln!("{} listens on {address}", config.name);
    spawn_local(engine.clone().run_timers());
    spawn_local(backend::sweep(upstream.clone()));
    spawn_local(membership::run(sources, config.known.targets, config.seed, engine.clone()));
    spawn_local(counter::run(counters, config.counter_timeout, called, engine.clone()));
    let longest = config.settings.classes.iter().map(|c| c.deadline_us).max().unwrap_or(0);
    let door = Door::new(engine, upstream, config.settings, clients);
    spawn_local(door.clone().accept(listener));

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => match (Config::from_env(), operator::read(operator_file)) {
                (Ok(config), Ok(operator)) => {
                    to_source.send_replace(source(&config, &operator));
                    to_counter.send_replace(config.counter);
                }
                (config, operator) => {
                    let mut bad = config.err().unwrap_or_default();
                    bad.extend(operator.err().unwrap_or_default());
                    eprintln!("{}; the old one stays", joined(&bad));
                }
            },
        }
    }
    door.leave();
    if let Some((front, _)) = &diameter {
        front.leave();
    }
    sleep(STILL_COMING).await;
    let finish = async {
        while door.open() > 0 || diameter.as_ref().is_some_and(|(front, _)| front.held() > 0) {
            // Again and again: a connection may have come since.
            door.close();
            sleep(Duration::from_millis(10)).await;
        }
    };
    let _ = timeout(Duration::from_micros(longest) + LAST_ANSWERS, finish).await;
    if let Some((front, servers)) = diameter {
        // Nothing is held any more: both sides hear why their connections end (RFC 6733 section 5.4).
        front.goodbye();
        servers.leave();
        sleep(GOODBYE).await;
    }
    Ok(())
}
