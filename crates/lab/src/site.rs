//! Building blocks of an installation: building and starting gateways, their configuration files, and process statistics.

use frosthatch_test_doubles::{gateway_binary, Gateway};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Builds the gateway binary in the same Cargo profile as this program.
pub fn build_gateway() -> Result<(), String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .args(["build", "--quiet", "--package", "frosthatch"])
        .current_dir(root);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    match command.status() {
        Ok(status) if status.success() => Ok(()),
        Ok(_) => Err("`cargo build --package frosthatch` failed".into()),
        // Without Cargo on this machine, an existing gateway binary beside this program is used.
        Err(_) if gateway_binary_exists() => Ok(()),
        Err(e) => Err(format!("cannot run cargo: {e}")),
    }
}

fn gateway_binary_exists() -> bool {
    std::panic::catch_unwind(gateway_binary).is_ok()
}

static INTERRUPTED: AtomicBool = AtomicBool::new(false);

/// Makes Ctrl-C and SIGTERM end the scenario at its next [`pause`]. The scenario ends by unwinding, so that the handles of
/// all child processes are dropped and the processes end.
pub fn interrupt_on_signal() {
    std::thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the Tokio runtime can be built");
        runtime.block_on(async {
            use tokio::signal::unix::{signal, SignalKind};
            let mut term =
                signal(SignalKind::terminate()).expect("the SIGTERM handler can be registered");
            tokio::select! {
                _ = tokio::signal::ctrl_c() => {}
                _ = term.recv() => {}
            }
            INTERRUPTED.store(true, Ordering::SeqCst);
        });
    });
}

/// Panic payload of a scenario that Ctrl-C or SIGTERM interrupted.
pub struct Interrupted;

/// Sleeps for `time`.
///
/// # Panics
/// Unwinds with [`Interrupted`] after Ctrl-C or SIGTERM, if [`interrupt_on_signal`] was called.
pub fn pause(time: Duration) {
    let until = Instant::now() + time;
    loop {
        if INTERRUPTED.load(Ordering::SeqCst) {
            std::panic::resume_unwind(Box::new(Interrupted));
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        std::thread::sleep(left.min(Duration::from_millis(20)));
    }
}

/// Waits until `holds` returns true.
///
/// # Panics
/// Panics with `what` after 60 s, which ends the scenario.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < Duration::from_secs(60), "{what}");
        pause(Duration::from_millis(10));
    }
}

/// Returns the platform settings of one gateway: two classes, one plan with ample quota, one with a low quota and a ceiling,
/// and two plans that the shared counter enforces.
fn settings(gateways: usize, me: usize) -> String {
    format!(
        r#"{{"balancers":{gateways},"me":{me},"zone":"hall-a","discovery":"pushed",
        "familyInfo":{{"countWaitUs":50000,"sharedCounter":true,"unitsTop":6,"usePeriodUs":1000000}},
        "limits":{{"cancel":true,"connectTimeoutUs":250000,"keepaliveUs":15000000,"maxAttempts":6,"maxRetryAfterUs":1000000,"parallelTries":false,"retryAfter":true}},
        "rules":{{"coldFrom":0.27,"coldUs":18000000,"tipAfterUs":3000000,"tipMultiple":4.0}},
        "services":[{{"aimUs":600000,"deadlineUs":2000000,"effect":"repeatable","name":"balance-check","worth":2.0}},
          {{"aimUs":300000,"deadlineUs":750000,"dedupScope":"cell","effect":"by_key","name":"top-up","worth":5.0,"windowUs":750000}}],
        "tariffs":[{{"name":"mellem","burst":400,"unitsPerS":100,"pays":1.0,"overrunCost":0.5}},
          {{"name":"ekstra-stor","burst":20,"unitsPerS":10,"ceilingRate":20,"capDepth":40,"pays":1.8,"overrunCost":1.0}},
          {{"name":"counted","burst":24,"unitsPerS":6,"pays":0.9,"overrunCost":0.5}},
          {{"name":"counted-large","burst":80,"unitsPerS":40,"ceilingRate":85,"capDepth":170,"pays":1.8,"overrunCost":1.0}}]}}"#
    )
}

/// Configuration of one gateway process.
pub struct Node {
    pub gateways: usize,
    /// Index of this gateway, below `gateways`.
    pub me: usize,
    /// Address of the endpoint list agent.
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    /// Maximum number of open sockets.
    pub sockets: usize,
    pub memory_mb: usize,
}

impl Node {
    fn config(&self) -> String {
        let counter = self.counter.map_or("null".into(), |c| format!("\"{c}\""));
        format!(
            r#"{{"name":"n{}","listen":"127.0.0.1:0","console":"127.0.0.1:0","discovery":"{}","seed":"{:016x}",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"counter":{counter},"settings":{}}}"#,
            self.me,
            self.discovery,
            0x5eed + self.me,
            self.memory_mb,
            self.sockets,
            settings(self.gateways, self.me)
        )
    }

    /// Starts the gateway, waits until it is ready, and copies its log to standard error.
    pub fn start(&self, operator: Option<&Path>) -> Gateway {
        self.start_with_log(operator, |line| eprintln!("gateway: {line}"))
    }

    /// Starts the gateway, waits until it is ready, and passes each line of its log to `log`.
    pub fn start_with_log(
        &self,
        operator: Option<&Path>,
        log: impl Fn(&str) + Send + 'static,
    ) -> Gateway {
        let gateway = self.launch(operator, log);
        until("the gateway reports ready", || gateway.is_ready());
        gateway
    }

    /// Starts the gateway without waiting until it is ready, and passes each line of its log to `log`.
    pub fn launch(&self, operator: Option<&Path>, log: impl Fn(&str) + Send + 'static) -> Gateway {
        let arguments = operator.map_or_else(Vec::new, |f| {
            vec!["--operator".to_string(), f.display().to_string()]
        });
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        Gateway::start_with_log(&self.config(), &arguments, log)
    }
}

/// An operator configuration file that is deleted on drop.
pub struct OperatorFile(PathBuf);

impl OperatorFile {
    pub fn new(text: &str) -> Self {
        OperatorFile(frosthatch_test_doubles::write_config_file(text))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for OperatorFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Returns the CPU time that a process has used, in the kernel's clock ticks of 10 ms.
pub fn cpu(process: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The process name in parentheses may contain spaces and parentheses: fields are counted from the last one.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |n: usize| {
        fields
            .get(n)
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or(0)
    };
    Duration::from_millis(10 * (ticks(11) + ticks(12)))
}

/// Returns the resident memory of a process in MB, or NaN if it cannot be read.
pub fn memory_mb(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.trim().trim_end_matches(" kB").trim().parse::<f64>().ok());
    kb.map_or(f64::NAN, |kb| kb / 1024.0)
}

/// Operator file and key file of gateways that exchange usage with each other.
pub struct Peers {
    file: OperatorFile,
    key: PathBuf,
}

impl Peers {
    pub fn new(gateways: usize) -> Peers {
        // The ports are free now; if another process takes one before the gateway binds it, the gateway logs that and exits.
        let sockets: Vec<UdpSocket> = (0..gateways)
            .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a loopback port can be bound"))
            .collect();
        let at = |s: &UdpSocket| {
            format!(
                "\"{}\"",
                s.local_addr().expect("a bound socket has a local address")
            )
        };
        let addresses: Vec<String> = sockets.iter().map(at).collect();
        let key = frosthatch_test_doubles::write_config_file(
            "a key of the lab's own, long enough for all",
        );
        let text = format!(
            "[peers]\ngateways = [{}]\nkey_file = \"{}\"\n",
            addresses.join(", "),
            key.display()
        );
        Peers {
            file: OperatorFile::new(&text),
            key,
        }
    }

    pub fn path(&self) -> &Path {
        self.file.path()
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.key);
    }
}
