//! `diameter`: the real gateway between stand-in clients and four servers, of which one falls silent, one is drained and
//! one restarts; then what a request costs beside HTTP, and what sessions take.

use crate::figures::Figures;
use crate::load::{Got, Load};
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

const PER_S: u32 = 500;
const GRACE: Duration = Duration::from_millis(500);
/// Answers are due within the class's deadline, as over HTTP.
const TX_CHECK: Duration = Duration::from_millis(2_000);
const TX_CHARGE: Duration = Duration::from_millis(750);
const HOSTS: [&str; 4] = [
    "s0.example.org",
    "s1.example.org",
    "s2.example.org",
    "s3.example.org",
];
/// The customer that asks far beyond its ceiling, and the ceiling (units a second, units).
const GREEDY: &str = "4500000042";
const CEILING: (f64, f64) = (20.0, 40.0);
const GREEDY_UNITS: u64 = 3;
/// A tenth of the depth, and what the ceiling's rate gives in 150 ms.
const SLACK: f64 = 4.0 + 3.0;

/// A request as a server ran it.
struct Ran {
    at: Instant,
    server: usize,
    end_to_end: u32,
    charge: bool,
    greedy: bool,
}

type Log = Arc<Mutex<Vec<Ran>>>;

fn server(n: usize, mute: Arc<AtomicBool>, log: Log) -> DiameterServer {
    DiameterServer::new(HOSTS[n], move |ccr| {
        let charge = ccr.u32_value(code::REQUESTED_ACTION) != Some(2);
        let greedy = ccr
            .find(code::SUBSCRIPTION_ID)
            .is_some_and(|a| contains(&a.data));
        let ran = Ran {
            at: Instant::now(),
            server: n,
            end_to_end: ccr.header.end_to_end,
            charge,
            greedy,
        };
        log.lock().expect("log").push(ran);
        let answer =
            success_answer(ccr, HOSTS[n]).with_avp(Avp::of_u32(code::CC_SESSION_FAILOVER, 1));
        (!mute.load(Ordering::SeqCst)).then_some(answer)
    })
}

fn contains(data: &[u8]) -> bool {
    data.windows(GREEDY.len()).any(|w| w == GREEDY.as_bytes())
}

fn member(n: usize, server: &DiameterServer, state: &str) -> String {
    let plain = endpoint_entry(&format!("d{n}"), server.address, n as u64 / 2, state);
    format!("{},\"proto\":\"diameter\"}}", plain.trim_end_matches('}'))
}

fn free_port() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port")
}

/// What a client sent, and every answer that it got.
#[derive(Default)]
struct Book {
    sent: HashMap<u32, (Instant, Duration)>,
    answers: HashMap<u32, Vec<(Instant, u32)>>,
}

/// Sends when it is time, whatever comes back; one thread writes, one reads.
fn client(
    address: SocketAddr,
    host: &str,
    length: Duration,
    per_s: u32,
) -> (thread::JoinHandle<()>, Arc<Mutex<Book>>) {
    let mut client = DiameterClient::new(address, host);
    let book: Arc<Mutex<Book>> = Arc::default();
    let mut reader = client.stream.try_clone().expect("a clone");
    let answers = book.clone();
    thread::spawn(move || {
        let mut buffer = Vec::new();
        while let Some(message) = read_diameter_message(&mut reader, &mut buffer) {
            if message.header.command == command::CREDIT_CONTROL {
                let (id, result) = (
                    message.header.end_to_end,
                    message.result_code().unwrap_or(0),
                );
                let mut book = answers.lock().expect("book");
                book.answers
                    .entry(id)
                    .or_default()
                    .push((Instant::now(), result));
            } else if message.header.flags & 0x80 != 0 {
                let answer = answer_with_result(&message, "till.example.org", result::SUCCESS);
                let _ = reader.write_all(&answer.encode());
            }
        }
    });
    let (host, to) = (host.to_string(), book.clone());
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
            // The brief's mix: 71 in 100 check, the others charge, some of them in sessions of three.
            let (message, tx) = match n % 100 {
                0..71 => (plain(2, &customer), TX_CHECK),
                71..76 => (with_units(plain(0, GREEDY), GREEDY_UNITS), TX_CHARGE),
                76..91 => (plain(0, &customer), TX_CHARGE),
                91..94 => {
                    let session = format!("{host};{n};1");
                    open.push((session.clone(), 0));
                    (
                        with_customer(credit_control_request(&session, 1, 0), &customer),
                        TX_CHARGE,
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
                        (message, TX_CHARGE)
                    }
                    None => (plain(2, &customer), TX_CHECK),
                },
            };
            let mut message = message;
            message.avps[1] = Avp::of_text(code::ORIGIN_HOST, &host);
            to.lock()
                .expect("book")
                .sent
                .insert(message.header.end_to_end, (Instant::now(), tx));
            client.send(&message);
        }
        // The last answers.
        thread::sleep(TX_CHECK + Duration::from_millis(300));
    });
    (writer, book)
}

/// An event of that customer: 0 debits, 2 checks.
fn plain(action: u32, customer: &str) -> Message {
    let mut message = event_request(action);
    message.avps.retain(|a| a.code != code::SUBSCRIPTION_ID);
    with_customer(message, customer)
}

fn operator(address: SocketAddr, more: &str) -> OperatorFile {
    OperatorFile::new(&format!(
        "[diameter]\nlisten = \"{address}\"\nidentity = \"gw.example.org\"\nrealm = \"example.org\"\ntw_ms = 1000\n\
         check_class = \"balance-check\"\ncharge_class = \"top-up\"\ndefault_plan = \"mellem\"\n{more}\
         [diameter.plans]\n\"{GREEDY}\" = \"ekstra-stor\"\n"
    ))
}

pub fn play(seconds: Option<u64>, figures: &mut Figures) {
    under_load(Duration::from_secs(seconds.unwrap_or(60)), figures);
    for count in [1_000, 100_000] {
        sessions(count, figures);
    }
}

fn under_load(length: Duration, figures: &mut Figures) {
    let log: Log = Arc::default();
    let mutes: Vec<Arc<AtomicBool>> = (0..4).map(|_| Arc::default()).collect();
    let servers: Vec<DiameterServer> = (0..4)
        .map(|n| server(n, mutes[n].clone(), log.clone()))
        .collect();
    let runtime = Runtime::new().expect("a runtime");
    let web: Vec<Server> = (0..4)
        .map(|_| Server::start(runtime.handle(), false))
        .collect();
    let mut list: Vec<String> = (0..4).map(|n| member(n, &servers[n], "Ready")).collect();
    list.extend(
        web.iter()
            .enumerate()
            .map(|(n, s)| endpoint_entry(&format!("w{n}"), s.address, 9, "Ready")),
    );
    let agent = Discovery::new(&list.join(","));
    let address = free_port();
    let operator = operator(address, "");
    let node = Node {
        gateways: 1,
        me: 0,
        discovery: agent.address,
        counter: None,
        sockets: 1_024,
        memory_mb: 64,
    };
    let gateway = node.start(Some(operator.path()));
    // The connections to the servers come up.
    pause(Duration::from_millis(500));

    let before = cpu(gateway.pid());
    let clients: Vec<_> = ["a.example.org", "b.example.org"]
        .map(|host| client(address, host, length, PER_S / 2))
        .into_iter()
        .collect();
    pause(length / 4);
    mutes[0].store(true, Ordering::SeqCst);
    servers[0].answers_watchdogs.store(false, Ordering::SeqCst);
    pause(length / 4);
    agent.publish_and_wait(false, &member(1, &servers[1], "Terminating"));
    let drained = Instant::now();
    pause(length / 4);
    servers[2].state_id.fetch_add(1, Ordering::SeqCst);
    servers[2].close_connections();
    site::until("the clients end", || {
        clients.iter().all(|(c, _)| c.is_finished())
    });
    let used = (cpu(gateway.pid()) - before).as_secs_f64();

    let (mut asked, mut without, mut late, mut good, mut refused) = (0, 0, 0, 0, 0);
    for (_, book) in &clients {
        let book = book.lock().expect("book");
        for (id, (at, tx)) in &book.sent {
            let answers = book.answers.get(id).map_or(&[][..], |a| a);
            asked += 1;
            without += usize::from(answers.len() != 1);
            late += answers
                .iter()
                .filter(|(t, _)| *t > *at + *tx + Duration::from_millis(50))
                .count();
            good += answers
                .iter()
                .filter(|(_, r)| *r == result::SUCCESS)
                .count();
            refused += answers
                .iter()
                .filter(|(_, r)| *r == result::TOO_BUSY)
                .count();
        }
        without += book
            .answers
            .keys()
            .filter(|id| !book.sent.contains_key(id))
            .count();
    }
    let ran = log.lock().expect("log");
    // Servers of one cell drop each other's repeats: a charge in two cells has run twice.
    let mut cells: HashMap<u32, HashSet<usize>> = HashMap::new();
    for r in ran.iter().filter(|r| r.charge) {
        cells.entry(r.end_to_end).or_default().insert(r.server / 2);
    }
    let twice = cells.values().filter(|c| c.len() > 1).count();
    let after = ran
        .iter()
        .filter(|r| r.server == 1 && r.at > drained + GRACE)
        .count();
    figures.at_least(
        "requests",
        f64::from(asked),
        "requests",
        f64::from(PER_S) * length.as_secs_f64() * 0.98,
    );
    figures.at_most("without_one_final_answer", without as f64, "requests", 0.0);
    figures.at_most("charges_in_two_cells", twice as f64, "requests", 0.0);
    figures.at_most(
        "new_at_a_drained_server_after_the_grace",
        after as f64,
        "requests",
        0.0,
    );
    figures.at_most("worst_overrun_of_a_ceiling", overrun(&ran), "units", SLACK);
    let greedy = ran.iter().filter(|r| r.greedy).count();
    figures.at_least(
        "passed_on_under_the_ceiling",
        greedy as f64,
        "requests",
        length.as_secs_f64(),
    );
    figures.at_most("answers_later_than_tx", late as f64, "answers", 0.0);
    figures.at_least("granted", good as f64 / f64::from(asked), "share", 0.85);
    figures.show("refused", refused as f64 / f64::from(asked), "share");
    let cost = used / f64::from(asked) * 1e6;
    figures.show("cpu_a_diameter_request", cost, "us");
    drop(ran);

    let before = cpu(gateway.pid());
    let (load, task) = Load::start(
        runtime.handle(),
        vec![gateway.address],
        200.0,
        Duration::from_secs(10),
    );
    site::until("the load ends", || task.is_finished());
    let used = (cpu(gateway.pid()) - before).as_secs_f64();
    let shots = load.shots.lock().expect("shots");
    let http = used / shots.len() as f64 * 1e6;
    figures.show("cpu_an_http_request", http, "us");
    figures.at_most("diameter_beside_http", cost / http, "times", 2.0);
    let served = shots.iter().filter(|s| s.got == Got::Served).count();
    figures.at_least(
        "http_served",
        served as f64 / shots.len() as f64,
        "share",
        0.99,
    );
}

/// How far the greedy customer's use went below nothing of a store that fills as the ceiling does.
fn overrun(ran: &[Ran]) -> f64 {
    let (mut level, mut at, mut worst): (f64, Option<Instant>, f64) = (CEILING.1, None, 0.0);
    let mut seen = HashSet::new();
    for r in ran.iter().filter(|r| r.greedy) {
        // A further attempt takes nothing.
        if seen.insert(r.end_to_end) {
            let since = at.map_or(0.0, |at| r.at.saturating_duration_since(at).as_secs_f64());
            level = (level + CEILING.0 * since).min(CEILING.1) - GREEDY_UNITS as f64;
            (at, worst) = (Some(r.at), worst.max(-level));
        }
    }
    worst
}

/// Opens so many sessions, a hundred at a time, and tells what they take.
fn sessions(count: u32, figures: &mut Figures) {
    let server = DiameterServer::granting(HOSTS[0]);
    let agent = Discovery::new(&member(0, &server, "Ready"));
    let address = free_port();
    let operator = operator(address, "most_sessions = 200000\nmost_repeats = 1000\n");
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
        let some: Vec<Message> = (next..next + 100)
            .map(|n| {
                with_customer(
                    credit_control_request(&format!("till.example.org;1;{n}"), 1, 0),
                    &format!("45{:08}", n % 20_000),
                )
            })
            .collect();
        next += 100;
        some.iter().for_each(|m| client.send(m));
        for _ in &some {
            let answer = client.next_message().expect("an answer");
            open += u32::from(answer.result_code() == Some(result::SUCCESS));
        }
        assert!(next < 4 * count + 10_000, "sessions are opened");
    }
    let grown = memory_mb(gateway.pid()) - before;
    figures.show(&format!("sessions_{count}_memory"), grown, "MB");
    // What any traffic takes hides a few sessions.
    let least = if count >= 100_000 { 1_000.0 } else { 0.0 };
    figures.at_least(
        &format!("sessions_{count}_a_mb"),
        f64::from(open) / grown.max(0.1),
        "sessions/MB",
        least,
    );
}
