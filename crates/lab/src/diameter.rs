//! `diameter`: the real gateway between test clients and four servers, of which one stops answering, one drains and one restarts;
//! then the CPU cost of a request compared with HTTP, and the memory per session.

use crate::figures::Figures;
use crate::load::{Load, Outcome};
use crate::servers::Server;
use crate::site::{self, cpu, memory_mb, pause, Node, OperatorFile};
use frosthatch_diameter::codec::{Avp, Message};
use frosthatch_diameter::dictionary::{code, command, result};
use frosthatch_test_doubles::diameter::{
    answer_with_result, credit_control_request, event_request, read_diameter_message,
    success_answer, with_customer, with_units, DiameterClient, DiameterServer,
};
use frosthatch_test_doubles::{endpoint_entry, Discovery};
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const REQUESTS_PER_S: u32 = 500;
/// Time after a drain notice within which new requests may still reach the server.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Transaction timer of checks: the deadline of the class, as over HTTP.
const CHECK_TX_TIMER: Duration = Duration::from_millis(2_000);
/// Transaction timer of charges.
const CHARGE_TX_TIMER: Duration = Duration::from_millis(750);
const HOSTS: [&str; 4] = [
    "s0.example.org",
    "s1.example.org",
    "s2.example.org",
    "s3.example.org",
];
/// The customer that sends far more than its ceiling.
const CUSTOMER_ABOVE_CEILING: &str = "4500000042";
/// Ceiling of [`CUSTOMER_ABOVE_CEILING`]: units per second, and depth in units.
const CEILING: (f64, f64) = (20.0, 40.0);
/// Units of each request of [`CUSTOMER_ABOVE_CEILING`].
const UNITS_PER_REQUEST: u64 = 3;
/// Permitted overrun in units: a tenth of the depth, and what the ceiling grants in 150 ms.
const MAX_OVERRUN_UNITS: f64 = 4.0 + 3.0;

/// A request that a server ran.
struct ServerRequest {
    at: Instant,
    server: usize,
    end_to_end: u32,
    charge: bool,
    above_ceiling: bool,
}

type Log = Arc<Mutex<Vec<ServerRequest>>>;

fn start_server(n: usize, silent: Arc<AtomicBool>, log: Log) -> DiameterServer {
    DiameterServer::new(HOSTS[n], move |ccr| {
        let charge = ccr.u32_value(code::REQUESTED_ACTION) != Some(2);
        let above_ceiling = ccr
            .find(code::SUBSCRIPTION_ID)
            .is_some_and(|a| is_customer_above_ceiling(&a.data));
        let request = ServerRequest {
            at: Instant::now(),
            server: n,
            end_to_end: ccr.header.end_to_end,
            charge,
            above_ceiling,
        };
        log.lock().expect("lock is not poisoned").push(request);
        let answer =
            success_answer(ccr, HOSTS[n]).with_avp(Avp::of_u32(code::CC_SESSION_FAILOVER, 1));
        (!silent.load(Ordering::SeqCst)).then_some(answer)
    })
}

fn is_customer_above_ceiling(data: &[u8]) -> bool {
    data.windows(CUSTOMER_ABOVE_CEILING.len())
        .any(|w| w == CUSTOMER_ABOVE_CEILING.as_bytes())
}

fn list_entry(n: usize, server: &DiameterServer, state: &str) -> String {
    let entry = endpoint_entry(&format!("d{n}"), server.address, n as u64 / 2, state);
    format!("{},\"proto\":\"diameter\"}}", entry.trim_end_matches('}'))
}

fn free_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a loopback port can be bound")
}

/// Requests that a client sent, with their transaction timers, and all answers, by end-to-end identifier.
#[derive(Default)]
struct ClientLog {
    sent: HashMap<u32, (Instant, Duration)>,
    answers: HashMap<u32, Vec<(Instant, u32)>>,
}

/// Starts an open-loop client with one writing and one reading thread.
fn start_client(
    address: SocketAddr,
    host: &str,
    length: Duration,
    per_s: u32,
) -> (thread::JoinHandle<()>, Arc<Mutex<ClientLog>>) {
    let mut client = DiameterClient::new(address, host);
    let client_log: Arc<Mutex<ClientLog>> = Arc::default();
    let mut reader = client.stream.try_clone().expect("the socket can be cloned");
    let answers = client_log.clone();
    thread::spawn(move || {
        let mut buffer = Vec::new();
        while let Some(message) = read_diameter_message(&mut reader, &mut buffer) {
            if message.header.command == command::CREDIT_CONTROL {
                let (id, result) = (
                    message.header.end_to_end,
                    message.result_code().unwrap_or(0),
                );
                let mut client_log = answers.lock().expect("lock is not poisoned");
                client_log
                    .answers
                    .entry(id)
                    .or_default()
                    .push((Instant::now(), result));
            } else if message.header.flags & 0x80 != 0 {
                let answer = answer_with_result(&message, "till.example.org", result::SUCCESS);
                let _ = reader.write_all(&answer.encode());
            }
        }
    });
    let (host, writer_log) = (host.to_string(), client_log.clone());
    let writer = thread::spawn(move || {
        let start = Instant::now();
        let mut open: Vec<(String, u32)> = Vec::new();
        for n in 0.. {
            let due = Duration::from_secs_f64(f64::from(n) / f64::from(per_s));
            if due >= length {
                break;
            }
            thread::sleep((start + due).saturating_duration_since(Instant::now()));
            let customer = format!("45{:08}", n % 500 + 1_000);
            // 71 of 100 requests check, the others charge, some of them in sessions of three requests.
            let (message, tx_timer) = match n % 100 {
                0..71 => (customer_event(2, &customer), CHECK_TX_TIMER),
                71..76 => (
                    with_units(customer_event(0, CUSTOMER_ABOVE_CEILING), UNITS_PER_REQUEST),
                    CHARGE_TX_TIMER,
                ),
                76..91 => (customer_event(0, &customer), CHARGE_TX_TIMER),
                91..94 => {
                    let session = format!("{host};{n};1");
                    open.push((session.clone(), 0));
                    (
                        with_customer(credit_control_request(&session, 1, 0), &customer),
                        CHARGE_TX_TIMER,
                    )
                }
                _ => match open.first_mut() {
                    Some((session, number)) => {
                        *number += 1;
                        let kind = if *number == 1 { 2 } else { 3 };
                        let message = credit_control_request(session, kind, *number);
                        if kind == 3 {
                            open.remove(0);
                        }
                        (message, CHARGE_TX_TIMER)
                    }
                    None => (customer_event(2, &customer), CHECK_TX_TIMER),
                },
            };
            let mut message = message;
            message.avps[1] = Avp::of_text(code::ORIGIN_HOST, &host);
            writer_log
                .lock()
                .expect("lock is not poisoned")
                .sent
                .insert(message.header.end_to_end, (Instant::now(), tx_timer));
            client.send(&message);
        }
        // Waits for the last answers.
        thread::sleep(CHECK_TX_TIMER + Duration::from_millis(300));
    });
    (writer, client_log)
}

/// Returns an event request of that customer; action 0 debits, 2 checks.
fn customer_event(action: u32, customer: &str) -> Message {
    let mut message = event_request(action);
    message.avps.retain(|a| a.code != code::SUBSCRIPTION_ID);
    with_customer(message, customer)
}

fn operator_file(address: SocketAddr, more: &str) -> OperatorFile {
    OperatorFile::new(&format!(
        "[diameter]\nlisten = \"{address}\"\nidentity = \"gw.example.org\"\nrealm = \"example.org\"\ntw_ms = 1000\n\
         check_class = \"balance-check\"\ncharge_class = \"top-up\"\ndefault_plan = \"mellem\"\n{more}\
         [diameter.plans]\n\"{CUSTOMER_ABOVE_CEILING}\" = \"ekstra-stor\"\n"
    ))
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    run_load(Duration::from_secs(seconds.unwrap_or(60)), figures);
    for count in [1_000, 100_000] {
        measure_sessions(count, figures);
    }
}

fn run_load(length: Duration, figures: &mut Figures) {
    let log: Log = Arc::default();
    let silent_flags: Vec<Arc<AtomicBool>> = (0..4).map(|_| Arc::default()).collect();
    let servers: Vec<DiameterServer> = (0..4)
        .map(|n| start_server(n, silent_flags[n].clone(), log.clone()))
        .collect();
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let http_servers: Vec<Server> = (0..4)
        .map(|_| Server::start(runtime.handle(), false))
        .collect();
    let mut list: Vec<String> = (0..4)
        .map(|n| list_entry(n, &servers[n], "Ready"))
        .collect();
    list.extend(
        http_servers
            .iter()
            .enumerate()
            .map(|(n, s)| endpoint_entry(&format!("w{n}"), s.address, 9, "Ready")),
    );
    let agent = Discovery::new(&list.join(","));
    let address = free_address();
    let operator = operator_file(address, "");
    let node = Node {
        gateways: 1,
        me: 0,
        discovery: agent.address,
        counter: None,
        sockets: 1_024,
        memory_mb: 64,
    };
    let gateway = node.start(Some(operator.path()));
    // Time to connect to the servers.
    pause(Duration::from_millis(500));

    let before = cpu(gateway.pid());
    let clients: Vec<_> = ["a.example.org", "b.example.org"]
        .map(|host| start_client(address, host, length, REQUESTS_PER_S / 2))
        .into_iter()
        .collect();
    pause(length / 4);
    silent_flags[0].store(true, Ordering::SeqCst);
    servers[0].answers_watchdogs.store(false, Ordering::SeqCst);
    pause(length / 4);
    agent.publish_and_wait(false, &list_entry(1, &servers[1], "Terminating"));
    let drained = Instant::now();
    pause(length / 4);
    servers[2].state_id.fetch_add(1, Ordering::SeqCst);
    servers[2].close_connections();
    site::until("the client threads finish", || {
        clients.iter().all(|(c, _)| c.is_finished())
    });
    let used = (cpu(gateway.pid()) - before).as_secs_f64();

    let (mut sent_count, mut not_answered_once, mut late, mut granted, mut refused) =
        (0, 0, 0, 0, 0);
    for (_, client_log) in &clients {
        let client_log = client_log.lock().expect("lock is not poisoned");
        for (id, (at, tx_timer)) in &client_log.sent {
            let answers = client_log.answers.get(id).map_or(&[][..], |a| a);
            sent_count += 1;
            not_answered_once += usize::from(answers.len() != 1);
            late += answers
                .iter()
                .filter(|(t, _)| *t > *at + *tx_timer + Duration::from_millis(50))
                .count();
            granted += answers
                .iter()
                .filter(|(_, r)| *r == result::SUCCESS)
                .count();
            refused += answers
                .iter()
                .filter(|(_, r)| *r == result::TOO_BUSY)
                .count();
        }
        not_answered_once += client_log
            .answers
            .keys()
            .filter(|id| !client_log.sent.contains_key(id))
            .count();
    }
    let server_requests = log.lock().expect("lock is not poisoned");
    // Servers of one cell deduplicate together: a charge that reached two cells ran twice.
    let mut cells: HashMap<u32, HashSet<usize>> = HashMap::new();
    for r in server_requests.iter().filter(|r| r.charge) {
        cells.entry(r.end_to_end).or_default().insert(r.server / 2);
    }
    let in_two_cells = cells.values().filter(|c| c.len() > 1).count();
    let after = server_requests
        .iter()
        .filter(|r| r.server == 1 && r.at > drained + DRAIN_GRACE)
        .count();
    figures.at_least(
        "requests",
        f64::from(sent_count),
        "requests",
        f64::from(REQUESTS_PER_S) * length.as_secs_f64() * 0.98,
    );
    figures.at_most(
        "without_one_final_answer",
        not_answered_once as f64,
        "requests",
        0.0,
    );
    figures.at_most("charges_in_two_cells", in_two_cells as f64, "requests", 0.0);
    figures.at_most(
        "new_at_a_drained_server_after_the_grace",
        after as f64,
        "requests",
        0.0,
    );
    figures.at_most(
        "worst_overrun_of_a_ceiling",
        overrun(&server_requests),
        "units",
        MAX_OVERRUN_UNITS,
    );
    let above_ceiling = server_requests.iter().filter(|r| r.above_ceiling).count();
    figures.at_least(
        "passed_on_under_the_ceiling",
        above_ceiling as f64,
        "requests",
        length.as_secs_f64(),
    );
    figures.at_most("answers_later_than_tx", late as f64, "answers", 0.0);
    figures.at_least(
        "granted",
        granted as f64 / f64::from(sent_count),
        "share",
        0.85,
    );
    figures.record("refused", refused as f64 / f64::from(sent_count), "share");
    let cost = used / f64::from(sent_count) * 1e6;
    figures.record("cpu_a_diameter_request", cost, "us");
    drop(server_requests);

    let before = cpu(gateway.pid());
    let (load, task) = Load::start(
        runtime.handle(),
        vec![gateway.address],
        200.0,
        Duration::from_secs(10),
    );
    site::until("the load task finishes", || task.is_finished());
    let used = (cpu(gateway.pid()) - before).as_secs_f64();
    let samples = load.samples.lock().expect("lock is not poisoned");
    let http = used / samples.len() as f64 * 1e6;
    figures.record("cpu_an_http_request", http, "us");
    figures.at_most("diameter_beside_http", cost / http, "times", 2.0);
    let served = samples
        .iter()
        .filter(|s| s.outcome == Outcome::Served)
        .count();
    figures.at_least(
        "http_served",
        served as f64 / samples.len() as f64,
        "share",
        0.99,
    );
}

/// Returns the units by which the usage of the customer above its ceiling overdrew a token bucket with the ceiling's rate and depth.
fn overrun(server_requests: &[ServerRequest]) -> f64 {
    let (mut tokens, mut at, mut worst): (f64, Option<Instant>, f64) = (CEILING.1, None, 0.0);
    let mut seen = HashSet::new();
    for r in server_requests.iter().filter(|r| r.above_ceiling) {
        // Further attempts of a request use no units.
        if seen.insert(r.end_to_end) {
            let since = at.map_or(0.0, |at| r.at.saturating_duration_since(at).as_secs_f64());
            tokens = (tokens + CEILING.0 * since).min(CEILING.1) - UNITS_PER_REQUEST as f64;
            (at, worst) = (Some(r.at), worst.max(-tokens));
        }
    }
    worst
}

/// Opens `count` sessions, a hundred at a time, and records their memory.
fn measure_sessions(count: u32, figures: &mut Figures) {
    let server = DiameterServer::granting(HOSTS[0]);
    let agent = Discovery::new(&list_entry(0, &server, "Ready"));
    let address = free_address();
    let operator = operator_file(address, "most_sessions = 200000\nmost_repeats = 1000\n");
    let node = Node {
        gateways: 1,
        me: 0,
        discovery: agent.address,
        counter: None,
        sockets: 256,
        memory_mb: 192,
    };
    let gateway = node.start(Some(operator.path()));
    pause(Duration::from_millis(500));
    let mut client = DiameterClient::new(address, "till.example.org");
    let before = memory_mb(gateway.pid());
    let mut open = 0;
    let mut next = 0;
    while open < count {
        let batch: Vec<Message> = (next..next + 100)
            .map(|n| {
                with_customer(
                    credit_control_request(&format!("till.example.org;1;{n}"), 1, 0),
                    &format!("45{:08}", n % 20_000),
                )
            })
            .collect();
        next += 100;
        batch.iter().for_each(|m| client.send(m));
        for _ in &batch {
            let answer = client
                .next_message()
                .expect("the gateway answers every request");
            open += u32::from(answer.result_code() == Some(result::SUCCESS));
        }
        assert!(
            next < 4 * count + 10_000,
            "enough initial requests succeed to open all sessions"
        );
    }
    let grown = memory_mb(gateway.pid()) - before;
    figures.record(&format!("sessions_{count}_memory"), grown, "MB");
    // The memory of 1,000 sessions is below the variation that any traffic causes: the limit applies from 100,000 sessions on.
    let min_sessions_per_mb = if count >= 100_000 { 1_000.0 } else { 0.0 };
    figures.at_least(
        &format!("sessions_{count}_a_mb"),
        f64::from(open) / grown.max(0.1),
        "sessions/MB",
        min_sessions_per_mb,
    );
}
