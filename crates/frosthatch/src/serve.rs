//! The gateway itself: its parts are made, joined and, by signals, moved and ended.

use crate::joined;
use crate::node::Config;
use crate::operator::{self, Operator};
use frosthatch_counter as counter;
use frosthatch_engine::{Engine, Fleet};
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
use turndeck::Gateway;

/// After SIGTERM connections go on coming for up to 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(500);
/// Once the longest deadline has passed after that, nothing is held; SIGKILL may come 0.7 s after it.
const LAST_ANSWERS: Duration = Duration::from_millis(50);
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

async fn serve(config: Config, operator: Operator, operator_file: Option<&Path>) -> Result<(), String> {
    let gateway = Gateway::new(config.settings.clone(), config.seed).map_err(|e| e.to_string())?;
    let signals = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    let (mut terminate, mut hangup) = (signals(SignalKind::terminate())?, signals(SignalKind::hangup())?);
    // Membership by DNS-SD may ask for many things at once.
    let other_sockets = OTHER_SOCKETS + operator.dns_sd.as_ref().map_or(0, |p| p.sockets());
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
    let fleets: Vec<Rc<dyn Fleet>> = vec![upstream.clone()];
    let engine = Rc::new(Engine::new(gateway, fleets, calls));
    let listener = TcpListener::bind(config.listen).await.map_err(|e| format!("cannot listen: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
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
    sleep(STILL_COMING).await;
    let finish = async {
        while door.open() > 0 {
            // Again and again: a connection may have come since.
            door.close();
            sleep(Duration::from_millis(10)).await;
        }
    };
    let _ = timeout(Duration::from_micros(longest) + LAST_ANSWERS, finish).await;
    Ok(())
}
