//! The real program: its files, its signals, its clients.

use crate::agent::Discovery;
use crate::http::{read_message, Message, LONG};
use crate::shim::Shim;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

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

pub fn config_text(
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    gateways: u32,
    known: &str,
) -> String {
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
    let name = format!(
        "frosthatch-{}-{}.json",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::SeqCst)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the configuration is written");
    path
}

/// The gateway's binary, beside whatever runs this.
pub fn program() -> PathBuf {
    let here = std::env::current_exe().expect("a path of one's own");
    let folder = here
        .ancestors()
        .skip(1)
        .find(|d| d.join("frosthatch").is_file());
    folder
        .expect("the gateway is built beside its tests")
        .join("frosthatch")
}

pub fn command(config: &std::path::Path) -> Command {
    let mut command = Command::new(program());
    command
        .env("NODE_CONFIG", config)
        .stdin(Stdio::null())
        .stderr(Stdio::piped());
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
    pub fn start(
        discovery: SocketAddr,
        counter: Option<SocketAddr>,
        gateways: u32,
        known: &str,
    ) -> Gateway {
        Gateway::start_with(&config_text(discovery, counter, gateways, known))
    }

    pub fn start_with(text: &str) -> Gateway {
        Gateway::start_as(text, &[])
    }

    /// With these words on its command line.
    pub fn start_as(text: &str, words: &[&str]) -> Gateway {
        Gateway::start_with_log(text, words, |line| println!("gateway: {line}"))
    }

    /// What it logs goes line by line to `log`.
    pub fn start_with_log(
        text: &str,
        words: &[&str],
        log: impl Fn(&str) + Send + 'static,
    ) -> Gateway {
        Gateway::start_prepared(text, words, |_| {}, log)
    }

    /// A gateway whose system calls fail as the shim says.
    pub fn start_under(text: &str, shim: &Shim) -> Gateway {
        let prepare = |command: &mut Command| {
            shim.preload(command);
        };
        Gateway::start_prepared(text, &[], prepare, |line| println!("gateway: {line}"))
    }

    /// The same as [`Gateway::start_with_log`], with a command that `prepare` may add to.
    pub fn start_prepared(
        text: &str,
        words: &[&str],
        prepare: impl FnOnce(&mut Command),
        log: impl Fn(&str) + Send + 'static,
    ) -> Gateway {
        let config = config_file(text);
        let mut command = command(&config);
        prepare(command.args(words));
        let mut child = command.spawn().expect("the gateway starts");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr"));
        let mut ahead = String::new();
        let address = loop {
            let mut line = String::new();
            if lines.read_line(&mut line).unwrap_or(0) == 0 {
                let _ = child.wait();
                panic!("it ended before it listened: {ahead}");
            }
            match line
                .trim_end()
                .split_once(" listens on ")
                .and_then(|(_, a)| a.parse().ok())
            {
                Some(address) => break address,
                None => {
                    log(line.trim_end());
                    ahead.push_str(&line);
                }
            }
        };
        thread::spawn(move || lines.lines().map_while(Result::ok).for_each(|l| log(&l)));
        Gateway {
            child,
            address,
            config,
        }
    }

    pub fn ready(&self) -> bool {
        self.client()
            .ask("GET /ready HTTP/1.1\r\nHost: g\r\n\r\n")
            .is_some_and(|m| m.status() == 200)
    }

    pub fn wait_ready(&self) {
        let since = Instant::now();
        while !self.ready() {
            assert!(since.elapsed() < LONG, "the gateway gets ready");
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn client(&self) -> Client {
        self.client_at(self.address)
    }

    /// At an address that it shares with another process.
    pub fn client_at(&self, address: SocketAddr) -> Client {
        Client::at(address)
    }

    pub fn ask(&self, request: &ClientRequest) -> Message {
        self.client().ask(&request.text()).expect("an answer")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status();
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
        self.child
            .try_wait()
            .expect("the gateway is a child")
            .is_none()
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
    /// # Panics
    /// If nobody accepts it there.
    pub fn at(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("the gateway accepts");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Client {
            write: stream.try_clone().expect("a clone"),
            read: BufReader::new(stream),
        }
    }

    pub fn send(&mut self, text: &str) {
        // The gateway may have answered and closed before it has read all.
        let _ = self.write.write_all(text.as_bytes());
    }

    /// Whether the gateway has ended the connection by now.
    pub fn ended(&mut self) -> bool {
        let _ = self.write.set_nonblocking(true);
        let ended = match self.write.peek(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        };
        let _ = self.write.set_nonblocking(false);
        ended
    }

    /// None if the connection ends first; an answer that does not come at all is a failure of the test.
    pub fn answer(&mut self) -> Option<Message> {
        let waiting = self.read.fill_buf().map_err(|e| e.kind());
        assert!(
            waiting != Err(std::io::ErrorKind::WouldBlock),
            "neither an answer nor an end"
        );
        read_message(&mut self.read)
    }

    /// The body of the answer to another check, over the same connection.
    pub fn ask_again(&mut self) -> String {
        self.ask(&ClientRequest::check().text())
            .expect("an answer")
            .body
    }

    pub fn ask(&mut self, text: &str) -> Option<Message> {
        self.send(text);
        self.answer()
    }
}

/// A client's request that is in order, until a test changes it.
#[derive(Clone)]
pub struct ClientRequest {
    pub method: &'static str,
    pub path: &'static str,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl ClientRequest {
    pub fn check() -> ClientRequest {
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
        ClientRequest {
            method: "GET",
            path: "/balance-check",
            headers,
            body: String::new(),
        }
    }

    pub fn top_up() -> ClientRequest {
        let mut ask = ClientRequest::check();
        (ask.method, ask.path, ask.body) = ("POST", "/top-up", "amount=50".into());
        ask.with("X-Qos", "top-up")
            .with("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    }

    pub fn with(mut self, name: &'static str, value: &str) -> ClientRequest {
        self.headers.retain(|(n, _)| *n != name);
        self.headers.push((name, value.into()));
        self
    }

    pub fn without(mut self, name: &str) -> ClientRequest {
        self.headers.retain(|(n, _)| *n != name);
        self
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(n, _)| *n == name)
            .map_or("", |(_, v)| v)
    }

    pub fn text(&self) -> String {
        let headers: String = self
            .headers
            .iter()
            .map(|(n, v)| format!("{n}: {v}\r\n"))
            .collect();
        let length = match self.method {
            "POST" => format!("Content-Length: {}\r\n", self.body.len()),
            _ => String::new(),
        };
        format!(
            "{} {} HTTP/1.1\r\n{headers}{length}\r\n{}",
            self.method, self.path, self.body
        )
    }
}
