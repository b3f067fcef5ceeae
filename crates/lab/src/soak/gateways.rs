//! The gateways of the soak: real processes, each under a shim of its own.

use super::record::History;
use super::servers::WINDOW;
use frosthatch_test_doubles::{gateway_binary, write_config_file, Fault, Shim};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest deadline of a class.
pub const DEADLINE: Duration = Duration::from_millis(1_500);
/// SIGKILL may come so long after the longest deadline.
const ENDS_WITHIN: Duration = Duration::from_millis(700);
/// Room for a busy machine in what is measured here.
const BUSY: Duration = Duration::from_millis(300);
/// A process is ready within this.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// New connections come for so long after SIGTERM.
const STILL_COMING: Duration = Duration::from_millis(300);

/// Settings of the cold start, which the oracle checks: share at the start, time until warm, multiple, window.
pub const COLD_FROM: f64 = 0.27;
pub const WARM_AFTER: Duration = Duration::from_secs(18);
pub const TIP_MULTIPLE: f64 = 1.2;
pub const TIP_AFTER: Duration = Duration::from_secs(3);

fn settings(gateways: usize, me: usize, cancel: bool) -> String {
    let (deadline, window) = (DEADLINE.as_micros(), WINDOW.as_micros());
    let (warm, tip) = (WARM_AFTER.as_micros(), TIP_AFTER.as_micros());
    format!(
        r#"{{"balancers":{gateways},"me":{me},"zone":"hall-a","discovery":"pushed",
        "familyInfo":{{"countWaitUs":50000,"unitsTop":6,"usePeriodUs":1000000}},
        "limits":{{"cancel":{cancel},"connectTimeoutUs":250000,"keepaliveUs":15000000,"maxAttempts":6,"maxRetryAfterUs":1000000,"parallelTries":false,"retryAfter":true}},
        "rules":{{"coldFrom":{COLD_FROM},"coldUs":{warm},"tipAfterUs":{tip},"tipMultiple":{TIP_MULTIPLE}}},
        "services":[{{"aimUs":600000,"deadlineUs":{deadline},"effect":"repeatable","name":"balance-check","worth":2.0}},
          {{"aimUs":300000,"deadlineUs":{deadline},"dedupScope":"cell","effect":"by_key","name":"top-up","worth":5.0,"windowUs":{window}}},
          {{"aimUs":300000,"deadlineUs":{deadline},"effect":"once","name":"transfer","worth":5.0}}],
        "tariffs":[{{"name":"mellem","burst":100000,"unitsPerS":10000,"pays":1.0}}]}}"#
    )
}

/// How a gateway is meant to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Meant {
    Running,
    /// Told to end at that time.
    Ending(Instant),
    Dead,
}

struct Process {
    child: Child,
    meant: Meant,
}

pub struct Gateway {
    pub number: usize,
    pub address: SocketAddr,
    pub shim: Shim,
    config: PathBuf,
    text: [String; 2],
    /// Which of the two addresses of discovery its file names.
    discovery: AtomicUsize,
    process: Mutex<Option<Process>>,
    /// The front sends new clients.
    taken_in: AtomicBool,
    history: Arc<History>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Gateway {
    pub fn new(
        number: usize,
        gateways: usize,
        cancel: bool,
        discovery: [SocketAddr; 2],
        history: &Arc<History>,
    ) -> Gateway {
        // A port that is free now: the process comes back under the same address.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let text = discovery.map(|discovery| {
            format!(
                r#"{{"name":"n{number}","listen":"{address}","discovery":"{discovery}","seed":"{:016x}",
                "limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},"counter":null,"settings":{}}}"#,
                0x5eed + number,
                settings(gateways, number, cancel)
            )
        });
        Gateway {
            number,
            address,
            shim: Shim::new(),
            config: write_config_file(&text[0]),
            text,
            discovery: AtomicUsize::new(0),
            process: Mutex::default(),
            taken_in: AtomicBool::new(false),
            history: history.clone(),
            log: Arc::default(),
        }
    }

    /// Whether the front sends new connections there.
    pub fn takes_clients(&self) -> bool {
        self.taken_in.load(Ordering::SeqCst)
    }

    /// Whether the process is meant to serve what comes over a new connection now.
    pub fn owes_connections(&self) -> bool {
        match self
            .process
            .lock()
            .expect("a process")
            .as_ref()
            .map(|p| p.meant)
        {
            Some(Meant::Running) => true,
            Some(Meant::Ending(since)) => since.elapsed() < STILL_COMING,
            Some(Meant::Dead) | None => false,
        }
    }

    /// Starts the process; the front takes it in once it is ready.
    pub fn start(&self) {
        let mut command = Command::new(gateway_binary());
        command
            .env("NODE_CONFIG", &self.config)
            .env("FROSTHATCH_LOG", "debug");
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = self
            .shim
            .preload(&mut command)
            .spawn()
            .expect("the gateway starts");
        let lines = BufReader::new(child.stderr.take().expect("stderr"));
        let (history, number, log) = (self.history.clone(), self.number, self.log.clone());
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                if line.contains("panicked") || line.contains("rule broken") {
                    history.incident("run-time check", format!("gateway {number}: {line}"));
                }
                log.lock().expect("a log").push(line);
            }
        });
        *self.process.lock().expect("a process") = Some(Process {
            child,
            meant: Meant::Running,
        });
        let since = Instant::now();
        while !self.says_ready() {
            if since.elapsed() > READY_WITHIN {
                self.history.incident(
                    "ready",
                    format!("gateway {} is not ready in {READY_WITHIN:?}", self.number),
                );
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.taken_in.store(true, Ordering::SeqCst);
    }

    fn says_ready(&self) -> bool {
        use std::io::{Read, Write};
        let Ok(mut stream) = std::net::TcpStream::connect(self.address) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        answer.starts_with(b"HTTP/1.1 200")
    }

    fn signal(&self, name: &str) {
        if let Some(process) = &*self.process.lock().expect("a process") {
            let _ = Command::new("kill")
                .arg(name)
                .arg(process.child.id().to_string())
                .status();
        }
    }

    fn mean(&self, meant: Meant) {
        if let Some(process) = &mut *self.process.lock().expect("a process") {
            process.meant = meant;
        }
    }

    /// Told to end, it finishes what it holds and ends well in time.
    pub fn terminate(&self) {
        let since = Instant::now();
        self.mean(Meant::Ending(since));
        self.signal("-TERM");
        thread::sleep(STILL_COMING);
        self.taken_in.store(false, Ordering::SeqCst);
        let most = DEADLINE + ENDS_WITHIN + BUSY;
        loop {
            let ended = match &mut *self.process.lock().expect("a process") {
                Some(process) => process.child.try_wait().ok().flatten(),
                None => return,
            };
            match ended {
                Some(status) if status.success() => break,
                Some(status) => {
                    self.history.incident(
                        "exit",
                        format!("gateway {} told to end: {status}", self.number),
                    );
                    break;
                }
                None if since.elapsed() > most => {
                    self.history.incident(
                        "exit",
                        format!("gateway {} told to end still runs", self.number),
                    );
                    self.kill();
                    break;
                }
                None => thread::sleep(Duration::from_millis(5)),
            }
        }
        *self.process.lock().expect("a process") = None;
    }

    /// Killed outright.
    pub fn kill(&self) {
        self.mean(Meant::Dead);
        self.history
            .seen()
            .kills
            .push((self.number, Instant::now()));
        if let Some(mut process) = self.process.lock().expect("a process").take() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        self.taken_in.store(false, Ordering::SeqCst);
    }

    /// Held up for a moment.
    pub fn pause(&self, time: Duration) {
        self.signal("-STOP");
        thread::sleep(time);
        self.signal("-CONT");
    }

    /// A new configuration moves discovery.
    pub fn reload(&self) {
        let next = 1 - self.discovery.load(Ordering::SeqCst);
        self.discovery.store(next, Ordering::SeqCst);
        std::fs::write(&self.config, &self.text[next]).expect("the configuration is written");
        self.signal("-HUP");
    }

    pub fn set(&self, fault: Fault, value: i64) {
        self.shim.set(fault, value);
    }

    /// It runs as it is meant to, at the end of the soak.
    pub fn check_running(&self) {
        if let Some(process) = &mut *self.process.lock().expect("a process") {
            if let (Meant::Running, Ok(Some(status))) = (process.meant, process.child.try_wait()) {
                self.history
                    .incident("crash", format!("gateway {} ended: {status}", self.number));
            }
        }
    }

    /// Lines of the log that name a request, by its number.
    pub fn log_of(&self, id: u64) -> Vec<String> {
        let name = format!("request={id} ");
        let log = self.log.lock().expect("a log");
        log.iter()
            .filter(|line| format!("{line} ").contains(&name))
            .cloned()
            .collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.lock().expect("a process").take() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = std::fs::remove_file(&self.config);
    }
}
