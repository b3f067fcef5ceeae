//! A new process takes over from a running one; both are the real binary.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A folder of the test's own with an operator's file that names the socket in it.
struct Place {
    folder: PathBuf,
}

impl Place {
    fn new(name: &str) -> Place {
        let folder =
            std::env::temp_dir().join(format!("frosthatch-upgrade-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the directory can be created");
        std::fs::write(folder.join("operator.toml"), "[upgrade]\nsocket = \"s\"\n")
            .expect("the file can be written");
        Place { folder }
    }

    fn socket(&self) -> PathBuf {
        self.folder.join("s")
    }

    /// Another process of the gateway, and the lines of its log.
    fn process(&self, discovery: &Discovery, listen: SocketAddr) -> (Gateway, Log) {
        let text = config_text(discovery.address, None, 1, "");
        let text = text.replacen('{', "{\"console\":\"127.0.0.1:0\",", 1);
        let text = text.replace(
            "\"listen\":\"127.0.0.1:0\"",
            &format!("\"listen\":\"{listen}\""),
        );
        let file = self.folder.join("operator.toml");
        let words = [
            "--operator",
            file.to_str().expect("the temporary path is UTF-8"),
        ];
        let (tell, lines) = channel();
        let gateway = Gateway::start_with_log(&text, &words, move |line| {
            println!("gateway: {line}");
            let _ = tell.send(line.to_string());
        });
        let mut log = Log {
            lines,
            console: listen,
        };
        let console = log.until("console on ");
        log.console = console["console on ".len()..]
            .parse()
            .expect("the text is a socket address");
        (gateway, log)
    }

    fn first(&self, discovery: &Discovery) -> (Gateway, Log) {
        let (gateway, log) = self.process(
            discovery,
            "127.0.0.1:0".parse().expect("the text is a socket address"),
        );
        log.wait_ready();
        until("the socket is there", || {
            UnixStream::connect(self.socket()).is_ok()
        });
        (gateway, log)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

struct Log {
    lines: Receiver<String>,
    console: SocketAddr,
}

impl Log {
    fn until(&self, what: &str) -> String {
        loop {
            let line = self
                .lines
                .recv_timeout(TIMEOUT)
                .unwrap_or_else(|_| panic!("{what:?} is logged"));
            if line.contains(what) {
                return line;
            }
        }
    }

    fn call(&self, line: &str) -> u16 {
        let mut stream = TcpStream::connect(self.console).expect("the console accepts");
        write!(stream, "{line} HTTP/1.1\r\nHost: c\r\n\r\n").expect("the write succeeds");
        let mut text = String::new();
        stream
            .read_to_string(&mut text)
            .expect("the gateway answers the request");
        text.split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("the answer has a numeric status")
    }

    fn wait_ready(&self) {
        until("it is ready", || self.call("GET /ready") == 200);
    }
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn stage(name: &str) -> (Server, Discovery, Place) {
    let server = Server::new(|m| {
        if m.line.contains("slow") {
            thread::sleep(Duration::from_millis(600));
        }
        ok("served")
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    (server, discovery, Place::new(name))
}

/// Clients on new and on kept connections, without a pause: how many were served; anything else is a failure.
struct Load {
    over: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn new(at: SocketAddr) -> Load {
        let (over, served) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let client = |keeps: bool| {
            let (over, served) = (over.clone(), served.clone());
            thread::spawn(move || {
                let mut kept: Option<TcpStream> = None;
                while !over.load(Ordering::SeqCst) {
                    let used = kept.is_some();
                    let mut stream = kept.take().unwrap_or_else(|| {
                        TcpStream::connect(at).expect("the gateway accepts every connection")
                    });
                    stream
                        .set_read_timeout(Some(TIMEOUT))
                        .expect("the read timeout is not zero");
                    stream
                        .write_all(ClientRequest::check().to_text().as_bytes())
                        .expect("a new connection is not reset");
                    let mut read = std::io::BufReader::new(
                        stream
                            .try_clone()
                            .expect("the descriptor can be duplicated"),
                    );
                    match read_message(&mut read) {
                        Some(answer) => {
                            // Clients at full speed go beyond the quota.
                            assert!(matches!(answer.status(), 200 | 429), "{answer:?}");
                            served.fetch_add(1, Ordering::SeqCst);
                            kept = Some(stream)
                                .filter(|_| keeps && answer.header("connection").is_none());
                        }
                        // A kept one may be closed between two requests, a new one never.
                        None => assert!(used, "a new connection is closed unheard"),
                    }
                }
            })
        };
        let clients = [false, false, true, true].map(client).into();
        Load {
            over,
            served,
            clients,
        }
    }

    fn more(&self) {
        let before = self.served.load(Ordering::SeqCst);
        until("more are served", || {
            self.served.load(Ordering::SeqCst) > before + 50
        });
    }

    fn end(self) {
        self.over.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .for_each(|c| c.join().expect("the client thread does not panic"));
    }
}

/// Guards against connections refused or reset while processes are replaced, five times in a row.
#[test]
fn five_upgrades_under_load_turn_nobody_back() {
    let (_server, discovery, place) = stage("five");
    let (mut old, _log) = place.first(&discovery);
    let (at, load) = (old.address, Load::new(old.address));
    load.more();
    for _ in 0..5 {
        let (new, log) = place.process(&discovery, at);
        log.wait_ready();
        load.more();
        old.terminate();
        assert!(old.wait_for_exit().success());
        load.more();
        log.until("the old process has ended");
        until("the next can call", || {
            UnixStream::connect(place.socket()).is_ok()
        });
        old = new;
    }
    load.end();
}

/// Guards against an answer lost with the old process, and against one that comes twice.
#[test]
fn what_the_old_process_holds_it_answers() {
    let (server, discovery, place) = stage("held");
    let (mut old, _log) = place.first(&discovery);
    let slow = ClientRequest {
        path: "/top-up?slow",
        ..ClientRequest::top_up()
    };
    let mut held = old.client();
    held.send(&slow.to_text());
    server.next_request();
    // Half of a request before the switch, and half after it.
    let text = ClientRequest::check().to_text();
    let mut halved = old.client();
    halved.send(&text[..text.len() / 2]);
    let (_new, log) = place.process(&discovery, old.address);
    log.wait_ready();
    old.terminate();
    halved.send(&text[text.len() / 2..]);
    assert_eq!(
        halved
            .read_response()
            .expect("the gateway answers the request")
            .status(),
        200
    );
    assert_eq!(
        held.read_response()
            .expect("the gateway answers the request")
            .status(),
        200
    );
    assert!(
        held.read_response().is_none(),
        "one answer, and the end of the connection"
    );
    assert!(old.wait_for_exit().success());
    let top_ups = server
        .drain_events()
        .iter()
        .filter(|s| matches!(s, ServerEvent::Request(m) if m.line.contains("top-up")))
        .count();
    assert_eq!(top_ups, 0, "the one was seen before");
}

/// Guards against a server that an operator took out being used by the new process, or by the old one.
#[test]
fn marks_on_servers_hold_in_both_processes() {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let both = [
        endpoint_entry("a", a.address, 0, "Ready"),
        endpoint_entry("b", b.address, 0, "Ready"),
    ]
    .join(",");
    let discovery = Discovery::new(&both);
    let place = Place::new("marks");
    let (mut old, log) = place.first(&discovery);
    // Kept: it stays with the old process.
    let mut kept = old.client();
    assert_eq!(
        kept.exchange(&ClientRequest::check().to_text())
            .expect("the gateway answers the request")
            .status(),
        200
    );
    assert_eq!(log.call("POST /servers/disable?id=a"), 200);
    let (new, new_log) = place.process(&discovery, old.address);
    new_log.wait_ready();
    for _ in 0..20 {
        assert_eq!(
            new.client_at(old.address)
                .exchange(&ClientRequest::check().to_text())
                .expect("the gateway answers the request")
                .body,
            "b"
        );
    }
    // What is marked at the new one counts at the old one.
    assert_eq!(new_log.call("POST /servers/enable?id=a"), 200);
    assert_eq!(new_log.call("POST /servers/disable?id=b"), 200);
    until("the old one hears", || kept.check_again() == "a");
    for _ in 0..20 {
        assert_eq!(kept.check_again(), "a");
    }
    old.terminate();
    assert!(old.wait_for_exit().success());
}

/// Guards against a gateway that nobody accepts for: new processes that die at each step, or hang, or are none of ours.
#[test]
fn a_new_process_that_fails_leaves_the_old_one_serving() {
    let (_server, discovery, place) = stage("fails");
    let (mut old, log) = place.first(&discovery);
    let load = Load::new(old.address);
    let hello = |major: u16| {
        format!("{{\"Hello\":{{\"version\":{{\"major\":{major},\"minor\":0}},\"pid\":1}}}}")
    };
    let frame = |body: &str| {
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.extend(crc32fast::hash(body.as_bytes()).to_be_bytes());
        bytes.extend(body.as_bytes());
        bytes
    };
    let call = || {
        UnixStream::connect(place.socket()).expect("the old process accepts on the upgrade socket")
    };
    // Goes before a word, after hello, and after the switch.
    drop(call());
    // Until the one before is noticed to have gone, another is refused.
    let welcomed = || loop {
        let mut stream = call();
        stream
            .write_all(&frame(&hello(1)))
            .expect("the write succeeds");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("the read timeout is not zero");
        let mut said = [0; 512];
        let read = stream
            .read(&mut said)
            .expect("the gateway answers the request");
        if String::from_utf8_lossy(&said[..read]).contains("Welcome") {
            return stream;
        }
    };
    let gone = welcomed();
    log.until("a new process calls");
    drop(gone);
    log.until("has gone before it was ready");
    load.more();
    let mut switched = welcomed();
    switched
        .write_all(&frame("\"Ready\""))
        .expect("the write succeeds");
    log.until("the new process accepts");
    assert_eq!(log.call("GET /ready"), 503);
    drop(switched);
    log.until("the new process has gone");
    load.more();
    assert_eq!(log.call("GET /ready"), 200);
    // Says nothing; says nonsense; a flipped bit; another major version.
    let silent = call();
    let refused = |bytes: &[u8]| {
        let mut stream = call();
        let _ = stream.write_all(bytes);
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("the read timeout is not zero");
        let mut said = Vec::new();
        let _ = stream.read_to_end(&mut said);
        String::from_utf8_lossy(&said).into_owned()
    };
    until("the silent one makes room", || {
        refused(&frame(&hello(2))).contains("another major version")
    });
    drop(silent);
    refused(b"GET / HTTP/1.1\r\n\r\n");
    let mut flipped = frame(&hello(1));
    flipped[20] ^= 4;
    refused(&flipped);
    load.more();
    load.end();
    // And one that succeeds after all of them.
    let (_new, new_log) = place.process(&discovery, old.address);
    new_log.wait_ready();
    old.terminate();
    assert!(old.wait_for_exit().success());
}

/// Guards against an old process that hangs: the new one listens beside it.
#[test]
fn an_old_process_that_does_not_answer_is_not_waited_for() {
    let (_server, discovery, place) = stage("hangs");
    let _hung = UnixListener::bind(place.socket()).expect("the Unix socket can be bound");
    let (new, log) = place.process(
        &discovery,
        "127.0.0.1:0".parse().expect("the text is a socket address"),
    );
    log.wait_ready();
    assert_eq!(new.request(&ClientRequest::check()).status(), 200);
}

/// Guards against a second upgrade while one runs, and against one process's death taking the other along.
#[test]
fn a_second_upgrade_is_refused_and_a_killed_old_process_leaves_all_to_the_new_one() {
    let (_server, discovery, place) = stage("second");
    let (mut old, _log) = place.first(&discovery);
    let (new, new_log) = place.process(&discovery, old.address);
    new_log.wait_ready();
    let mut third =
        UnixStream::connect(place.socket()).expect("the old process accepts on the upgrade socket");
    third
        .set_read_timeout(Some(TIMEOUT))
        .expect("the read timeout is not zero");
    let mut said = Vec::new();
    let _ = third.read_to_end(&mut said);
    assert!(String::from_utf8_lossy(&said).contains("another upgrade is under way"));
    old.signal("-KILL");
    old.wait_for_exit();
    new_log.until("the old process has ended");
    assert_eq!(
        new.client_at(old.address)
            .exchange(&ClientRequest::check().to_text())
            .expect("the gateway answers the request")
            .status(),
        200
    );
}
