//! What the platform tells a gateway at its start: the file that `NODE_CONFIG` names.

use frosthatch_config_reader::ConfigError;
use frosthatch_discovery::list;
use frosthatch_traffic_control::{BootInfo, Settings};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;
use serde_path_to_error::Segment;
use std::net::SocketAddr;
use std::time::Duration;

/// Mistakes in the settings that are looked for at most.
const MOST_MISTAKES: usize = 100;
/// With less a gateway cannot work.
const LEAST_SOCKETS: u64 = 64;
const LEAST_MEMORY_MB: u64 = 16;

/// Everything that the program's parts need, checked.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    /// Where operators' calls come, if the platform has a place for them.
    pub console: Option<SocketAddr>,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    pub memory_mb: usize,
    pub known: list::ServerList,
    pub settings: Settings,
    pub connect_timeout: Duration,
    /// A server closes a connection that has stood idle for this long.
    pub server_idle: Duration,
    /// A call to the counter without an answer is given up after this.
    pub counter_timeout: Duration,
    /// What is passed over at the start, but wrong all the same.
    pub oddities: Vec<ConfigError>,
}

/// The settings that concern sockets only; the decisions have no use for them.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct SocketSettings {
    limits: SocketLimits,
    family_info: FamilyInfo,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct SocketLimits {
    connect_timeout_us: u64,
    keepalive_us: u64,
    max_retry_after_us: u64,
}

impl Default for SocketLimits {
    fn default() -> Self {
        SocketLimits {
            connect_timeout_us: 250_000,
            keepalive_us: 15_000_000,
            max_retry_after_us: 0,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    count_wait_us: u64,
}

impl Default for FamilyInfo {
    fn default() -> Self {
        FamilyInfo {
            count_wait_us: 50_000,
        }
    }
}

/// Collects mistakes while the file is read.
struct Reader {
    file: String,
    mistakes: Vec<ConfigError>,
}

impl Reader {
    fn wrong(&mut self, place: &str, what: impl Into<String>, right: &str) {
        let (file, place) = (self.file.clone(), place.to_string());
        self.mistakes.push(ConfigError {
            file,
            place,
            what: what.into(),
            right: right.into(),
        });
    }

    /// The value at a pointer, as `read` understands it.
    fn field<T>(
        &mut self,
        all: &Value,
        pointer: &str,
        right: &str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let place = pointer.trim_start_matches('/').replace('/', ".");
        let Some(value) = all.pointer(pointer) else {
            self.wrong(&place, "configuration is malformed: it is missing", right);
            return None;
        };
        let read = read(value);
        if read.is_none() {
            self.wrong(
                &place,
                format!("configuration is malformed: {}", shortened(value)),
                right,
            );
        }
        read
    }

    /// Reads what can be read; each part that has the wrong type is told and left out.
    fn all_of<T: DeserializeOwned + Default>(&mut self, mut from: Value) -> T {
        for _ in 0..MOST_MISTAKES {
            match serde_path_to_error::deserialize::<_, T>(&from) {
                Ok(read) => return read,
                Err(e) => {
                    let place = format!("settings.{}", e.path());
                    self.wrong(
                        &place,
                        format!("configuration is malformed: {}", e.inner()),
                        "correct its type",
                    );
                    if !leave_out(&mut from, e.path()) {
                        break;
                    }
                }
            }
        }
        T::default()
    }
}

fn shortened(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(60) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// Takes away the value at a path; what is left has a default for it.
fn leave_out(from: &mut Value, path: &serde_path_to_error::Path) -> bool {
    let steps: Vec<&Segment> = path.iter().collect();
    let Some((last, ahead)) = steps.split_last() else {
        return false;
    };
    let mut at = from;
    for step in ahead {
        let next = match step {
            Segment::Map { key } => at.get_mut(key),
            Segment::Seq { index } => at.get_mut(index),
            _ => None,
        };
        let Some(next) = next else { return false };
        at = next;
    }
    match (last, at) {
        (Segment::Map { key }, Value::Object(map)) => map.remove(key).is_some(),
        (Segment::Seq { index }, Value::Array(list)) if *index < list.len() => {
            list.remove(*index);
            true
        }
        _ => false,
    }
}

impl Config {
    pub fn from_env() -> Result<Self, Vec<ConfigError>> {
        let one = |file: &str, what: String, right: &str| {
            let (file, right) = (file.to_string(), right.to_string());
            vec![ConfigError {
                file,
                place: "the file".into(),
                what,
                right,
            }]
        };
        let path = std::env::var("NODE_CONFIG").map_err(|_| {
            one(
                "NODE_CONFIG",
                "the variable is not set".into(),
                "it names the configuration file",
            )
        })?;
        let text = std::fs::read_to_string(&path).map_err(|e| {
            one(
                &path,
                format!("configuration cannot be read: {e}"),
                "name a file that can be read",
            )
        })?;
        Config::parse(&path, &text)
    }

    fn parse(path: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        let mut r = Reader {
            file: path.into(),
            mistakes: Vec::new(),
        };
        let file: Value = match serde_json::from_str(text) {
            Ok(file) => file,
            Err(e) => {
                let place = format!("line {}, column {}", e.line(), e.column());
                r.wrong(
                    &place,
                    format!("configuration is malformed: {e}"),
                    "write one JSON object",
                );
                return Err(r.mistakes);
            }
        };
        let address = |v: &Value| v.as_str()?.parse::<SocketAddr>().ok();
        const AN_ADDRESS: &str = "write an address and a port, as \"127.0.0.1:8080\"";
        let name = r.field(&file, "/name", "write a text", |v| {
            v.as_str().map(String::from)
        });
        let listen = r.field(&file, "/listen", AN_ADDRESS, address);
        let discovery = r.field(&file, "/discovery", AN_ADDRESS, address);
        let counter = match file.get("counter") {
            None | Some(Value::Null) => None,
            Some(_) => r.field(&file, "/counter", AN_ADDRESS, address),
        };
        let from_env = std::env::var("NODE_CONSOLE").ok().map(Value::from);
        let console = match file.get("console").or(from_env.as_ref()) {
            None | Some(Value::Null) => None,
            Some(written) => {
                let read = address(written);
                if read.is_none() {
                    let what = format!("configuration is malformed: {}", shortened(written));
                    r.wrong("console", what, AN_ADDRESS);
                }
                read
            }
        };
        let hex = |v: &Value| v.as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
        let seed = r.field(&file, "/seed", "write 16 hex digits", hex);
        let at_least = |least: u64| move |v: &Value| v.as_u64().filter(|&n| n >= least);
        let sockets = r.field(
            &file,
            "/limits/sockets",
            "write a number from 64 on",
            at_least(LEAST_SOCKETS),
        );
        let memory_mb = r.field(
            &file,
            "/limits/memory_mb",
            "write a number of MB from 16 on",
            at_least(LEAST_MEMORY_MB),
        );
        let mut oddities = Vec::new();
        let known = file.get("known").map_or_else(Default::default, |known| {
            for (n, e) in list::unreadable(known) {
                let place = format!("known.targets[{n}]");
                let (file, right) = (
                    path.to_string(),
                    "it is left out; correct or drop it".into(),
                );
                oddities.push(ConfigError {
                    file,
                    place,
                    what: e,
                    right,
                });
            }
            let list = list::ServerList::deserialize(known);
            list.inspect_err(|e| {
                r.wrong(
                    "known",
                    format!("configuration is malformed: {e}"),
                    "write rev, all and targets",
                )
            })
            .unwrap_or_default()
        });
        let settings = r.field(&file, "/settings", "write an object", |v| {
            v.is_object().then(|| v.clone())
        });
        let boot: BootInfo = r.all_of(settings.clone().unwrap_or_default());
        let socket: SocketSettings = r.all_of(settings.unwrap_or_default());
        let mut settings = boot.settings();
        // Over HTTP every refusal can say when to come back, also where the simulator's clients are told nothing.
        settings.max_retry_after_us = socket.limits.max_retry_after_us;
        settings.counter &= counter.is_some();
        if r.mistakes.is_empty() {
            for what in settings.mistakes() {
                r.wrong("settings", what, "correct the settings");
            }
        }
        match (name, listen, discovery, seed, sockets, memory_mb) {
            (
                Some(name),
                Some(listen),
                Some(discovery),
                Some(seed),
                Some(sockets),
                Some(memory_mb),
            ) if r.mistakes.is_empty() => Ok(Config {
                name,
                listen,
                discovery,
                counter,
                console,
                seed,
                sockets: sockets as usize,
                memory_mb: memory_mb as usize,
                known,
                settings,
                connect_timeout: Duration::from_micros(socket.limits.connect_timeout_us),
                server_idle: Duration::from_micros(socket.limits.keepalive_us),
                counter_timeout: Duration::from_micros(socket.family_info.count_wait_us),
                oddities,
            }),
            _ => {
                r.mistakes.extend(oddities);
                Err(r.mistakes)
            }
        }
    }
}
