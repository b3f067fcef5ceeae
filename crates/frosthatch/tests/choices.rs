//! Ten gateway processes that divide twenty servers among themselves from each other's reports, with faults
//! between them.

use frosthatch_lab::site::Node;
use frosthatch_lab::testbed::{fleet_file, processes, Process, Relay, Testbed, TimelineAction};
use frosthatch_test_doubles::{
    endpoint_entry, ok, status, write_config_file, ClientRequest, Discovery, Server,
};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// Longer than any wait of these tests takes on two busy cores.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const GATEWAYS: usize = 10;
const SERVERS: usize = 20;
/// Index of the process whose endpoint list holds addresses where nothing listens.
const MISCONFIGURED: usize = 9;

struct Fleet {
    testbed: Testbed,
    key: PathBuf,
    failing: Arc<AtomicBool>,
    /// Requests received by server 0, the one that can be made to fail.
    failing_server_requests: Arc<AtomicUsize>,
    next_customer: AtomicUsize,
    _discoveries: [Discovery; 2],
    _servers: Vec<Server>,
    _runtime: Runtime,
}

impl Fleet {
    fn new() -> Fleet {
        let runtime = Runtime::new().expect("the Tokio runtime starts");
        let (failing, failing_server_requests) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let server = |n: usize| {
            let (failing, failing_server_requests) =
                (failing.clone(), failing_server_requests.clone());
            Server::new(move |_| {
                if n > 0 {
                    return ok("done");
                }
                failing_server_requests.fetch_add(1, Ordering::SeqCst);
                if failing.load(Ordering::SeqCst) {
                    status("500 Internal Server Error")
                } else {
                    ok("done")
                }
            })
        };
        let servers: Vec<Server> = (0..SERVERS).map(server).collect();
        let unused_address = std::net::TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a free loopback port can be bound");
        let list = |address_of: &dyn Fn(usize) -> std::net::SocketAddr| {
            let entry = |n| endpoint_entry(&format!("s{n}"), address_of(n), n as u64, "Ready");
            Discovery::new(&(0..SERVERS).map(entry).collect::<Vec<_>>().join(","))
        };
        let discoveries = [list(&|n| servers[n].address), list(&|_| unused_address)];
        let relay = Relay::new(runtime.handle(), GATEWAYS, 5);
        let key = write_config_file(&format!("1 {}\n", "k".repeat(40)));
        let process = |n: usize| {
            let discovery = discoveries[usize::from(n == MISCONFIGURED)].address;
            let node = Node {
                gateways: GATEWAYS,
                me: n,
                discovery,
                counter: None,
                sockets: 256,
                memory_mb: 32,
            };
            Process::new(node, Some(fleet_file(&relay, n, &key, "")))
        };
        let testbed = Testbed::new((0..GATEWAYS).map(process).collect(), relay);
        let mut fleet = Fleet {
            testbed,
            key,
            failing,
            failing_server_requests,
            next_customer: AtomicUsize::new(1),
            _discoveries: discoveries,
            _servers: servers,
            _runtime: runtime,
        };
        fleet.testbed.start_all();
        fleet.testbed.wait_until_all_found();
        fleet
    }

    /// Returns what a process reports: gateways counted, servers used and servers left out. None while its
    /// console doesn't answer.
    fn reported_choices(&self, member: usize) -> Option<[u64; 3]> {
        let (_, body) = processes::call_console(
            self.testbed.processes[member].console()?,
            "GET",
            "/fleet",
            "",
        )?;
        let json: serde_json::Value = serde_json::from_str(&body).ok()?;
        let figure = |name: &str| json["choices"][name].as_u64();
        Some([
            figure("gateways")?,
            figure("servers_used")?,
            figure("servers_out")?,
        ])
    }

    /// Sends requests to each of the `members` until the condition holds.
    fn request_until(&self, condition: &str, members: &[usize], holds: impl Fn(&Fleet) -> bool) {
        let since = Instant::now();
        while !holds(self) {
            let reported_choices = || {
                (0..GATEWAYS)
                    .map(|n| self.reported_choices(n))
                    .collect::<Vec<_>>()
            };
            assert!(
                since.elapsed() < WAIT_TIMEOUT,
                "{condition}: {:?}",
                reported_choices()
            );
            self.request_each(members, 5);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends `times` requests to each of the `members` and returns how many were served.
    fn request_each(&self, members: &[usize], times: usize) -> usize {
        let mut served = 0;
        for n in members {
            let mut client = self.testbed.processes[*n].client();
            for _ in 0..times {
                // Each request is from another customer, so that no quota limits it.
                let customer =
                    format!("{:016x}", self.next_customer.fetch_add(1, Ordering::SeqCst));
                let request = ClientRequest::check()
                    .with_header("X-Tier", "mellem")
                    .with_header("X-Api-Key", &customer);
                served += usize::from(
                    client
                        .exchange(&request.to_text())
                        .is_some_and(|m| m.status() == 200),
                );
            }
        }
        served
    }

    fn wait_until_all_report(&self, members: &[usize], gateways: u64, servers_used: u64) {
        let condition = format!("{members:?} count {gateways} gateways");
        self.request_until(&condition, members, |f| {
            members.iter().all(|n| {
                f.reported_choices(*n)
                    .is_some_and(|[g, u, _]| g == gateways && u == servers_used)
            })
        });
    }

    fn wait_until_all_leave_out(&self, members: &[usize], servers_left_out: u64) {
        let condition = format!("{servers_left_out} servers left out");
        self.request_until(&condition, members, |f| {
            members.iter().all(|n| {
                f.reported_choices(*n)
                    .is_some_and(|s| s[2] == servers_left_out)
            })
        });
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.key);
    }
}

#[test]
fn servers_are_divided_among_the_running_gateways_and_all_leave_out_a_failing_one() {
    let mut fleet = Fleet::new();
    let correctly_configured: Vec<usize> = (0..MISCONFIGURED).collect();
    // With ten gateways each uses seven servers; when two are killed the remaining eight use all.
    fleet.wait_until_all_report(&(0..GATEWAYS).collect::<Vec<_>>(), 10, 7);
    assert_eq!(fleet.request_each(&correctly_configured, 20), 180);

    // The gateway with the wrong list reports failures of all the servers it uses: no other gateway leaves out a
    // server for that, and no request is refused.
    for _ in 0..5 {
        fleet.request_each(&[MISCONFIGURED], 10);
        assert_eq!(fleet.request_each(&correctly_configured, 2), 18);
        assert!(correctly_configured
            .iter()
            .all(|n| fleet.reported_choices(*n).is_some_and(|s| s[2] == 0)));
    }

    // One server fails every request: all gateways with a correct list leave it out, also those that never used
    // it, after few attempts.
    let before = fleet.failing_server_requests.load(Ordering::SeqCst);
    fleet.failing.store(true, Ordering::SeqCst);
    fleet.wait_until_all_leave_out(&correctly_configured, 1);
    let since = Instant::now();
    let until_detected = fleet.failing_server_requests.load(Ordering::SeqCst) - before;
    while since.elapsed() < Duration::from_secs(3) {
        assert_eq!(fleet.request_each(&correctly_configured, 5), 45);
    }
    let after_detection =
        fleet.failing_server_requests.load(Ordering::SeqCst) - before - until_detected;
    // The gateways take turns of 4 s to send one trial request to a server that is left out: at most 2 in these
    // 3 s, and up to 4 requests were under way when the failure was reported.
    assert!(
        after_detection <= 2 + 4,
        "{after_detection} requests after {until_detected} until detection, at most 6 are allowed"
    );
    // A process that was stopped during its turns to try the failing server sends it no trial request when it
    // continues; a process that is cut off counts only itself, uses all servers, and serves.
    fleet.testbed.apply(&TimelineAction::Stop { who: vec![1] });
    fleet.testbed.apply(&TimelineAction::Cut {
        from: vec![2],
        to: (0..GATEWAYS).filter(|n| *n != 2).collect(),
    });
    fleet.testbed.apply(&TimelineAction::Cut {
        from: (0..GATEWAYS).filter(|n| *n != 2).collect(),
        to: vec![2],
    });
    fleet.wait_until_all_report(&[2], 1, SERVERS as u64);
    assert_eq!(fleet.request_each(&[2], 40), 40);
    fleet
        .testbed
        .apply(&TimelineAction::Continue { who: vec![1] });
    fleet.testbed.apply(&TimelineAction::Heal);
    fleet.failing.store(false, Ordering::SeqCst);
    fleet.wait_until_all_leave_out(&correctly_configured, 0);
    fleet.wait_until_all_report(&(0..GATEWAYS).collect::<Vec<_>>(), 10, 7);
    assert_eq!(fleet.request_each(&correctly_configured, 20), 180);

    // Two are killed: the others detect it and use all servers between them; when they return, servers are
    // divided as before.
    fleet
        .testbed
        .apply(&TimelineAction::Kill { who: vec![3, 4] });
    let remaining: Vec<usize> = (0..GATEWAYS).filter(|n| ![3, 4].contains(n)).collect();
    fleet.wait_until_all_report(&remaining, 8, SERVERS as u64);
    fleet.testbed.start(3);
    fleet.testbed.start(4);
    fleet.wait_until_all_report(&(0..GATEWAYS).collect::<Vec<_>>(), 10, 7);
    assert_eq!(fleet.request_each(&correctly_configured, 20), 180);
}
