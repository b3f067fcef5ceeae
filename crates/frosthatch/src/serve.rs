//! The gateway itself: its parts are made, joined and, by signals, moved and ended.

use crate::console::Console;
use crate::node::Config;
use crate::operator::{self, Operator};
use crate::{choices, diameter, fleet, handover, policy};
use frosthatch_admin as console;
use frosthatch_cluster_membership::LifecyclePhase;
use frosthatch_config_reader::joined;
use frosthatch_counter as counter;
use frosthatch_discovery::{self as membership, Source};
use frosthatch_engine::{
    Clock, EndpointObserver, Engine, RequestCounters, RequestPlugins, UsageReporter,
};
use frosthatch_handover::driver::{self as upgrade, Host, LocalEvent};
use frosthatch_http1::backend::{self, Limits, Upstream};
use frosthatch_http1::server::HttpServer;
use frosthatch_http1::{BODY_BYTES, HEAD_BYTES};
use frosthatch_log::log_line;
use frosthatch_plugins::host::{self as plugins, Plugins};
use frosthatch_sockets::{listen, Sharing};
use frosthatch_traffic_control::Gateway;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep, timeout_at, Instant, MissedTickBehavior};

/// After SIGTERM connections go on coming for up to 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(500);
/// Once the longest deadline has passed after that, nothing is held...
const LAST_ANSWERS: Duration = Duration::from_millis(50);
/// ...answers are on their way for so long, and the process ends: SIGKILL may come 0.7 s after the longest deadline.
const LAST_WRITES: Duration = Duration::from_millis(50);
/// A longer deadline counts as this, as with whoever sends SIGKILL.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// With nothing held any more it is looked so often whether something has come all the same.
const LAST_LOOKS: u32 = 2;
/// Answers to a goodbye are awaited for so long, and other gateways told of it.
const GOODBYE: Duration = Duration::from_millis(100);
/// How often is looked whether this gateway is ready, for the others.
const LOOK: Duration = Duration::from_millis(50);
/// Descriptors for the listener, membership, the counter and the runtime.
const OTHER_SOCKETS: usize = 16;
/// What a client's connection may make the gateway hold at most: head and body of its request, both once more as they
/// are sent on, and an answer.
const CLIENT_BYTES: usize = 2 * (HEAD_BYTES + BODY_BYTES) + BODY_BYTES;

/// Serves until it is told to end.
pub fn run(operator_file: Option<&Path>) -> Result<(), String> {
    let config = Config::from_env().map_err(|e| joined(&e))?;
    let operator = operator::read(operator_file).map_err(|e| joined(&e))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    runtime.block_on(LocalSet::new().run_until(serve(config, operator, operator_file)))
}

fn source(config: &Config, operator: &Operator) -> Source {
    match &operator.dns_sd {
        Some(plan) => Source::DnsSd(plan.clone()),
        None => Source::List(config.discovery),
    }
}

/// Goes over to a new file's plug-ins; what cannot be used is told.
async fn reload_plugins(running: Option<&Rc<Plugins>>, plans: Vec<plugins::PluginConfig>) {
    match running {
        Some(running) => running
            .reload(plans)
            .await
            .iter()
            .for_each(|wrong| log_line!("{wrong}")),
        None if plans.is_empty() => {}
        None => log_line!("plugins: the first ones want a restart"),
    }
}

async fn serve(
    mut config: Config,
    operator: Operator,
    operator_file: Option<&Path>,
) -> Result<(), String> {
    let mut member = None;
    if let Some(f) = &operator.fleet {
        member = Some(fleet::member(f, &mut config).await?);
    }
    let gateway = Gateway::new(config.settings.clone(), config.seed).map_err(|e| e.to_string())?;
    let signals = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    let (mut terminate, mut hangup) = (
        signals(SignalKind::terminate())?,
        signals(SignalKind::hangup())?,
    );
    // Membership by DNS-SD may ask for many things at once.
    let other_sockets = OTHER_SOCKETS
        + operator.dns_sd.as_ref().map_or(0, |p| p.sockets())
        + config.console.map_or(0, |_| console::PLACES + 1)
        + operator
            .diameter
            .as_ref()
            .map_or(0, |d| diameter::most_clients(d, &config) + 1);
    // Clients hold a third of the descriptors at most for requests, and each has one attempt out: the rest is for
    // connections that are kept, and for clients that are none of ours.
    let to_servers = config.sockets * 2 / 5;
    let memory = config.memory_mb << 20;
    let meeting_place = handover::meeting_place(&config, &operator);
    let inherited = match &meeting_place {
        Some(path) => upgrade::inherit(path).await,
        None => None,
    };
    let for_clients = if operator.diameter.is_some() {
        memory / diameter::HTTP_PART
    } else {
        memory / 2
    };
    let in_memory = for_clients / CLIENT_BYTES;
    let clients = config
        .sockets
        .saturating_sub(to_servers + other_sockets)
        .min(in_memory);
    let tally = Rc::new(RequestCounters::new(
        config.settings.classes.iter().map(|c| c.name.clone()),
    ));
    let limits = Limits {
        connect_timeout: config.connect_timeout,
        idle: config.server_idle / 3,
        connections: to_servers,
        // Beside what clients' connections may hold, with some to spare.
        long_requests: memory / 4,
    };
    let upstream = Rc::new(Upstream::new(limits, tally.clone()));
    let (calls, called) = mpsc::channel(counter::MOST_OUT);
    let mut fleets: Vec<Rc<dyn EndpointObserver>> = vec![upstream.clone()];
    let clock = Rc::new(Clock::default());
    let mut half = None;
    if let Some(d) = &operator.diameter {
        let made = diameter::Half::new(d, &config, clock.clone().reader())?;
        fleets.push(made.servers.clone());
        half = Some((made, d.clone()));
    }
    let config = Rc::new(config);
    let ledger = member.clone().map(|m| m as Rc<dyn UsageReporter>);
    let engine = Rc::new(Engine::new(
        gateway,
        fleets,
        calls,
        ledger,
        tally,
        clock.clone(),
    ));
    let listener = match inherited
        .as_ref()
        .and_then(|i| i.listener(handover::CLIENTS, config.listen))
    {
        Some(listener) => listener.and_then(TcpListener::from_std),
        // Where processes are replaced another may listen there for a while, if it could not hand over.
        None => {
            let sharing = if meeting_place.is_some() {
                Sharing::Shared
            } else {
                Sharing::Alone
            };
            listen(config.listen, sharing).await
        }
    };
    let listener = Rc::new(listener.map_err(|e| format!("cannot listen: {e}"))?);
    let address = listener
        .local_addr()
        .map_err(|e| format!("cannot listen: {e}"))?;
    let mut diameter = match half {
        Some((half, d)) => Some(half.join(d, config.clone(), engine.clone()).await?),
        None => None,
    };
    let (to_source, sources) = watch::channel(source(&config, &operator));
    let (to_counter, counters) = watch::channel(config.counter);
    log_line!("{} listens on {address}", config.name);
    spawn_local(engine.clone().run_timers());
    if let (Some(member), Some(f)) = (&member, &operator.fleet) {
        spawn_local(member.clone().run(f.tick, engine.clone()));
        if f.choices {
            spawn_local(choices::run(member.clone(), engine.clone()));
        }
    }
    spawn_local(backend::sweep(upstream.clone()));
    let servers = membership::EndpointRegistry::new(engine.clone());
    spawn_local(membership::run(
        sources,
        config.known.targets.clone(),
        config.seed,
        servers.clone(),
    ));
    spawn_local(counter::run(
        counters,
        config.counter_timeout,
        called,
        engine.clone(),
    ));
    let longest = config
        .settings
        .classes
        .iter()
        .map(|c| c.deadline_us)
        .max()
        .unwrap_or(0);
    // Compiled on threads of their own; nothing of them is there where no plug-in is named.
    let rules = match operator.plugins.is_empty() {
        true => None,
        false => Some(
            Plugins::start(
                operator.plugins.clone(),
                config.settings.max_units,
                clock.reader(),
            )
            .await?,
        ),
    };
    let gate = rules.clone().map(|p| p as Rc<dyn RequestPlugins>);
    if let Some(rules) = &rules {
        spawn_local(rules.clone().tick());
    }
    let mut agreed = None;
    if let (Some(plan), Some(member)) = (&operator.policy, &member) {
        let (settings, seed) = (config.settings.clone(), config.seed);
        let started = policy::PolicyService::start(
            plan,
            member.clone(),
            engine.clone(),
            settings,
            seed,
            &operator.plugins,
        );
        agreed = Some(started?);
    }
    let reloads: Rc<[Cell<u64>; 2]> = Rc::default();
    let http_server = HttpServer::new(
        engine.clone(),
        upstream.clone(),
        config.settings.clone(),
        gate,
        clients,
    );
    // With what a new process inherits it waits until it is ready, and the old one serves.
    http_server.turn(inherited.is_none());
    spawn_local(http_server.clone().accept(listener.clone()));
    let mut tell = None;
    let given_up = Rc::new(Notify::new());
    if let Some(path) = meeting_place {
        let (http_server, servers, ends) = (http_server.clone(), servers.clone(), given_up.clone());
        let host = Rc::new(handover::Process {
            listener,
            http_server,
            upstream,
            servers,
            clients,
            to_servers,
            ends,
        });
        if let Some(inherited) = &inherited {
            host.halve(true);
            inherited
                .state
                .marks
                .iter()
                .for_each(|mark| host.mark(mark.clone()));
        }
        let (teller, here) = upgrade::telling();
        spawn_local(handover::tell_prepared(engine.clone(), teller.clone()));
        spawn_local(upgrade::run(path, inherited, host, here));
        tell = Some(teller);
    }
    if let Some(at) = config.console {
        let listener = listen(at, Sharing::Alone).await;
        let listener = listener.map_err(|e| format!("console: cannot listen on {at}: {e}"))?;
        let at = listener.local_addr().map_err(|e| format!("console: {e}"))?;
        log_line!("console on {at}");
        let tell = tell.clone();
        let desk = Console {
            engine: engine.clone(),
            http_server: http_server.clone(),
            servers,
            reloads: reloads.clone(),
            tell,
            member: member.clone(),
            policy: agreed.clone(),
        };
        spawn_local(console::listen(listener, Rc::new(desk)));
    }
    let reloaded = |well: bool| {
        let count = &reloads[usize::from(!well)];
        count.set(count.get() + 1);
    };

    let (fleet_then, policy_then) = (operator.fleet, operator.policy);
    let mut look = interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = look.tick(), if member.is_some() => {
                member.iter().for_each(|m| m.set_phase(phase(&http_server)));
            }
            () = given_up.notified() => return Err("a running process could not be replaced".into()),
            _ = hangup.recv() => match (Config::from_env(), operator::read(operator_file)) {
                (Ok(config), Ok(operator)) => {
                    if operator.fleet != fleet_then {
                        log_line!("fleet: another table wants a restart; the old one stays");
                    }
                    if operator.policy != policy_then {
                        log_line!("policy: another table wants a restart; the old one stays");
                    }
                    if let (Some(member), Some(f)) = (&member, &fleet_then) {
                        match operator::fleet_keys(&f.key_file) {
                            Ok(keys) => member.set_keys(keys),
                            Err(why) => log_line!("fleet: {why}; the old keys stay"),
                        }
                    }
                    let moved = match (&mut diameter, &operator.diameter) {
                        (Some(spoken), Some(d)) => spoken.reload(d).await,
                        (None, None) => Ok(()),
                        _ => Err("diameter: turning it on or off wants a restart".into()),
                    };
                    reloaded(moved.is_ok());
                    match moved {
                        Ok(()) => {
                            reload_plugins(rules.as_ref(), operator.plugins.clone()).await;
                            agreed.iter().for_each(|p| p.reloaded(&operator.plugins));
                            to_source.send_replace(source(&config, &operator));
                            to_counter.send_replace(config.counter);
                        }
                        Err(why) => log_line!("{why}; the old one stays"),
                    }
                }
                (config, operator) => {
                    reloaded(false);
                    let mut bad = config.err().unwrap_or_default();
                    bad.extend(operator.err().unwrap_or_default());
                    log_line!("{}; the old one stays", joined(&bad));
                }
            },
        }
    }
    let longest = Duration::from_micros(longest).min(LONGEST_DEADLINE);
    let answers_until = Instant::now() + STILL_COMING + longest + LAST_ANSWERS;
    let ends = answers_until + LAST_WRITES;
    http_server.leave(answers_until);
    member
        .iter()
        .for_each(|m| m.set_phase(LifecyclePhase::Draining));
    if let Some(tell) = &tell {
        let _ = tell.try_send(LocalEvent::Terminate);
    }
    if let Some(spoken) = &diameter {
        spoken.front.leave();
    }
    if http_server.accepting() {
        sleep(STILL_COMING).await;
    } else {
        // Another process accepts: nothing comes any more but over connections that are there, and those that stay idle
        // are closed late, so that few closes cross a request.
        while http_server.open() > 0 && Instant::now() + STILL_COMING * 2 < ends {
            http_server.close_stale();
            sleep(Duration::from_millis(10)).await;
        }
    }
    let finish = async {
        let held =
            || http_server.open() > 0 || diameter.as_ref().is_some_and(|d| d.front.held() > 0);
        // Again and again: a connection may have come since, and one that waits in the listener's queue is seen by the next
        // look at the latest.
        let mut looks_without = 0;
        while looks_without < LAST_LOOKS {
            http_server.close();
            sleep(Duration::from_millis(10)).await;
            looks_without = if held() { 0 } else { looks_without + 1 };
        }
    };
    let _ = timeout_at(ends, finish).await;
    engine.note_unanswered();
    let says_goodbye = diameter.is_some() || member.is_some();
    if let Some(diameter::Spoken { front, servers, .. }) = diameter {
        // Nothing is held any more: both sides hear why their connections end (RFC 6733 section 5.4).
        front.goodbye();
        servers.leave();
    }
    if let Some(member) = member {
        // Nothing is let through any more: what was its part is the others'. Said again at each tick, as some of it may be lost.
        member.leave();
    }
    if says_goodbye {
        sleep(GOODBYE).await;
    }
    Ok(())
}

/// What the others are told of this gateway.
fn phase(http_server: &HttpServer) -> LifecyclePhase {
    match (http_server.ready(), http_server.draining()) {
        (_, true) => LifecyclePhase::Draining,
        (true, false) => LifecyclePhase::Ready,
        (false, false) => LifecyclePhase::Joining,
    }
}
