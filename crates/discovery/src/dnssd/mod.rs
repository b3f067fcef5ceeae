//! Servers found through unicast DNS-SD (RFC 6763): PTR names the instances of a service, SRV and TXT describe each,
//! A and AAAA give its address. [`browser`] decides what is asked, what an answer changes and what is believed, without
//! I/O; [`push`] is the state of a session of DNS Push Notifications (RFC 8765); [`driver`] holds the sockets.
//!
//! `docs/dns-sd.md` has the ways that were weighed, `docs/operators/dns-sd.md` the rules as an operator sees them.

pub mod browser;
mod driver;
pub mod meaning;
pub mod push;
pub mod wire;

pub(crate) use driver::follow;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Names that the service may be browsed by, at most: one answer holds some 2,500 instances.
pub const MOST_SERVICES: usize = 8;
/// Resolvers, and push servers, at most.
pub const MOST_RESOLVERS: usize = 4;
/// Queries out at once at most; each has a socket of its own.
const MOST_OUT: usize = 16;

/// How servers are found; the operator's file gives the values.
#[derive(Clone, Debug, PartialEq)]
pub struct DnsSdConfig {
    /// Names that PTR is asked of: the service itself or subtypes of it (RFC 6763 section 7.1).
    pub services: Vec<wire::Name>,
    /// Service and domain that every instance stands under.
    pub base: wire::Name,
    pub resolvers: Vec<SocketAddr>,
    /// The service is asked again after its records' TTL, but never sooner than this...
    pub poll_least: Duration,
    /// ...nor later than this.
    pub poll_most: Duration,
    /// A query without an answer is given up after this.
    pub timeout: Duration,
    /// Queries a second for what additional records leave open, at most.
    pub queries_per_s: u32,
    /// An empty answer, or one that another resolver's instances are missing from, is heard twice so far apart.
    pub confirm: Duration,
    /// A greater part of the instances does not go at once...
    pub loss_share: f64,
    /// ...but after this.
    pub loss_hold: Duration,
    /// What an instance has out when its record goes may finish for so long.
    pub linger: Duration,
    /// Answers without the AA bit, from a cache, may remove instances too.
    pub cached_answers: bool,
    pub most_instances: u32,
    pub push: Option<PushConfig>,
}

impl Default for DnsSdConfig {
    fn default() -> Self {
        DnsSdConfig {
            services: Vec::new(),
            base: "".into(),
            resolvers: Vec::new(),
            poll_least: Duration::from_millis(100),
            poll_most: Duration::from_millis(200),
            timeout: Duration::from_millis(150),
            queries_per_s: 200,
            confirm: Duration::from_secs(1),
            loss_share: 0.5,
            loss_hold: Duration::from_secs(10),
            linger: Duration::from_secs(10),
            cached_answers: false,
            most_instances: 10_000,
            push: None,
        }
    }
}

impl DnsSdConfig {
    /// # Errors
    /// What is wrong with the names.
    pub fn set_services(&mut self, names: &[&str]) -> Result<(), String> {
        for text in names {
            let name = wire::name(text).map_err(|e| format!("{text:?} is no domain name: {e}"))?;
            let base: wire::Name = match name.split_once("._sub.") {
                Some((_, base)) => base.into(),
                None => name.clone(),
            };
            let typed =
                base.starts_with('_') && (base.contains("._tcp.") || base.contains("._udp."));
            if !typed {
                return Err(format!(
                    "{text:?} is no service and domain (RFC 6763 section 4.1)"
                ));
            }
            if !self.base.is_empty() && self.base != base {
                return Err(format!(
                    "{text:?} is of another service or domain than {}",
                    self.base
                ));
            }
            self.base = base;
            self.services.push(name);
        }
        Ok(())
    }

    /// Descriptors that following the records may take.
    pub fn sockets(&self) -> usize {
        MOST_OUT + 2
    }
}

/// Changes told as they happen, by DNS Push Notifications.
#[derive(Clone, Debug, PartialEq)]
pub struct PushConfig {
    pub servers: Vec<SocketAddr>,
    /// While push works the service is asked this often all the same, to see that it does.
    pub check: Duration,
    /// How often the session is tried.
    pub keepalive: Duration,
    /// The file of the authority's certificate, and the server's name. Without, plain TCP: on loopback only.
    pub tls: Option<(PathBuf, String)>,
}

impl Default for PushConfig {
    fn default() -> Self {
        PushConfig {
            servers: Vec::new(),
            check: Duration::from_secs(2),
            keepalive: Duration::from_secs(10),
            tls: None,
        }
    }
}

/// Reads the certificates that a push server's must descend from.
/// # Errors
/// Why they cannot be used.
pub fn read_anchor(file: &Path) -> Result<rustls::RootCertStore, String> {
    use rustls::pki_types::{pem::PemObject, CertificateDer};
    let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let mut roots = rustls::RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(file).map_err(|e| wrong(&e))? {
        roots
            .add(certificate.map_err(|e| wrong(&e))?)
            .map_err(|e| wrong(&e))?;
    }
    match roots.is_empty() {
        true => Err(wrong(&"no certificate in it")),
        false => Ok(roots),
    }
}
