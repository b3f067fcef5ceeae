//! One gateway: start, wiring, signals, exit code.
#![forbid(unsafe_code)]

mod config;
mod counter;
mod discovery;
mod driver;
mod server;
mod upstream;

use config::Config;
use driver::Driver;
use server::Door;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};
use turndeck::{Gateway, ListKind};
use upstream::{Limits, Upstream, BODY_BYTES, HEAD_BYTES};

/// After SIGTERM connections go on coming for up to 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(500);
/// Once the longest deadline has passed after that, nothing is held; SIGKILL may come 0.7 s after it.
const LAST_ANSWERS: Duration = Duration::from_millis(50);
/// Descriptors for the listener, discovery, the counter and the runtime.
const OTHER_SOCKETS: usize = 16;
/// What a client's connection may make the gateway hold at most: head and body of its request, both once more as they
/// are sent on, and an answer.
const CLIENT_BYTES: usize = 2 * (HEAD_BYTES + BODY_BYTES) + BODY_BYTES;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("frosthatch: {text}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let config = Config::from_env().map_err(|e| e.to_string())?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(LocalSet::new().run_until(serve(config)))
}

async fn serve(config: Config) -> Result<(), String> {
    let gateway = Gateway::new(config.settings.clone(), config.seed).map_err(|e| e.to_string())?;
    let signals = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    let (mut terminate, mut hangup) = (signals(SignalKind::terminate())?, signals(SignalKind::hangup())?);
    // Clients hold a third of the descriptors at most for requests, and each has one attempt out: the rest is for
    // connections that are kept, and for clients that are none of ours.
    let to_servers = config.sockets * 2 / 5;
    let in_memory = config.memory_mb * 3 / 4 * 1_048_576 / CLIENT_BYTES;
    let clients = (config.sockets - to_servers - OTHER_SOCKETS).min(in_memory);
    let upstream = Rc::new(Upstream::new(Limits {
        connect_timeout: config.connect_timeout,
        idle: config.server_idle / 3,
        connections: to_servers,
        // Beside what clients' connections may hold, with some to spare.
        long_answers: config.memory_mb / 8 * 1_048_576,
    }));
    let (calls, called) = mpsc::channel(counter::MOST_OUT);
    let driver = Rc::new(Driver::new(gateway, upstream.clone(), calls));
    driver.servers(ListKind::Persisted, config.known.targets);
    let listener = TcpListener::bind(config.listen).await.map_err(|e| format!("cannot listen: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
    eprintln!("{} listens on {address}", config.name);
    spawn_local(driver.clone().run_timers());
    spawn_local(upstream::sweep(upstream));
    let (moved, addresses) = watch::channel(config.addresses);
    spawn_local(discovery::watch(addresses.clone(), driver.clone()));
    spawn_local(counter::run(addresses, config.counter_timeout, called, driver.clone()));
    let longest = config.settings.classes.iter().map(|c| c.deadline_us).max().unwrap_or(0);
    let door = Door::new(driver, config.settings, clients);
    spawn_local(door.clone().accept(listener));

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => match Config::from_env() {
                Ok(config) => drop(moved.send_replace(config.addresses)),
                Err(e) => eprintln!("{e}; the old one stays"),
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
