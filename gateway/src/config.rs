//! What a gateway is told at its start: the file that `NODE_CONFIG` names.

use crate::discovery::ServerList;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use turndeck::{BootInfo, Settings};

/// Everything that the program's parts need, checked.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub addresses: Addresses,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    pub memory_mb: usize,
    pub known: ServerList,
    pub settings: Settings,
    pub connect_timeout: Duration,
    /// A server closes a connection that has stood idle for this long.
    pub server_idle: Duration,
    /// A call to the counter without an answer is given up after this.
    pub counter_timeout: Duration,
}

/// What a new configuration may change while the program runs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
}

/// Why there is no configuration; one line for whoever started the program.
#[derive(Debug)]
pub enum ConfigError {
    NotNamed,
    Unreadable(String, std::io::Error),
    Malformed(serde_json::Error),
    Seed(String),
    Settings(String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::NotNamed => write!(f, "NODE_CONFIG is not set; it names the configuration file"),
            ConfigError::Unreadable(path, e) => write!(f, "configuration {path} cannot be read: {e}"),
            ConfigError::Malformed(e) => write!(f, "configuration is malformed: {e}"),
            ConfigError::Seed(text) => write!(f, "configuration: seed {text:?} is not 16 hex digits"),
            ConfigError::Settings(text) => write!(f, "configuration: {text}"),
        }
    }
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    counter: Option<SocketAddr>,
    #[serde(default)]
    known: ServerList,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
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
        SocketLimits { connect_timeout_us: 250_000, keepalive_us: 15_000_000, max_retry_after_us: 0 }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    count_wait_us: u64,
}

impl Default for FamilyInfo {
    fn default() -> Self {
        FamilyInfo { count_wait_us: 50_000 }
    }
}

impl Config {
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| ConfigError::NotNamed)?;
        let text = std::fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path, e))?;
        Config::parse(&text)
    }

    fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let boot = BootInfo::deserialize(&file.settings).map_err(ConfigError::Malformed)?;
        let sockets = SocketSettings::deserialize(&file.settings).map_err(ConfigError::Malformed)?;
        let mut settings = boot.settings();
        // Over HTTP every refusal can say when to come back, also where the simulator's clients are told nothing.
        settings.max_retry_after_us = sockets.limits.max_retry_after_us;
        settings.counter &= file.counter.is_some();
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed))?;
        if file.limits.sockets < 64 || file.limits.memory_mb < 16 {
            return Err(ConfigError::Settings("limits must be 64 sockets and 16 MB at least".into()));
        }
        Ok(Config {
            name: file.name,
            listen: file.listen,
            addresses: Addresses { discovery: file.discovery, counter: file.counter },
            seed,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            known: file.known,
            settings,
            connect_timeout: Duration::from_micros(sockets.limits.connect_timeout_us),
            server_idle: Duration::from_micros(sockets.limits.keepalive_us),
            counter_timeout: Duration::from_micros(sockets.family_info.count_wait_us),
        })
    }
}
