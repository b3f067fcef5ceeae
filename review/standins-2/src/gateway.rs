//! Starts gateways with the command `run` of the deploy file.

use crate::{http, record};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Settings of a small deployment: the classes, plans and figures of the operators' example; `{M}` and `{N}` are the
/// gateway's number and the number of gateways.
pub const SETTINGS: &str = r#"{"balancers":{N},"clients":{"marksRetry":false},"dcs":["hall-a","hall-b"],"discovery":"pushed","family":"gate",
"familyInfo":{"countWaitUs":50000,"counterPrice":0.005,"mailPerS":0.0,"sharedCounter":true,"truedUp":false,"unitsTop":6,"usePeriodUs":1000000},
"limits":{"cancel":true,"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":682262,"keepaliveUs":30000000,"maxAttempts":6,"maxRetryAfterUs":2000000,"openCap":27290,"parallelTries":false,"peerMessages":false,"probing":false,"retryAfter":false,"streamsPerConn":32},
"me":{M},"models":["std-2core"],
"penalties":{"connection":0.0,"crossZone":0.02,"discovery":0.0,"handshake":0.0,"lateFail":0.08,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.05},
"report":{"fields":["latency_ms","inflight"],"how":"answers"},
"rules":{"answerSlackUs":8000,"askWithinUs":10000000,"coldFrom":0.27,"coldUs":18000000,"stopSendingWithinUs":500000,"tipAfterUs":3000000,"tipMultiple":4.0},
"scoreParts":{"whole":0.55,"worstClass":0.0,"worstTenant":0.25,"worstWindow":0.2},
"services":[{"aimUs":600000,"deadlineUs":2000000,"dedupScope":"all","effect":"repeatable","lateWorth":0.0,"name":"balance-check","streaming":false,"windowUs":5000000,"worth":2.0},
{"aimUs":300000,"deadlineUs":750000,"dedupScope":"cell","effect":"by_key","lateWorth":0.0,"name":"top-up","streaming":false,"windowUs":750000,"worth":5.0}],
"tariffs":[{"burst":12.0,"capDepth":0.0,"capSlack":0.0,"ceilingRate":0.0,"excessWorth":0.1,"maxOut":0,"name":"lille","overrunCost":0.0,"pays":0.5,"unitsPerS":1.8},
{"burst":30.0,"capDepth":0.0,"capSlack":0.0,"ceilingRate":0.0,"excessWorth":0.0,"maxOut":0,"name":"mellem","overrunCost":0.5,"pays":0.88,"unitsPerS":6.1},
{"burst":0.0,"capDepth":0.0,"capSlack":0.0,"ceilingRate":0.0,"excessWorth":0.0,"maxOut":2,"name":"stor","overrunCost":1.2,"pays":1.3,"unitsPerS":0.0},
{"burst":127.0,"capDepth":326.0,"capSlack":33.0,"ceilingRate":150.0,"excessWorth":0.0,"maxOut":0,"name":"ekstra-stor","overrunCost":1.0,"pays":1.8,"unitsPerS":55.0}],
"tickUs":2000,"tier":0,"tiers":["topup-servers"],"weights":"nominal","zone":"hall-a"}"#;

/// Returns the settings of gateway `me` of `count`.
pub fn settings(me: usize, count: usize) -> String {
    SETTINGS
        .replace("{M}", &me.to_string())
        .replace("{N}", &count.to_string())
}

/// What a gateway is told.
pub struct Config {
    pub name: String,
    pub listen: String,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    pub console: Option<String>,
    pub known: String,
    pub settings: String,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Config {
    pub fn new(me: usize, count: usize, discovery: SocketAddr) -> Config {
        Config {
            name: format!("n{me}"),
            listen: "127.0.0.1:0".into(),
            discovery,
            counter: None,
            console: None,
            known: String::new(),
            settings: settings(me, count),
            memory_mb: 192,
            sockets: 1024,
        }
    }

    pub fn to_json(&self) -> String {
        let counter = self
            .counter
            .map_or(String::new(), |c| format!("\"counter\":\"{c}\","));
        let console = self
            .console
            .as_ref()
            .map_or(String::new(), |c| format!("\"console\":\"{c}\","));
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},{counter}{console}"known":{{"rev":1,"all":true,"targets":[{}]}},"settings":{}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.known,
            self.settings
        )
    }
}

/// Returns a loopback address that nothing listens on now.
pub fn free_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener
        .local_addr()
        .expect("it has an address")
        .to_string()
}

/// A gateway's process, killed on drop.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    pub config_path: std::path::PathBuf,
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .expect("the case runs from the repository's root");
    let line = text
        .lines()
        .find(|l| l.trim_start().starts_with("run"))
        .expect("the deploy file has the line run");
    line.split('"')
        .nth(1)
        .expect("the command is quoted")
        .to_string()
}

impl Gateway {
    /// Starts a gateway; `operator` is the text of its operator's file.
    pub fn start(config: &Config, operator: Option<&str>, tag: &str) -> Gateway {
        let folder = record::folder();
        let config_path = folder.join(format!("{tag}.json"));
        std::fs::write(&config_path, config.to_json())
            .expect("the temporary folder can be written");
        let private = folder.join(format!("{}-tmp", config.name));
        std::fs::create_dir_all(&private).expect("the temporary folder can be written");
        let mut command = run_command();
        if let Some(operator) = operator {
            let path = folder.join(format!("{tag}-operator.toml"));
            std::fs::write(&path, operator).expect("the temporary folder can be written");
            command = format!("{command} --operator {}", path.display());
        }
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .env("NODE_CONFIG", &config_path)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| record::finish(2, &format!("the gateway cannot be started: {e}")));
        record::add_child(child.id());
        record::note(&format!("{tag}: process {} started", child.id()));
        let mut lines = BufReader::new(child.stderr.take().expect("stderr is piped"));
        let address = loop {
            let mut line = String::new();
            if lines.read_line(&mut line).unwrap_or(0) == 0 {
                record::finish(2, &format!("gateway {tag} ended before it listened"));
            }
            record::note(&format!("{tag} log: {}", line.trim_end()));
            if let Some(address) = line
                .trim_end()
                .split_once(" listens on ")
                .and_then(|(_, a)| a.parse().ok())
            {
                break address;
            }
        };
        let log_tag = tag.to_string();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                record::note(&format!("{log_tag} log: {line}"));
            }
        });
        Gateway {
            child,
            address,
            config_path,
        }
    }

    /// Waits until `GET /ready` answers 200.
    pub fn wait_ready(&self) {
        let begin = record::now_ms();
        while record::now_ms() < begin + 15_000.0 {
            let answer = http::call(
                self.address,
                "GET /ready HTTP/1.1\r\nHost: g\r\n\r\n",
                Duration::from_secs(1),
            );
            if answer.is_some_and(|a| a.status == 200) {
                record::note(&format!("gateway {} is ready", self.address));
                return;
            }
            record::sleep_ms(20);
        }
        record::finish(2, "the gateway did not become ready");
    }

    pub fn signal(&self, name: &str) {
        record::note(&format!("signal {name} to process {}", self.child.id()));
        let _ = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status();
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        record::remove_child(self.child.id());
        Some(status.to_string())
    }

    pub fn peak_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmHWM")).unwrap_or("");
        line.split_whitespace()
            .nth(1)
            .and_then(|n| n.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        record::remove_child(self.child.id());
    }
}
