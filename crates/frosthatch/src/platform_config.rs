//! Reads the platform's configuration: the JSON file that `NODE_CONFIG` names.

mod json_reader;

use frosthatch_config_reader::ConfigError;
use frosthatch_discovery::list;
use frosthatch_traffic_control::{BootInfo, Settings};
use json_reader::JsonReader;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum number of descriptors with which a gateway can work.
const MIN_DESCRIPTORS: u64 = 64;
/// Minimum memory with which a gateway can work.
const MIN_MEMORY_MB: u64 = 16;
const ADDRESS_HINT: &str = "write an address and a port, as \"127.0.0.1:8080\"";

/// The platform's configuration, checked.
#[derive(Debug)]
pub struct PlatformConfig {
    /// This gateway's name.
    pub name: String,
    /// Address on which clients connect over HTTP.
    pub listen: SocketAddr,
    /// Address of the list agent.
    pub discovery: SocketAddr,
    /// Address of the shared counter; `None` without one.
    pub counter: Option<SocketAddr>,
    /// Address on which the admin API listens; `None` if the platform gives none.
    pub admin: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of descriptors of the process.
    pub max_descriptors: usize,
    /// Maximum memory of the process.
    pub memory_mb: usize,
    /// The endpoint list as last known to an earlier process.
    pub known_endpoints: list::ServerList,
    /// The settings of traffic control.
    pub settings: Settings,
    /// Time after which a connection attempt to a server fails.
    pub connect_timeout: Duration,
    /// Time after which a server closes an idle connection.
    pub server_idle_timeout: Duration,
    /// Time after which a call to the counter without an answer is abandoned.
    pub counter_timeout: Duration,
    /// Mistakes that do not prevent a start.
    pub warnings: Vec<ConfigError>,
}

/// The part of the settings that concerns sockets only.
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

/// The parsed fields: required ones and the addresses of optional services; `None` for a field that is missing or
/// malformed.
struct ParsedFields {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    counter: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    seed: Option<u64>,
    max_descriptors: Option<u64>,
    memory_mb: Option<u64>,
}

/// The settings, split into those of traffic control and those of sockets.
struct ParsedSettings {
    traffic_control: Settings,
    sockets: SocketSettings,
}

impl PlatformConfig {
    /// Reads the file that `NODE_CONFIG` names.
    ///
    /// # Errors
    /// Returns every mistake in the file.
    pub fn from_env() -> Result<Self, Vec<ConfigError>> {
        let error = |file: &str, what: String, hint: &str| {
            vec![ConfigError {
                file: file.to_string(),
                location: "the file".into(),
                problem: what,
                hint: hint.to_string(),
            }]
        };
        let path = std::env::var("NODE_CONFIG").map_err(|_| {
            let problem = "the environment variable is not set".into();
            error(
                "NODE_CONFIG",
                problem,
                "set it to the path of the configuration file",
            )
        })?;
        let text = std::fs::read_to_string(&path).map_err(|e| {
            let problem = format!("configuration cannot be read: {e}");
            error(&path, problem, "name a readable file")
        })?;
        PlatformConfig::parse(&path, &text)
    }

    fn parse(path: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        let mut reader = JsonReader::new(path);
        let file: Value = match serde_json::from_str(text) {
            Ok(file) => file,
            Err(error) => {
                let location = format!("line {}, column {}", error.line(), error.column());
                let problem = format!("configuration is malformed: {error}");
                reader.report(&location, problem, "write one JSON object");
                return Err(reader.into_errors());
            }
        };
        let fields = ParsedFields::read(&mut reader, &file);
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

impl ParsedFields {
    fn read(reader: &mut JsonReader, file: &Value) -> ParsedFields {
        let text = |value: &Value| value.as_str().map(String::from);
        let hex = |value: &Value| {
            value
                .as_str()
                .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        };
        let at_least = |min: u64| move |value: &Value| value.as_u64().filter(|&n| n >= min);
        ParsedFields {
            name: reader.field(file, "/name", "write a text", text),
            listen: reader.field(file, "/listen", ADDRESS_HINT, address),
            discovery: reader.field(file, "/discovery", ADDRESS_HINT, address),
            counter: match file.get("counter") {
                None | Some(Value::Null) => None,
                Some(_) => reader.field(file, "/counter", ADDRESS_HINT, address),
            },
            admin: read_admin_address(reader, file),
            seed: reader.field(file, "/seed", "write 16 hex digits", hex),
            max_descriptors: reader.field(
                file,
                "/limits/sockets",
                "write a number from 64 on",
                at_least(MIN_DESCRIPTORS),
            ),
            memory_mb: reader.field(
                file,
                "/limits/memory_mb",
                "write a number of MB from 16 on",
                at_least(MIN_MEMORY_MB),
            ),
        }
    }

    /// Converts the fields into the configuration; returns `None` if a required field is missing.
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
            max_descriptors: self.max_descriptors? as usize,
            memory_mb: self.memory_mb? as usize,
            known_endpoints,
            connect_timeout: Duration::from_micros(limits.connect_timeout_us),
            server_idle_timeout: Duration::from_micros(limits.keepalive_us),
            counter_timeout: Duration::from_micros(settings.sockets.family_info.count_wait_us),
            settings: settings.traffic_control,
            warnings: Vec::new(),
        })
    }
}

fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Reads the address of the admin API: `console` in the file, else the environment variable `NODE_CONSOLE`.
fn read_admin_address(reader: &mut JsonReader, file: &Value) -> Option<SocketAddr> {
    let from_env = std::env::var("NODE_CONSOLE").ok().map(Value::from);
    let value = file.get("console").or(from_env.as_ref())?;
    if value.is_null() {
        return None;
    }
    let parsed = address(value);
    if parsed.is_none() {
        reader.report_malformed("console", value, ADDRESS_HINT);
    }
    parsed
}

/// Reads the endpoint list that an earlier process knew; also returns a warning for each entry that cannot be read.
fn read_known_endpoints(
    reader: &mut JsonReader,
    file: &Value,
    path: &str,
) -> (list::ServerList, Vec<ConfigError>) {
    let Some(known) = file.get("known") else {
        return (list::ServerList::default(), Vec::new());
    };
    let invalid_entries = list::invalid_entries(known).into_iter();
    let warnings = invalid_entries.map(|(index, what)| ConfigError {
        file: path.to_string(),
        location: format!("known.targets[{index}]"),
        problem: what,
        hint: "the entry is ignored; correct or remove it".into(),
    });
    let endpoints = list::ServerList::deserialize(known).inspect_err(|error| {
        let problem = format!("configuration is malformed: {error}");
        reader.report("known", problem, "write rev, all and targets");
    });
    (endpoints.unwrap_or_default(), warnings.collect())
}

/// Reads the settings and reports every mistake in them.
fn read_settings(reader: &mut JsonReader, file: &Value, has_counter: bool) -> ParsedSettings {
    let written = reader.field(file, "/settings", "write an object", |value| {
        value.is_object().then(|| value.clone())
    });
    let written = written.unwrap_or_default();
    let boot: BootInfo = reader.deserialize_settings(written.clone());
    let sockets: SocketSettings = reader.deserialize_settings(written);
    let mut traffic_control = boot.settings();
    // Over HTTP each rejection can carry Retry-After: `retryAfter` in the settings, which sets this limit to 0 if
    // it is off, applies to the simulator's clients only.
    traffic_control.max_retry_after_us = sockets.limits.max_retry_after_us;
    traffic_control.has_counter &= has_counter;
    if reader.has_no_errors() {
        for problem in traffic_control.validation_errors() {
            reader.report("settings", problem, "correct the settings");
        }
    }
    ParsedSettings {
        traffic_control,
        sockets,
    }
}
