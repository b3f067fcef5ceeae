//! Gateways of the soak: real processes, each with a system-call fault shim of its own.

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

/// Deadline of all classes.
pub const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time beyond the deadline within which a gateway must exit after SIGTERM, before a SIGKILL may follow.
const EXIT_GRACE: Duration = Duration::from_millis(700);
/// Addition to the exit timeout for a busy machine.
const BUSY_SLACK: Duration = Duration::from_millis(300);
/// Bound on waiting for a gateway to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after SIGTERM for which new connections still arrive.
const CONNECTIONS_AFTER_SIGTERM: Duration = Duration::from_millis(300);

/// Share of its capacity that a cold server has at its start. The oracle checks the slow-start settings.
pub const COLD_FROM: f64 = 0.27;
/// Time until a cold server is warm.
pub const WARM_AFTER: Duration = Duration::from_secs(18);
/// Multiple of its capacity that a cold server may receive within [`TIP_AFTER`].
pub const TIP_MULTIPLE: f64 = 1.2;
/// Window of the slow-start budget.
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

/// Intended state of a gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IntendedState {
    Running,
    /// SIGTERM was sent at this time.
    Exiting(Instant),
    Dead,
}

struct Process {
    child: Child,
    intended: IntendedState,
}

/// A gateway that is restarted under the same address.
pub struct Gateway {
    pub number: usize,
    pub address: SocketAddr,
    pub shim: Shim,
    config_path: PathBuf,
    /// Configuration for each of the two discovery addresses.
    config_texts: [String; 2],
    /// Index of the discovery address that the configuration file names.
    discovery: AtomicUsize,
    process: Mutex<Option<Process>>,
    /// The front-end load balancer sends new connections.
    in_rotation: AtomicBool,
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
        // The port is fixed so that the process restarts under the same address.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        let address = listener
            .local_addr()
            .expect("a bound socket has a local address");
        let config_texts = discovery.map(|discovery| {
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
            config_path: write_config_file(&config_texts[0]),
            config_texts,
            discovery: AtomicUsize::new(0),
            process: Mutex::default(),
            in_rotation: AtomicBool::new(false),
            history: history.clone(),
            log: Arc::default(),
        }
    }

    /// Returns whether the front-end load balancer sends new connections to this gateway.
    pub fn is_in_rotation(&self) -> bool {
        self.in_rotation.load(Ordering::SeqCst)
    }

    /// Returns whether the process has to serve new connections now.
    pub fn must_accept(&self) -> bool {
        match self
            .process
            .lock()
            .expect("lock is not poisoned")
            .as_ref()
            .map(|p| p.intended)
        {
            Some(IntendedState::Running) => true,
            Some(IntendedState::Exiting(since)) => since.elapsed() < CONNECTIONS_AFTER_SIGTERM,
            Some(IntendedState::Dead) | None => false,
        }
    }

    /// Starts the process and waits until it is ready; the front-end load balancer then sends connections to it.
    pub fn start(&self) {
        let mut command = Command::new(gateway_binary());
        command
            .env("NODE_CONFIG", &self.config_path)
            .env("FROSTHATCH_LOG", "debug");
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = self
            .shim
            .preload(&mut command)
            .spawn()
            .expect("the gateway binary can be started");
        let lines = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let (history, number, log) = (self.history.clone(), self.number, self.log.clone());
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                if line.contains("panicked") || line.contains("rule broken") {
                    history.incident("run-time check", format!("gateway {number}: {line}"));
                }
                log.lock().expect("lock is not poisoned").push(line);
            }
        });
        *self.process.lock().expect("lock is not poisoned") = Some(Process {
            child,
            intended: IntendedState::Running,
        });
        let since = Instant::now();
        while !self.is_ready() {
            if since.elapsed() > READY_TIMEOUT {
                self.history.incident(
                    "ready",
                    format!(
                        "gateway {} is not ready within {READY_TIMEOUT:?}",
                        self.number
                    ),
                );
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.in_rotation.store(true, Ordering::SeqCst);
    }

    fn is_ready(&self) -> bool {
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
        if let Some(process) = &*self.process.lock().expect("lock is not poisoned") {
            let _ = Command::new("kill")
                .arg(name)
                .arg(process.child.id().to_string())
                .status();
        }
    }

    fn set_intended(&self, intended: IntendedState) {
        if let Some(process) = &mut *self.process.lock().expect("lock is not poisoned") {
            process.intended = intended;
        }
    }

    /// Sends SIGTERM and checks that the process finishes its requests and exits successfully in time.
    pub fn terminate(&self) {
        let since = Instant::now();
        self.set_intended(IntendedState::Exiting(since));
        self.signal("-TERM");
        thread::sleep(CONNECTIONS_AFTER_SIGTERM);
        self.in_rotation.store(false, Ordering::SeqCst);
        let exit_timeout = DEADLINE + EXIT_GRACE + BUSY_SLACK;
        loop {
            let ended = match &mut *self.process.lock().expect("lock is not poisoned") {
                Some(process) => process.child.try_wait().ok().flatten(),
                None => return,
            };
            match ended {
                Some(status) if status.success() => break,
                Some(status) => {
                    self.history.incident(
                        "exit",
                        format!("gateway {} exited after SIGTERM: {status}", self.number),
                    );
                    break;
                }
                None if since.elapsed() > exit_timeout => {
                    self.history.incident(
                        "exit",
                        format!(
                            "gateway {} still runs {exit_timeout:?} after SIGTERM",
                            self.number
                        ),
                    );
                    self.kill();
                    break;
                }
                None => thread::sleep(Duration::from_millis(5)),
            }
        }
        *self.process.lock().expect("lock is not poisoned") = None;
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&self) {
        self.set_intended(IntendedState::Dead);
        self.history
            .observations()
            .kills
            .push((self.number, Instant::now()));
        if let Some(mut process) = self.process.lock().expect("lock is not poisoned").take() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        self.in_rotation.store(false, Ordering::SeqCst);
    }

    /// Pauses the process (SIGSTOP) for `time`.
    pub fn pause(&self, time: Duration) {
        self.signal("-STOP");
        thread::sleep(time);
        self.signal("-CONT");
    }

    /// Reloads the configuration with the other discovery address.
    pub fn reload(&self) {
        let next = 1 - self.discovery.load(Ordering::SeqCst);
        self.discovery.store(next, Ordering::SeqCst);
        std::fs::write(&self.config_path, &self.config_texts[next])
            .expect("the configuration file can be written");
        self.signal("-HUP");
    }

    pub fn set_fault(&self, fault: Fault, value: i64) {
        self.shim.set(fault, value);
    }

    /// Checks at the end of the soak that the process has not exited unexpectedly.
    pub fn check_running(&self) {
        if let Some(process) = &mut *self.process.lock().expect("lock is not poisoned") {
            if let (IntendedState::Running, Ok(Some(status))) =
                (process.intended, process.child.try_wait())
            {
                self.history.incident(
                    "crash",
                    format!("gateway {} exited unexpectedly: {status}", self.number),
                );
            }
        }
    }

    /// Returns the log lines that name a request.
    pub fn log_of(&self, id: u64) -> Vec<String> {
        let name = format!("request={id} ");
        let log = self.log.lock().expect("lock is not poisoned");
        log.iter()
            .filter(|line| format!("{line} ").contains(&name))
            .cloned()
            .collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.lock().expect("lock is not poisoned").take() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = std::fs::remove_file(&self.config_path);
    }
}
