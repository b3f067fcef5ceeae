//! The real binary between stand-ins on loopback: servers, discovery and a counter that do as a test says.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing here takes this long, on however busy a machine.
pub const LONG: Duration = Duration::from_secs(20);

/// One message of HTTP/1.1, as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// How long its connection had been idle; at a server only, and not for a connection's first.
    pub idle: Option<Duration>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; none if the connection ends first.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    while from.read_line(&mut line).ok()? > 0 {
        let text = line.trim_end();
        match text.split_once(':') {
            _ if message.line.is_empty() => message.line = text.into(),
            Some((name, value)) => message.headers.push((name.into(), value.trim().into())),
            None => {
                let length = message.header("content-length").map_or(0, |v| v.parse().unwrap_or(0));
                let mut body = vec![0; length];
                from.read_exact(&mut body).ok()?;
                message.body = String::from_utf8_lossy(&body).into();
                return Some(message);
            }
        }
        line.clear();
    }
    None
}

/// What a stand-in server does with a request.
pub enum Reply {
    /// These bytes, then the next request.
    Bytes(String),
    /// These bytes, then, a little later, these.
    Twice(String, String),
    /// These bytes, then, a little later, the end of the connection.
    Last(String),
    /// The end of the connection.
    End,
    /// Nothing, for as long as the gateway stays.
    Silence,
}

pub fn ok(body: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn status(line: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n"))
}

pub fn never_ran() -> Reply {
    status("503 Service Unavailable\r\nX-Never-Ran: 1")
}

/// What happens at a server, in order.
#[derive(Debug)]
pub enum Seen {
    Connected,
    Request(Message),
    /// The gateway ended a connection.
    Closed,
}

pub struct Server {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
}

impl Server {
    pub fn new(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, seen) = channel();
        let reply = Arc::new(reply);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (tell, reply) = (tell.clone(), reply.clone());
                let _ = tell.send(Seen::Connected);
                thread::spawn(move || {
                    converse(stream, &tell, &*reply);
                    let _ = tell.send(Seen::Closed);
                });
            }
        });
        Server { address, seen }
    }

    /// The next request, once it has come.
    pub fn request(&self) -> Message {
        loop {
            if let Seen::Request(m) = self.seen.recv_timeout(LONG).expect("a request comes") {
                return m;
            }
        }
    }

    /// Waits until the gateway ends a connection.
    pub fn closed(&self) {
        while !matches!(self.seen.recv_timeout(LONG).expect("a connection ends"), Seen::Closed) {}
    }

    /// All that has happened so far.
    pub fn so_far(&self) -> Vec<Seen> {
        self.seen.try_iter().collect()
    }

    pub fn requests_so_far(&self) -> usize {
        self.so_far().iter().filter(|s| matches!(s, Seen::Request(_))).count()
    }
}

fn converse(stream: TcpStream, tell: &Sender<Seen>, reply: &dyn Fn(&Message) -> Reply) {
    let Ok(mut write) = stream.try_clone() else { return };
    let mut read = BufReader::new(stream);
    let mut since: Option<Instant> = None;
    while let Some(mut message) = read_message(&mut read) {
        message.idle = since.map(|s| s.elapsed());
        let _ = tell.send(Seen::Request(message.clone()));
        match reply(&message) {
            Reply::Bytes(bytes) => {
                let _ = write.write_all(bytes.as_bytes());
            }
            Reply::Twice(bytes, more) => {
                let _ = write.write_all(bytes.as_bytes());
                thread::sleep(Duration::from_millis(2));
                let _ = write.write_all(more.as_bytes());
            }
            Reply::Last(bytes) => {
                let _ = write.write_all(bytes.as_bytes());
                thread::sleep(Duration::from_millis(30));
                let _ = write.shutdown(std::net::Shutdown::Both);
                return;
            }
            Reply::End => return,
            Reply::Silence => {
                let _ = read.read(&mut [0]);
                return;
            }
        }
        since = Some(Instant::now());
    }
}

/// How discovery behaves at the moment.
#[derive(Clone, Copy, PartialEq)]
pub enum Mood {
    Telling,
    Silent,
    Nonsense,
}

struct Told {
    rev: u64,
    all: bool,
    targets: String,
    mood: Mood,
    calls: u64,
}

/// Tells every watch the last thing that it was given.
pub struct Discovery {
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
}

impl Discovery {
    pub fn new(targets: &str) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let told = Told { rev: 1, all: true, targets: targets.into(), mood: Mood::Telling, calls: 0 };
        let told = Arc::new(Mutex::new(told));
        let shared = told.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let told = shared.clone();
                thread::spawn(move || tell_list(stream, &told));
            }
        });
        Discovery { address, told }
    }

    pub fn mood(&self, mood: Mood) {
        self.told.lock().expect("discovery").mood = mood;
    }

    /// A change, or a whole list; returns once the gateway has been told and has asked again.
    pub fn tell(&self, all: bool, targets: &str) {
        {
            let mut told = self.told.lock().expect("discovery");
            (told.rev, told.all, told.targets) = (told.rev + 1, all, targets.into());
        }
        self.asked_again(2);
    }

    /// Waits until the gateway has asked so many times more.
    pub fn asked_again(&self, times: u64) {
        let calls = || self.told.lock().expect("discovery").calls;
        let (before, since) = (calls(), Instant::now());
        while calls() < before + times {
            assert!(since.elapsed() < LONG, "discovery is asked again");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn tell_list(stream: TcpStream, told: &Mutex<Told>) {
    let Ok(mut write) = stream.try_clone() else { return };
    let mut read = BufReader::new(stream);
    while let Some(message) = read_message(&mut read) {
        told.lock().expect("discovery").calls += 1;
        let from =
            message.line.split_once("from=").and_then(|(_, r)| r.split('&').next()?.parse::<u64>().ok());
        let since = Instant::now();
        let body = loop {
            let told = told.lock().expect("discovery");
            let news = from.is_none_or(|from| from < told.rev);
            match told.mood {
                Mood::Nonsense => break "{\"rev\":true}".to_string(),
                Mood::Telling if news => {
                    let all = told.all || from.is_none();
                    break format!("{{\"rev\":{},\"all\":{all},\"targets\":[{}]}}", told.rev, told.targets);
                }
                Mood::Telling if since.elapsed() > Duration::from_millis(500) => {
                    break format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", told.rev);
                }
                _ => {}
            }
            drop(told);
            thread::sleep(Duration::from_millis(5));
        };
        let _ = write!(write, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    }
}

pub fn target(uid: &str, address: SocketAddr, cell: u64, state: &str) -> String {
    started(uid, address, cell, state, 0)
}

pub fn started(uid: &str, address: SocketAddr, cell: u64, state: &str, boot_ms: u128) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"hall-a","model":"m","pod_group":{cell},"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
    )
}

/// A counter whose answer to each line is up to the test; none closes the connection. Answers after a delay.
pub struct Counter {
    pub address: SocketAddr,
    pub lines: Receiver<String>,
}

impl Counter {
    pub fn new(answer: impl Fn(u64, &str) -> Option<(Duration, String)> + Send + Sync + 'static) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, lines) = channel();
        let (answer, number) = (Arc::new(answer), Arc::new(AtomicU64::new(0)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (tell, answer, number) = (tell.clone(), answer.clone(), number.clone());
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut write) = stream.try_clone() else { return };
                    for line in BufReader::new(stream).lines().map_while(Result::ok) {
                        let _ = tell.send(line.clone());
                        let Some((delay, text)) = answer(number.fetch_add(1, Ordering::SeqCst), &line) else {
                            let _ = write.shutdown(std::net::Shutdown::Both);
                            return;
                        };
                        thread::sleep(delay);
                        let _ = write.write_all(format!("{text}\r\n").as_bytes());
                    }
                });
            }
        });
        Counter { address, lines }
    }

    pub fn line(&self) -> String {
        self.lines.recv_timeout(LONG).expect("a call comes")
    }
}

/// The settings of a small site: a safe class, a keyed one, a plain plan and one with a ceiling.
pub fn settings(gateways: u32) -> String {
    format!(
        r#"{{"balancers":{gateways},"me":0,"zone":"hall-a","discovery":"pushed",
        "familyInfo":{{"countWaitUs":200000,"sharedCounter":true,"unitsTop":6,"usePeriodUs":1000000}},
        "limits":{{"cancel":true,"connectTimeoutUs":1000000,"keepaliveUs":30000000,"maxAttempts":6,"maxRetryAfterUs":2000000,"parallelTries":false,"retryAfter":false}},
        "rules":{{"coldFrom":0.27,"coldUs":18000000,"tipAfterUs":3000000,"tipMultiple":4.0}},
        "services":[{{"aimUs":4000000,"deadlineUs":8000000,"effect":"repeatable","name":"balance-check","worth":2.0,"windowUs":5000000}},
          {{"aimUs":4000000,"deadlineUs":8000000,"dedupScope":"cell","effect":"by_key","name":"top-up","worth":5.0,"windowUs":7500000}}],
        "tariffs":[{{"name":"lille","burst":1000,"unitsPerS":500,"pays":1.0}},
          {{"name":"capped","burst":1000,"unitsPerS":500,"pays":1.0,"ceilingRate":10.0,"capDepth":20.0}},
          {{"name":"small","burst":6,"unitsPerS":0.01,"pays":1.0}}]}}"#
    )
}

pub fn config_text(discovery: SocketAddr, counter: Option<SocketAddr>, gateways: u32, known: &str) -> String {
    let counter = counter.map_or("null".to_string(), |c| format!("\"{c}\""));
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},"counter":{counter},
        "known":{{"rev":1,"all":true,"targets":[{known}]}},"settings":{}}}"#,
        settings(gateways)
    )
}

pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    config: std::path::PathBuf,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

pub fn config_file(text: &str) -> std::path::PathBuf {
    let name = format!("frosthatch-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the configuration is written");
    path
}

pub fn command(config: &std::path::Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_frosthatch"));
    command.env("NODE_CONFIG", config).stdin(Stdio::null()).stderr(Stdio::piped());
    command
}

impl Gateway {
    /// A gateway alone, without a counter, that is ready.
    pub fn alone(discovery: &Discovery) -> Gateway {
        Gateway::with(discovery, None, 1)
    }

    pub fn with(discovery: &Discovery, counter: Option<SocketAddr>, gateways: u32) -> Gateway {
        let gateway = Gateway::start(discovery.address, counter, gateways, "");
        gateway.wait_ready();
        gateway
    }

    /// A gateway that need not be ready yet; `known` are the servers that it knew before.
    pub fn start(discovery: SocketAddr, counter: Option<SocketAddr>, gateways: u32, known: &str) -> Gateway {
        Gateway::start_with(&config_text(discovery, counter, gateways, known))
    }

    pub fn start_with(text: &str) -> Gateway {
        let config = config_file(text);
        let mut child = command(&config).spawn().expect("the gateway starts");
        let mut log = BufReader::new(child.stderr.take().expect("stderr"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        let address = line.trim_end().rsplit(' ').next().and_then(|a| a.parse().ok());
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|l| println!("gateway: {l}")));
        Gateway { child, address: address.unwrap_or_else(|| panic!("no address in {line:?}")), config }
    }

    pub fn ready(&self) -> bool {
        self.client().ask("GET /ready HTTP/1.1\r\nHost: g\r\n\r\n").is_some_and(|m| m.status() == 200)
    }

    pub fn wait_ready(&self) {
        let since = Instant::now();
        while !self.ready() {
            assert!(since.elapsed() < LONG, "the gateway gets ready");
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the gateway accepts");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Client { write: stream.try_clone().expect("a clone"), read: BufReader::new(stream) }
    }

    pub fn ask(&self, request: &Ask) -> Message {
        self.client().ask(&request.text()).expect("an answer")
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(kill.expect("kill runs").success());
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the file of the configuration and says so.
    pub fn configure(&self, text: &str) {
        std::fs::write(&self.config, text).expect("the configuration is written");
        self.signal("-HUP");
    }

    pub fn wait(&mut self) -> ExitStatus {
        let since = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the gateway is a child") {
                return status;
            }
            assert!(since.elapsed() < LONG, "the gateway ends");
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("the gateway is a child").is_none()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub struct Client {
    write: TcpStream,
    read: BufReader<TcpStream>,
}

impl Client {
    pub fn send(&mut self, text: &str) {
        // The gateway may have answered and closed before it has read all.
        let _ = self.write.write_all(text.as_bytes());
    }

    /// None if the connection ends first; an answer that does not come at all is a failure of the test.
    pub fn answer(&mut self) -> Option<Message> {
        let waiting = self.read.fill_buf().map_err(|e| e.kind());
        assert!(waiting != Err(std::io::ErrorKind::WouldBlock), "neither an answer nor an end");
        read_message(&mut self.read)
    }

    pub fn ask(&mut self, text: &str) -> Option<Message> {
        self.send(text);
        self.answer()
    }
}

/// A client's request that is in order, until a test changes it.
#[derive(Clone)]
pub struct Ask {
    pub method: &'static str,
    pub path: &'static str,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl Ask {
    pub fn check() -> Ask {
        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
        let headers = vec![
            ("Host", "backend.local".into()),
            ("X-Trace-Id", id),
            ("X-Qos", "balance-check".into()),
            ("X-Tier", "lille".into()),
            ("X-Api-Key", "00000000b4d65521".into()),
            ("X-Expires-In", "8.0".into()),
            ("X-Call-Terms", "units=1,spread=1,first=0".into()),
        ];
        Ask { method: "GET", path: "/balance-check", headers, body: String::new() }
    }

    pub fn top_up() -> Ask {
        let mut ask = Ask::check();
        (ask.method, ask.path, ask.body) = ("POST", "/top-up", "amount=50".into());
        ask.with("X-Qos", "top-up").with("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Ask {
        self.headers.retain(|(n, _)| *n != name);
        self.headers.push((name, value.into()));
        self
    }

    pub fn without(mut self, name: &str) -> Ask {
        self.headers.retain(|(n, _)| *n != name);
        self
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| *n == name).map_or("", |(_, v)| v)
    }

    pub fn text(&self) -> String {
        let headers: String = self.headers.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
        let length = match self.method {
            "POST" => format!("Content-Length: {}\r\n", self.body.len()),
            _ => String::new(),
        };
        format!("{} {} HTTP/1.1\r\n{headers}{length}\r\n{}", self.method, self.path, self.body)
    }
}
