//! Ten real processes that choose among twenty servers by each other's word, and faults between them.

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

/// Longer than anything here takes on two busy cores.
const LONG: Duration = Duration::from_secs(40);
const ALL: usize = 10;
const SERVERS: usize = 20;
/// Its list tells addresses where nobody is.
const BLIND: usize = 9;

struct Fleet {
    testbed: Testbed,
    key: PathBuf,
    failing: Arc<AtomicBool>,
    /// Requests that the server that fails at times got.
    tried: Arc<AtomicUsize>,
    asked: AtomicUsize,
    _agents: [Discovery; 2],
    _servers: Vec<Server>,
    _runtime: Runtime,
}

impl Fleet {
    fn new() -> Fleet {
        let runtime = Runtime::new().expect("a runtime");
        let (failing, tried) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let server = |n: usize| {
            let (failing, tried) = (failing.clone(), tried.clone());
            Server::new(move |_| {
                if n > 0 {
                    return ok("done");
                }
                tried.fetch_add(1, Ordering::SeqCst);
                if failing.load(Ordering::SeqCst) {
                    status("500 Internal Server Error")
                } else {
                    ok("done")
                }
            })
        };
        let servers: Vec<Server> = (0..SERVERS).map(server).collect();
        let nobody = std::net::TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a port");
        let list = |at: &dyn Fn(usize) -> std::net::SocketAddr| {
            let one = |n| endpoint_entry(&format!("s{n}"), at(n), n as u64, "Ready");
            Discovery::new(&(0..SERVERS).map(one).collect::<Vec<_>>().join(","))
        };
        let agents = [list(&|n| servers[n].address), list(&|_| nobody)];
        let relay = Relay::new(runtime.handle(), ALL, 5);
        let key = write_config_file(&format!("1 {}\n", "k".repeat(40)));
        let process = |n: usize| {
            let discovery = agents[usize::from(n == BLIND)].address;
            let node = Node {
                gateways: ALL,
                me: n,
                discovery,
                counter: None,
                sockets: 256,
                memory_mb: 32,
            };
            Process::new(node, Some(fleet_file(&relay, n, &key, "")))
        };
        let testbed = Testbed::new((0..ALL).map(process).collect(), relay);
        let mut fleet = Fleet {
            testbed,
            key,
            failing,
            tried,
            asked: AtomicUsize::new(1),
            _agents: agents,
            _servers: servers,
            _runtime: runtime,
        };
        fleet.testbed.start_all();
        fleet.testbed.wait_until_all_found();
        fleet
    }

    /// What a process says: gateways, servers used, servers left alone.
    fn says(&self, by: usize) -> Option<[u64; 3]> {
        let (_, body) =
            processes::call_console(self.testbed.processes[by].console()?, "GET", "/fleet", "")?;
        let json: serde_json::Value = serde_json::from_str(&body).ok()?;
        let figure = |name: &str| json["choices"][name].as_u64();
        Some([
            figure("gateways")?,
            figure("servers_used")?,
            figure("servers_out")?,
        ])
    }

    /// Each of these is asked so often until it holds.
    fn until(&self, what: &str, who: &[usize], holds: impl Fn(&Fleet) -> bool) {
        let since = Instant::now();
        while !holds(self) {
            let says = || (0..ALL).map(|n| self.says(n)).collect::<Vec<_>>();
            assert!(since.elapsed() < LONG, "{what}: {:?}", says());
            self.ask(who, 5);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// How many were served.
    fn ask(&self, who: &[usize], times: usize) -> usize {
        let mut served = 0;
        for n in who {
            let mut client = self.testbed.processes[*n].client();
            for _ in 0..times {
                // Each of a customer of its own, so that no quota is in the way.
                let customer = format!("{:016x}", self.asked.fetch_add(1, Ordering::SeqCst));
                let ask = ClientRequest::check()
                    .with_header("X-Tier", "mellem")
                    .with_header("X-Api-Key", &customer);
                served += usize::from(
                    client
                        .exchange(&ask.to_text())
                        .is_some_and(|m| m.status() == 200),
                );
            }
        }
        served
    }

    fn all_say(&self, who: &[usize], gateways: u64, used: u64) {
        let what = format!("{who:?} go by {gateways}");
        self.until(&what, who, |f| {
            who.iter().all(|n| {
                f.says(*n)
                    .is_some_and(|[g, u, _]| g == gateways && u == used)
            })
        });
    }

    fn all_leave_alone(&self, who: &[usize], out: u64) {
        let what = format!("{out} left alone");
        self.until(&what, who, |f| {
            who.iter().all(|n| f.says(*n).is_some_and(|s| s[2] == out))
        });
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.key);
    }
}

#[test]
fn servers_are_dealt_out_among_those_that_are_there_and_bad_ones_left_alone_by_all() {
    let mut fleet = Fleet::new();
    let seeing: Vec<usize> = (0..BLIND).collect();
    // Ten use seven each; when two are killed the eight that are left use all.
    fleet.all_say(&(0..ALL).collect::<Vec<_>>(), 10, 7);
    assert_eq!(fleet.ask(&seeing, 20), 180);

    // The one whose list is wrong accuses all it uses, again and again: nobody leaves any alone for it, nobody is refused.
    for _ in 0..5 {
        fleet.ask(&[BLIND], 10);
        assert_eq!(fleet.ask(&seeing, 2), 18);
        assert!(seeing
            .iter()
            .all(|n| fleet.says(*n).is_some_and(|s| s[2] == 0)));
    }

    // One fails everything: left alone by all that see, also by those that never met it, after few tries.
    let before = fleet.tried.load(Ordering::SeqCst);
    fleet.failing.store(true, Ordering::SeqCst);
    fleet.all_leave_alone(&seeing, 1);
    let since = Instant::now();
    let found_out = fleet.tried.load(Ordering::SeqCst) - before;
    while since.elapsed() < Duration::from_secs(3) {
        assert_eq!(fleet.ask(&seeing, 5), 45);
    }
    let more = fleet.tried.load(Ordering::SeqCst) - before - found_out;
    // A turn takes 4 s; what was under way when it was found out comes beside.
    assert!(more <= 2 + 4, "{more} after {found_out}");
    // Who is stopped through its turns and goes on finds them over; who is cut off goes by itself, uses all servers, and serves.
    fleet.testbed.apply(&TimelineAction::Stop { who: vec![1] });
    fleet.testbed.apply(&TimelineAction::Cut {
        from: vec![2],
        to: (0..ALL).filter(|n| *n != 2).collect(),
    });
    fleet.testbed.apply(&TimelineAction::Cut {
        from: (0..ALL).filter(|n| *n != 2).collect(),
        to: vec![2],
    });
    fleet.all_say(&[2], 1, SERVERS as u64);
    assert_eq!(fleet.ask(&[2], 40), 40);
    fleet
        .testbed
        .apply(&TimelineAction::Continue { who: vec![1] });
    fleet.testbed.apply(&TimelineAction::Heal);
    fleet.failing.store(false, Ordering::SeqCst);
    fleet.all_leave_alone(&seeing, 0);
    fleet.all_say(&(0..ALL).collect::<Vec<_>>(), 10, 7);
    assert_eq!(fleet.ask(&seeing, 20), 180);

    // Two killed: the others know it and use all between them; they come back, and all is dealt as before.
    fleet
        .testbed
        .apply(&TimelineAction::Kill { who: vec![3, 4] });
    let left: Vec<usize> = (0..ALL).filter(|n| ![3, 4].contains(n)).collect();
    fleet.all_say(&left, 8, SERVERS as u64);
    fleet.testbed.start(3);
    fleet.testbed.start(4);
    fleet.all_say(&(0..ALL).collect::<Vec<_>>(), 10, 7);
    assert_eq!(fleet.ask(&seeing, 20), 180);
}
