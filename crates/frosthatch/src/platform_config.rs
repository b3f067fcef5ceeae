//! What the platform configures at the start: the JSON file that `NODE_CONFIG` names.

mod json_reader;

use frosthatch_config_reader::ConfigError;
use frosthatch_discovery::list;
use frosthatch_traffic_control::{BootInfo, Settings};
use json_reader::JsonReader;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// With fewer descriptors a gateway cannot work.
const MIN_SOCKETS: u64 = 64;
/// With less memory a gateway cannot work.
const MIN_MEMORY_MB: u64 = 16;
const ADDRESS_HINT: &str = "write an address and a port, as \"127.0.0.1:8080\"";

/// The platform's configuration, checked.
#[derive(Debug)]
pub struct PlatformConfig {
    /// This gateway's name.
    pub name: String,
    /// Where clients connect over HTTP.
    pub listen: SocketAddr,
    /// The list agent.
    pub discovery: SocketAddr,
    /// The shared counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Where the admin API listens, if the platform has a place for it.
    pub admin: Option<SocketAddr>,
    /// Seed of all random draws.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may hold.
    pub memory_mb: usize,
    /// The endpoint list that an earlier process knew.
    pub known_endpoints: list::ServerList,
    /// The settings of the decisions.
    pub settings: Settings,
    /// A connect to a server that takes longer has failed.
    pub connect_timeout: Duration,
    /// A server closes a connection that has been idle for this long.
    pub server_idle_timeout: Duration,
    /// A call to the counter without an answer for this long is given up.
    pub counter_timeout: Duration,
    /// Mistakes that are passed over at the start.
    pub warnings: Vec<ConfigError>,
}

/// The settings that concern sockets only.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct SocketSettings {
    limits: SocketLimits,
    family_info: CounterSettings,
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
struct CounterSettings {
    count_wait_us: u64,
}

impl Default for CounterSettings {
    fn default() -> Self {
        CounterSettings {
            count_wait_us: 50_000,
        }
    }
}

/// The fields that must be there; `None` where one is missing or malformed.
struct RequiredFields {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    counter: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    seed: Option<u64>,
    sockets: Option<u64>,
    memory_mb: Option<u64>,
}

/// All settings, in the terms of whoever uses them.
struct ParsedSettings {
    decisions: Settings,
    sockets: SocketSettings,
}

impl PlatformConfig {
    /// Reads the file that `NODE_CONFIG` names.
    ///
    /// # Errors
    /// Every mistake in it.
    pub fn from_env() -> Result<Self, Vec<ConfigError>> {
        let error = |file: &str, what: String, right: &str| {
            vec![ConfigError {
                file: file.to_string(),
                location: "the file".into(),
                problem: what,
                hint: right.to_string(),
            }]
        };
        let path = std::env::var("NODE_CONFIG").map_err(|_| {
            let what = "the variable is not set".into();
            error("NODE_CONFIG", what, "it names the configuration file")
        })?;
        let text = std::fs::read_to_string(&path).map_err(|e| {
            let what = format!("configuration cannot be read: {e}");
            error(&path, what, "name a file that can be read")
        })?;
        PlatformConfig::parse(&path, &text)
    }

    fn parse(path: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        let mut reader = JsonReader::new(path);
        let file: Value = match serde_json::from_str(text) {
            Ok(file) => file,
            Err(error) => {
                let place = format!("line {}, column {}", error.line(), error.column());
                let what = format!("configuration is malformed: {error}");
                reader.report(&place, what, "write one JSON object");
                return Err(reader.into_errors());
            }
        };
        let fields = RequiredFields::read(&mut reader, &file);
        let (known_endpoints, warnings) = read_known_endpoints(&mut reader, &file, path);
        let settings = read_settings(&mut reader, &file, fields.counter.is_some());
        let mut errors = reader.into_errors();
        if errors.is_empty() {
            if let Some(config) = fields.into_config(known_endpoints, settings) {
                return Ok(PlatformConfig { warnings, ..config });
            }
        }
        errors.extend(warnings);
        Err(errors)
    }
}

impl RequiredFields {
    fn read(reader: &mut JsonReader, file: &Value) -> RequiredFields {
        let text = |value: &Value| value.as_str().map(String::from);
        let hex = |value: &Value| {
            value
                .as_str()
                .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        };
        let at_least = |min: u64| move |value: &Value| value.as_u64().filter(|&n| n >= min);
        RequiredFields {
            name: reader.field(file, "/name", "write a text", text),
            listen: reader.field(file, "/listen", ADDRESS_HINT, address),
            discovery: reader.field(file, "/discovery", ADDRESS_HINT, address),
            counter: match file.get("counter") {
                None | Some(Value::Null) => None,
                Some(_) => reader.field(file, "/counter", ADDRESS_HINT, address),
            },
            admin: read_admin_address(reader, file),
            seed: reader.field(file, "/seed", "write 16 hex digits", hex),
            sockets: reader.field(
                file,
                "/limits/sockets",
                "write a number from 64 on",
                at_least(MIN_SOCKETS),
            ),
            memory_mb: reader.field(
                file,
                "/limits/memory_mb",
                "write a number of MB from 16 on",
                at_least(MIN_MEMORY_MB),
            ),
        }
    }

    /// The configuration, if all that must be there is there.
    fn into_config(
        self,
        known_endpoints: list::ServerList,
        settings: ParsedSettings,
    ) -> Option<PlatformConfig> {
        let limits = &settings.sockets.limits;
        Some(PlatformConfig {
            name: self.name?,
            listen: self.listen?,
            discovery: self.discovery?,
            counter: self.counter,
            admin: self.admin,
            seed: self.seed?,
            sockets: self.sockets? as usize,
            memory_mb: self.memory_mb? as usize,
            known_endpoints,
            connect_timeout: Duration::from_micros(limits.connect_timeout_us),
            server_idle_timeout: Duration::from_micros(limits.keepalive_us),
            counter_timeout: Duration::from_micros(settings.sockets.family_info.count_wait_us),
            settings: settings.decisions,
            warnings: Vec::new(),
        })
    }
}

fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Where the admin API listens: the file's `console`, else the variable `NODE_CONSOLE`.
fn read_admin_address(reader: &mut JsonReader, file: &Value) -> Option<SocketAddr> {
    let from_env = std::env::var("NODE_CONSOLE").ok().map(Value::from);
    let written = file.get("console").or(from_env.as_ref())?;
    if written.is_null() {
        return None;
    }
    let parsed = address(written);
    if parsed.is_none() {
        reader.report_malformed("console", written, ADDRESS_HINT);
    }
    parsed
}

/// The endpoint list that an earlier process knew, and its entries that cannot be read.
fn read_known_endpoints(
    reader: &mut JsonReader,
    file: &Value,
    path: &str,
) -> (list::ServerList, Vec<ConfigError>) {
    let Some(known) = file.get("known") else {
        return (list::ServerList::default(), Vec::new());
    };
    let unreadable = list::invalid_entries(known).into_iter();
    let warnings = unreadable.map(|(index, what)| ConfigError {
        file: path.to_string(),
        location: format!("known.targets[{index}]"),
        problem: what,
        hint: "it is left out; correct or drop it".into(),
    });
    let endpoints = list::ServerList::deserialize(known).inspect_err(|error| {
        let what = format!("configuration is malformed: {error}");
        reader.report("known", what, "write rev, all and targets");
    });
    (endpoints.unwrap_or_default(), warnings.collect())
}

fn read_settings(reader: &mut JsonReader, file: &Value, has_counter: bool) -> ParsedSettings {
    let written = reader.field(file, "/settings", "write an object", |value| {
        value.is_object().then(|| value.clone())
    });
    let written = written.unwrap_or_default();
    let boot: BootInfo = reader.deserialize_settings(written.clone());
    let sockets: SocketSettings = reader.deserialize_settings(written);
    let mut decisions = boot.settings();
    // Over HTTP each rejection can say when to retry, also where the simulator's clients are not told.
    decisions.max_retry_after_us = sockets.limits.max_retry_after_us;
    decisions.has_counter &= has_counter;
    if reader.is_without_errors() {
        for what in decisions.validation_errors() {
            reader.report("settings", what, "correct the settings");
        }
    }
    ParsedSettings { decisions, sockets }
}
