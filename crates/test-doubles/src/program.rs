//! Launcher for the gateway's binary: configuration files, signals and clients.

use crate::agent::Discovery;
use crate::http::{read_message, Message, TIMEOUT};
use crate::shim::Shim;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Returns the settings of a small site: a repeatable class, a class with idempotency keys, the plans `lille` and
/// `small` (burst of 6 units) without a ceiling, and the plan `capped` with a ceiling of 10 units/s.
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

/// Returns a boot configuration. `known` are the endpoint list entries that the gateway knows before its first call
/// to discovery.
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

/// A gateway process, killed on drop.
pub struct Gateway {
    child: Child,
    /// Address for clients.
    pub address: SocketAddr,
    config: std::path::PathBuf,
}

/// Next number for a configuration file or a trace id.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Writes a configuration to a new temporary file.
pub fn write_config_file(text: &str) -> std::path::PathBuf {
    let name = format!(
        "frosthatch-{}-{}.json",
        std::process::id(),
        NEXT_ID.fetch_add(1, Ordering::SeqCst)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the temporary directory is writable");
    path
}

/// Returns the path of the gateway's binary, in the directory of the running executable or a parent of it.
pub fn gateway_binary() -> PathBuf {
    let executable = std::env::current_exe().expect("the running executable has a path");
    let directory = executable
        .ancestors()
        .skip(1)
        .find(|d| d.join("frosthatch").is_file());
    directory
        .expect("the gateway is built in the target directory of its tests")
        .join("frosthatch")
}

/// Returns a command that runs the gateway with this configuration file.
pub fn gateway_command(config: &std::path::Path) -> Command {
    let mut gateway_command = Command::new(gateway_binary());
    gateway_command
        .env("NODE_CONFIG", config)
        .stdin(Stdio::null())
        .stderr(Stdio::piped());
    gateway_command
}

impl Gateway {
    /// Starts the only gateway of a site without a counter, and waits until it is ready.
    pub fn start_alone(discovery: &Discovery) -> Gateway {
        Gateway::start_ready(discovery, None, 1)
    }

    /// Starts one of `gateways` gateways and waits until it is ready.
    pub fn start_ready(
        discovery: &Discovery,
        counter: Option<SocketAddr>,
        gateways: u32,
    ) -> Gateway {
        let gateway = Gateway::start(discovery.address, counter, gateways, "");
        gateway.wait_ready();
        gateway
    }

    /// Starts a gateway without waiting until it is ready; `known` as for [`config_text`].
    pub fn start(
        discovery: SocketAddr,
        counter: Option<SocketAddr>,
        gateways: u32,
        known: &str,
    ) -> Gateway {
        Gateway::start_from_config(&config_text(discovery, counter, gateways, known))
    }

    /// Starts a gateway with this boot configuration.
    pub fn start_from_config(text: &str) -> Gateway {
        Gateway::start_with_args(text, &[])
    }

    /// Starts a gateway with these command-line arguments.
    pub fn start_with_args(text: &str, args: &[&str]) -> Gateway {
        Gateway::start_with_log(text, args, |line| println!("gateway: {line}"))
    }

    /// Starts a gateway and passes each line that it logs to `log`.
    pub fn start_with_log(
        text: &str,
        args: &[&str],
        log: impl Fn(&str) + Send + 'static,
    ) -> Gateway {
        Gateway::start_prepared(text, args, |_| {}, log)
    }

    /// Starts a gateway under the preload library, with the faults that `shim` sets.
    pub fn start_with_shim(text: &str, shim: &Shim) -> Gateway {
        let prepare = |gateway_command: &mut Command| {
            shim.preload(gateway_command);
        };
        Gateway::start_prepared(text, &[], prepare, |line| println!("gateway: {line}"))
    }

    /// Like [`Gateway::start_with_log`], with a command that `prepare` may change before it runs.
    pub fn start_prepared(
        text: &str,
        args: &[&str],
        prepare: impl FnOnce(&mut Command),
        log: impl Fn(&str) + Send + 'static,
    ) -> Gateway {
        let config = write_config_file(text);
        let mut gateway_command = gateway_command(&config);
        prepare(gateway_command.args(args));
        let mut child = gateway_command
            .spawn()
            .expect("the gateway's binary can be executed");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr is piped"));
        let mut earlier_lines = String::new();
        let address = loop {
            let mut line = String::new();
            if lines.read_line(&mut line).unwrap_or(0) == 0 {
                let _ = child.wait();
                panic!("the gateway exited before it listened: {earlier_lines}");
            }
            match line
                .trim_end()
                .split_once(" listens on ")
                .and_then(|(_, a)| a.parse().ok())
            {
                Some(address) => break address,
                None => {
                    log(line.trim_end());
                    earlier_lines.push_str(&line);
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

    /// Returns whether `GET /ready` answers 200.
    pub fn is_ready(&self) -> bool {
        self.client()
            .exchange("GET /ready HTTP/1.1\r\nHost: g\r\n\r\n")
            .is_some_and(|m| m.status() == 200)
    }

    /// Waits until the gateway is ready.
    pub fn wait_ready(&self) {
        let start_time = Instant::now();
        while !self.is_ready() {
            assert!(
                start_time.elapsed() < TIMEOUT,
                "the gateway is ready within {TIMEOUT:?}"
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Connects a client to the gateway's own address.
    pub fn client(&self) -> Client {
        self.client_at(self.address)
    }

    /// Connects a client to an address that the gateway shares with another process.
    pub fn client_at(&self, address: SocketAddr) -> Client {
        Client::at(address)
    }

    /// Sends a request over a new connection and returns the response.
    pub fn request(&self, request: &ClientRequest) -> Message {
        self.client()
            .exchange(&request.to_text())
            .expect("the gateway answers before it closes the connection")
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, given as an option of `kill`.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status();
        assert!(kill.expect("the kill command can be executed").success());
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn replace_config(&self, text: &str) {
        std::fs::write(&self.config, text).expect("the temporary directory is writable");
        self.signal("-HUP");
    }

    /// Waits until the process has exited.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let start_time = Instant::now();
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("only this struct reaps the child")
            {
                return status;
            }
            assert!(
                start_time.elapsed() < TIMEOUT,
                "the gateway exits within {TIMEOUT:?}"
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("only this struct reaps the child")
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

/// HTTP client with one connection to a gateway.
pub struct Client {
    write: TcpStream,
    read: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a gateway.
    ///
    /// # Panics
    /// If the connection is not accepted.
    pub fn at(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("the gateway accepts connections");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("the read timeout is not zero");
        Client {
            write: stream
                .try_clone()
                .expect("the process is below its limit of file descriptors"),
            read: BufReader::new(stream),
        }
    }

    /// Sends `text` as it is.
    pub fn send(&mut self, text: &str) {
        // The gateway may have answered and closed the connection before it has read all of the text.
        let _ = self.write.write_all(text.as_bytes());
    }

    /// Returns whether the gateway has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.write.set_nonblocking(true);
        let is_closed = match self.write.peek(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        };
        let _ = self.write.set_nonblocking(false);
        is_closed
    }

    /// Reads the next response; `None` if the connection ends first.
    ///
    /// # Panics
    /// If neither a response nor the end of the connection arrives within [`TIMEOUT`](crate::TIMEOUT).
    pub fn read_response(&mut self) -> Option<Message> {
        let peeked = self.read.fill_buf().map_err(|e| e.kind());
        assert!(
            peeked != Err(std::io::ErrorKind::WouldBlock),
            "a response or the end of the connection arrives within {TIMEOUT:?}"
        );
        read_message(&mut self.read)
    }

    /// Sends another balance check over the same connection and returns the body of the response.
    pub fn check_again(&mut self) -> String {
        self.exchange(&ClientRequest::check().to_text())
            .expect("the gateway answers before it closes the connection")
            .body
    }

    /// Sends `text` and reads the response; `None` if the connection ends first.
    pub fn exchange(&mut self, text: &str) -> Option<Message> {
        self.send(text);
        self.read_response()
    }
}

/// A client's request, valid until a test changes it.
#[derive(Clone)]
pub struct ClientRequest {
    pub method: &'static str,
    pub path: &'static str,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl ClientRequest {
    /// Creates a balance check with a new trace id.
    pub fn check() -> ClientRequest {
        let trace_id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        let headers = vec![
            ("Host", "backend.local".into()),
            ("X-Trace-Id", trace_id),
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

    /// Creates a top-up with an idempotency key.
    pub fn top_up() -> ClientRequest {
        let mut request = ClientRequest::check();
        (request.method, request.path, request.body) = ("POST", "/top-up", "amount=50".into());
        request
            .with_header("X-Qos", "top-up")
            .with_header("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    }

    /// Replaces or adds a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> ClientRequest {
        self.headers.retain(|(n, _)| *n != name);
        self.headers.push((name, value.into()));
        self
    }

    /// Removes a header.
    pub fn without_header(mut self, name: &str) -> ClientRequest {
        self.headers.retain(|(n, _)| *n != name);
        self
    }

    /// Returns the value of a header, or an empty string if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(n, _)| *n == name)
            .map_or("", |(_, v)| v)
    }

    /// Returns the request as it is sent.
    pub fn to_text(&self) -> String {
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
