//! A gateway with Diameter between client and server test doubles.
#![allow(dead_code)]

use frosthatch_diameter::codec::Avp;
use frosthatch_diameter::dictionary::{code, result};
use frosthatch_test_doubles::diameter::*;
use frosthatch_test_doubles::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

pub struct Site {
    pub gateway: Gateway,
    pub address: SocketAddr,
    pub discovery: Discovery,
    pub file: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

pub fn diameter_entry(uid: &str, server: &DiameterServer, cell: u64, state: &str) -> String {
    let plain = endpoint_entry(uid, server.address, cell, state);
    format!("{},\"proto\":\"diameter\"}}", plain.trim_end_matches('}'))
}

/// Returns the entries of two servers, the first in cell 0 and the second in `cell`.
pub fn pair_entries(a: &DiameterServer, b: &DiameterServer, cell: u64) -> String {
    [
        diameter_entry("a", a, 0, "Ready"),
        diameter_entry("b", b, cell, "Ready"),
    ]
    .join(",")
}

/// Returns Diameter's port on a loopback address of this test's own: a port that was free a moment ago could be
/// taken by another test.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let last = NEXT.fetch_add(1, Ordering::SeqCst);
    (
        [127, 64 + (process >> 8) as u8 % 64, process as u8, last],
        3868,
    )
        .into()
}

/// Starts a gateway with the servers of `list`; `more` continues the table `[diameter]`.
pub fn start_site(list: &str, more: &str) -> Site {
    start_site_with_config(list, more, str::to_string)
}

/// Starts a gateway like [`start_site`], with a boot configuration that `change` may change.
pub fn start_site_with_config(list: &str, more: &str, change: impl Fn(&str) -> String) -> Site {
    start_site_with_log(list, more, change, |line| println!("gateway: {line}"))
}

/// Starts a gateway like [`start_site`], and returns the receiver of all that it logs, events included.
pub fn start_site_with_events(list: &str, more: &str) -> (Site, Receiver<String>) {
    let (sender, lines) = channel();
    let site = start_site_with_log(list, more, str::to_string, move |line| {
        println!("gateway: {line}");
        let _ = sender.send(line.into());
    });
    (site, lines)
}

fn start_site_with_log(
    list: &str,
    more: &str,
    change: impl Fn(&str) -> String,
    log: impl Fn(&str) + Send + 'static,
) -> Site {
    let discovery = Discovery::new(list);
    let address = own_address();
    let file = write_config_file(&format!(
        "[diameter]\nlisten = \"{address}\"\nidentity = \"gw.example.org\"\nrealm = \"example.org\"\n\
         check_class = \"balance-check\"\ncharge_class = \"top-up\"\ntx_ms = 6000\ndefault_plan = \"lille\"\n{more}"
    ));
    let config = change(&config_text(discovery.address, None, 1, ""));
    let path = file.to_str().expect("the temporary path is UTF-8");
    let enable_events = |command: &mut std::process::Command| {
        command.env("FROSTHATCH_LOG", "debug");
    };
    let gateway = Gateway::start_prepared(&config, &["--operator", path], enable_events, log);
    gateway.wait_ready();
    Site {
        gateway,
        address,
        discovery,
        file,
    }
}

/// Sends requests until one is served: the gateway's connections to its servers come up shortly after its start.
pub fn until_served(client: &mut DiameterClient) {
    let since = Instant::now();
    while client.exchange(&event_request(2)).result_code() != Some(result::SUCCESS) {
        assert!(since.elapsed() < TIMEOUT, "a request is served");
        sleep(Duration::from_millis(20));
    }
}

/// Starts a server whose Credit-Control-Failure-Handling determines whether its sessions may move; while
/// `silent` is set it doesn't answer updates.
pub fn start_server_with_failover(
    host: &'static str,
    handling: u32,
    silent: Arc<AtomicBool>,
) -> DiameterServer {
    DiameterServer::new(host, move |ccr| {
        let update = ccr.u32_value(code::CC_REQUEST_TYPE) == Some(2);
        let answer = success_answer(ccr, host)
            .with_avp(Avp::of_u32(code::CC_SESSION_FAILOVER, 1))
            .with_avp(Avp::of_u32(code::CREDIT_CONTROL_FAILURE_HANDLING, handling));
        (!(update && silent.load(Ordering::SeqCst))).then_some(answer)
    })
}
