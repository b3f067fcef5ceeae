//! An installation: the gateways' files and processes, and what they share.

use frosthatch_test_doubles::{gateway_binary, Gateway};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Builds the gateway beside this program, in the same profile.
pub fn build() -> Result<(), String> {
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
        Ok(_) => Err("the gateway does not build".into()),
        // Moved to where there is no cargo: what stands beside this program has to do.
        Err(_) if program_there() => Ok(()),
        Err(e) => Err(format!("cargo cannot be run: {e}")),
    }
}

fn program_there() -> bool {
    std::panic::catch_unwind(gateway_binary).is_ok()
}

static ENDING: AtomicBool = AtomicBool::new(false);

/// Ctrl-C and SIGTERM end the scenario at its next pause, by unwinding: every child ends with its handle.
pub fn end_on_signal() {
    std::thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            use tokio::signal::unix::{signal, SignalKind};
            let mut term = signal(SignalKind::terminate()).expect("a signal");
            tokio::select! {
                _ = tokio::signal::ctrl_c() => {}
                _ = term.recv() => {}
            }
            ENDING.store(true, Ordering::SeqCst);
        });
    });
}

/// The scenario was told to end.
pub struct Interrupted;

pub fn pause(time: Duration) {
    let until = Instant::now() + time;
    loop {
        if ENDING.load(Ordering::SeqCst) {
            std::panic::resume_unwind(Box::new(Interrupted));
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        std::thread::sleep(left.min(Duration::from_millis(20)));
    }
}

/// Waits until it holds; a scenario that cannot go on ends.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < Duration::from_secs(60), "{what}");
        pause(Duration::from_millis(10));
    }
}

/// The lab's own day: the brief's two classes, a plan with room for everybody and one with a ceiling.
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

/// What one gateway is told.
pub struct Node {
    pub gateways: usize,
    pub me: usize,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
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

    /// Starts the real program; what it logs goes to standard error.
    pub fn start(&self, operator: Option<&Path>) -> Gateway {
        self.start_with_log(operator, |line| eprintln!("gateway: {line}"))
    }

    /// The same; what it logs goes line by line to `log`.
    pub fn start_with_log(
        &self,
        operator: Option<&Path>,
        log: impl Fn(&str) + Send + 'static,
    ) -> Gateway {
        let gateway = self.launch(operator, log);
        until("a gateway gets ready", || gateway.is_ready());
        gateway
    }

    /// The same, and does not wait until it is ready.
    pub fn launch(&self, operator: Option<&Path>, log: impl Fn(&str) + Send + 'static) -> Gateway {
        let words = operator.map_or_else(Vec::new, |f| {
            vec!["--operator".to_string(), f.display().to_string()]
        });
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        Gateway::start_with_log(&self.config(), &words, log)
    }
}

/// An operator's file that goes with its handle.
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

/// CPU that a process has used, by the kernel's clock ticks of 10 ms.
pub fn cpu(process: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The name in parentheses may hold anything.
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

/// Memory that a process holds, in MB.
pub fn memory_mb(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.trim().trim_end_matches(" kB").trim().parse::<f64>().ok());
    kb.map_or(f64::NAN, |kb| kb / 1024.0)
}

/// The operator's file of gateways that talk to each other; none if they do not.
pub struct Peers {
    file: OperatorFile,
    key: PathBuf,
}

impl Peers {
    pub fn new(gateways: usize) -> Peers {
        // Ports that are free now; whoever takes one of them meanwhile makes the gateway say so and end.
        let sockets: Vec<UdpSocket> = (0..gateways)
            .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port"))
            .collect();
        let at = |s: &UdpSocket| format!("\"{}\"", s.local_addr().expect("an address"));
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
