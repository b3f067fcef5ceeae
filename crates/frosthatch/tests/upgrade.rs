//! A new gateway process takes over from a running one; both are the gateway binary.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A directory of the test's own with an operator file that names the upgrade socket in it.
struct UpgradeDirectory {
    directory: PathBuf,
}

impl UpgradeDirectory {
    fn new(name: &str) -> UpgradeDirectory {
        let directory =
            std::env::temp_dir().join(format!("frosthatch-upgrade-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the directory can be created");
        std::fs::write(
            directory.join("operator.toml"),
            "[upgrade]\nsocket = \"s\"\n",
        )
        .expect("the file can be written");
        UpgradeDirectory { directory }
    }

    fn socket(&self) -> PathBuf {
        self.directory.join("s")
    }

    /// Starts a gateway process and returns it with the lines of its log.
    fn start_process(&self, discovery: &Discovery, listen: SocketAddr) -> (Gateway, Log) {
        let text = self.configuration(discovery, listen);
        let file = self.directory.join("operator.toml");
        let arguments = [
            "--operator",
            file.to_str().expect("the temporary path is UTF-8"),
        ];
        let (line_sender, lines) = channel();
        let gateway = Gateway::start_with_log(&text, &arguments, move |line| {
            println!("gateway: {line}");
            let _ = line_sender.send(line.to_string());
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

    /// Runs a gateway process that ends by itself, and returns its exit status and its log.
    fn run_process(&self, discovery: &Discovery, listen: SocketAddr) -> (ExitStatus, String) {
        let config = write_config_file(&self.configuration(discovery, listen));
        let mut process = gateway_command(&config)
            .arg("--operator")
            .arg(self.directory.join("operator.toml"))
            .spawn()
            .expect("the gateway's binary can be executed");
        let since = Instant::now();
        let status = loop {
            if let Some(status) = process.try_wait().expect("the process is ours") {
                break status;
            }
            if since.elapsed() >= TIMEOUT {
                let _ = process.kill();
                panic!("the process ends by itself");
            }
            thread::sleep(Duration::from_millis(5));
        };
        let mut log = String::new();
        let stderr = process.stderr.as_mut().expect("stderr is piped");
        let _ = stderr.read_to_string(&mut log);
        (status, log)
    }

    fn configuration(&self, discovery: &Discovery, listen: SocketAddr) -> String {
        config_text(discovery.address, None, 1, "")
            .replacen('{', "{\"console\":\"127.0.0.1:0\",", 1)
            .replace(
                "\"listen\":\"127.0.0.1:0\"",
                &format!("\"listen\":\"{listen}\""),
            )
    }

    fn first(&self, discovery: &Discovery) -> (Gateway, Log) {
        let (gateway, log) = self.start_process(
            discovery,
            "127.0.0.1:0".parse().expect("the text is a socket address"),
        );
        log.wait_ready();
        until("the upgrade socket accepts", || {
            UnixStream::connect(self.socket()).is_ok()
        });
        (gateway, log)
    }
}

impl Drop for UpgradeDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

struct Log {
    lines: Receiver<String>,
    console: SocketAddr,
}

impl Log {
    fn until(&self, expected: &str) -> String {
        loop {
            let line = self
                .lines
                .recv_timeout(TIMEOUT)
                .unwrap_or_else(|_| panic!("{expected:?} is logged"));
            if line.contains(expected) {
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
            .expect("the console answers");
        text.split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("the answer has a numeric status")
    }

    fn wait_ready(&self) {
        until("the new process is ready", || {
            self.call("GET /ready") == 200
        });
    }
}

fn until(expected: &str, mut done: impl FnMut() -> bool) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < TIMEOUT, "{expected}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn start_server_and_discovery(name: &str) -> (Server, Discovery, UpgradeDirectory) {
    let server = Server::new(|m| {
        if m.line.contains("slow") {
            thread::sleep(Duration::from_millis(600));
        }
        ok("served")
    });
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    (server, discovery, UpgradeDirectory::new(name))
}

/// Clients that send requests without a pause on new and on kept connections, and count those that are served;
/// any other outcome panics.
struct Load {
    stopped: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn new(at: SocketAddr) -> Load {
        let (stopped, served) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let client = |keeps_connections: bool| {
            let (stopped, served) = (stopped.clone(), served.clone());
            thread::spawn(move || {
                let mut kept: Option<TcpStream> = None;
                while !stopped.load(Ordering::SeqCst) {
                    let used = kept.is_some();
                    let mut stream = kept.take().unwrap_or_else(|| {
                        TcpStream::connect(at).expect("the gateway accepts every connection")
                    });
                    stream.set_read_timeout(Some(TIMEOUT)).expect("timeout > 0");
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
                            // Clients without a pause exceed the quota.
                            assert!(matches!(answer.status(), 200 | 429), "{answer:?}");
                            served.fetch_add(1, Ordering::SeqCst);
                            kept = Some(stream).filter(|_| {
                                keeps_connections && answer.header("connection").is_none()
                            });
                        }
                        // A kept connection may be closed between two requests, a new one never.
                        None => assert!(used, "a new connection is not closed without an answer"),
                    }
                }
            })
        };
        let clients = [false, false, true, true].map(client).into();
        Load {
            stopped,
            served,
            clients,
        }
    }

    fn wait_for_more_served(&self) {
        let before = self.served.load(Ordering::SeqCst);
        until("50 more requests are served", || {
            self.served.load(Ordering::SeqCst) > before + 50
        });
    }

    fn stop(self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .for_each(|c| c.join().expect("the client thread does not panic"));
    }
}

/// Guards against connections refused or reset while processes are replaced, five times in a row.
#[test]
fn five_upgrades_under_load_refuse_no_connection() {
    let (_server, discovery, installation) = start_server_and_discovery("five");
    let (mut old, _log) = installation.first(&discovery);
    let (at, load) = (old.address, Load::new(old.address));
    load.wait_for_more_served();
    for _ in 0..5 {
        let (new, log) = installation.start_process(&discovery, at);
        log.wait_ready();
        load.wait_for_more_served();
        old.terminate();
        assert!(old.wait_for_exit().success());
        load.wait_for_more_served();
        log.until("the old process has ended");
        until(
            "the old process accepts on the upgrade socket again",
            || UnixStream::connect(installation.socket()).is_ok(),
        );
        old = new;
    }
    load.stop();
}

/// Guards against an answer that is lost with the old process, and against one that is sent twice.
#[test]
fn the_old_process_answers_the_requests_it_holds() {
    let (server, discovery, installation) = start_server_and_discovery("held");
    let (mut old, _log) = installation.first(&discovery);
    let slow = ClientRequest {
        path: "/top-up?slow",
        ..ClientRequest::top_up()
    };
    let mut held = old.client();
    held.send(&slow.to_text());
    server.next_request();
    // Half of a request is sent before the switch, and half after it.
    let text = ClientRequest::check().to_text();
    let mut split_request = old.client();
    split_request.send(&text[..text.len() / 2]);
    let (_new, log) = installation.start_process(&discovery, old.address);
    log.wait_ready();
    old.terminate();
    split_request.send(&text[text.len() / 2..]);
    assert_eq!(
        split_request
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
        "the connection is closed after exactly one answer"
    );
    assert!(old.wait_for_exit().success());
    let top_ups = server
        .drain_events()
        .iter()
        .filter(|s| matches!(s, ServerEvent::Request(m) if m.line.contains("top-up")))
        .count();
    assert_eq!(top_ups, 0, "the held top-up is sent to the server once");
}

/// Guards against an old process that ends in the middle of a long answer: it lasts longer than any request.
#[test]
fn the_old_process_finishes_its_long_answers() {
    let answer = LongAnswer {
        pause: Duration::from_millis(100),
        ..LongAnswer::new(AnswerFraming::Length, 60, 20_000)
    };
    let server = Server::new(move |_| Reply::Long(answer));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let installation = UpgradeDirectory::new("long");
    let (mut old, _log) = installation.first(&discovery);
    let mut stream = TcpStream::connect(old.address).expect("the old process accepts");
    stream.set_read_timeout(Some(TIMEOUT)).expect("timeout > 0");
    let request = ClientRequest::check().with_header("Connection", "close");
    stream
        .write_all(request.to_text().as_bytes())
        .expect("the connection is open");
    server.next_request();
    let (_new, log) = installation.start_process(&discovery, old.address);
    log.wait_ready();
    old.terminate();
    let mut bytes = Vec::new();
    stream
        .read_to_end(&mut bytes)
        .expect("the connection ends without a reset");
    let body_bytes = bytes.iter().filter(|byte| **byte == BODY_BYTE).count();
    assert_eq!(body_bytes, answer.body_bytes());
    assert!(old.wait_for_exit().success());
}

/// Guards against either process using a server that an operator has disabled.
#[test]
fn disabled_servers_are_disabled_in_both_processes() {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let both = [
        endpoint_entry("a", a.address, 0, "Ready"),
        endpoint_entry("b", b.address, 0, "Ready"),
    ]
    .join(",");
    let discovery = Discovery::new(&both);
    let installation = UpgradeDirectory::new("marks");
    let (mut old, log) = installation.first(&discovery);
    // A kept connection stays with the old process.
    let mut kept = old.client();
    assert_eq!(
        kept.exchange(&ClientRequest::check().to_text())
            .expect("the gateway answers the request")
            .status(),
        200
    );
    assert_eq!(log.call("POST /servers/disable?id=a"), 200);
    let (new, new_log) = installation.start_process(&discovery, old.address);
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
    // A change at the new process's console applies at the old process, too.
    assert_eq!(new_log.call("POST /servers/enable?id=a"), 200);
    assert_eq!(new_log.call("POST /servers/disable?id=b"), 200);
    until("the old process applies the change", || {
        kept.check_again() == "a"
    });
    for _ in 0..20 {
        assert_eq!(kept.check_again(), "a");
    }
    old.terminate();
    assert!(old.wait_for_exit().success());
}

/// Guards against a failed upgrade leaving no process that accepts connections: the new process exits at each
/// step, hangs, or is not a gateway.
#[test]
fn a_new_process_that_fails_leaves_the_old_one_serving() {
    let (_server, discovery, installation) = start_server_and_discovery("fails");
    let (mut old, log) = installation.first(&discovery);
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
    let call = || UnixStream::connect(installation.socket()).expect("listening");
    // New processes that exit before their first message, after `Hello`, and after `Ready`.
    drop(call());
    // The running process refuses a new one until it has noticed the exit of the previous one.
    let connect_until_welcomed = || loop {
        let mut stream = call();
        stream.write_all(&frame(&hello(1))).expect("still open");
        stream.set_read_timeout(Some(TIMEOUT)).expect("timeout > 0");
        let mut received = [0; 512];
        let read = stream.read(&mut received).expect("the process answers");
        if String::from_utf8_lossy(&received[..read]).contains("Welcome") {
            return stream;
        }
    };
    let disconnected = connect_until_welcomed();
    log.until("a new process calls");
    drop(disconnected);
    log.until("has gone before it was ready");
    load.wait_for_more_served();
    let mut switched = connect_until_welcomed();
    switched.write_all(&frame("\"Ready\"")).expect("still open");
    log.until("the new process accepts");
    assert_eq!(log.call("GET /ready"), 503);
    drop(switched);
    log.until("the new process has gone");
    load.wait_for_more_served();
    assert_eq!(log.call("GET /ready"), 200);
    // New processes that are silent, send no valid frame, a frame with a flipped bit, or another major version.
    let silent = call();
    let refused = |bytes: &[u8]| {
        let mut stream = call();
        let _ = stream.write_all(bytes);
        stream.set_read_timeout(Some(TIMEOUT)).expect("timeout > 0");
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        String::from_utf8_lossy(&received).into_owned()
    };
    until("the silent connection makes room for another", || {
        refused(&frame(&hello(2))).contains("another major version")
    });
    drop(silent);
    refused(b"GET / HTTP/1.1\r\n\r\n");
    let mut flipped = frame(&hello(1));
    flipped[20] ^= 4;
    refused(&flipped);
    load.wait_for_more_served();
    load.stop();
    // A new process that succeeds after all the failures.
    let (_new, new_log) = installation.start_process(&discovery, old.address);
    new_log.wait_ready();
    old.terminate();
    assert!(old.wait_for_exit().success());
}

/// Guards against waiting for an old process that hangs: the new one listens beside it.
#[test]
fn an_old_process_that_does_not_answer_is_not_waited_for() {
    let (_server, discovery, installation) = start_server_and_discovery("hangs");
    let _hung = UnixListener::bind(installation.socket()).expect("the Unix socket can be bound");
    let (new, log) = installation.start_process(
        &discovery,
        "127.0.0.1:0".parse().expect("the text is a socket address"),
    );
    log.wait_ready();
    assert_eq!(new.request(&ClientRequest::check()).status(), 200);
}

/// Guards against a third process that takes its rejection for an old process that does not answer, listens beside the two
/// that run, and sends requests to servers that operators have disabled.
#[test]
fn a_third_process_ends_at_once_and_the_next_upgrade_works() {
    let (_server, discovery, installation) = start_server_and_discovery("third");
    let (mut old, _log) = installation.first(&discovery);
    let (mut new, new_log) = installation.start_process(&discovery, old.address);
    new_log.wait_ready();
    let load = Load::new(old.address);
    let (status, third_log) = installation.run_process(&discovery, old.address);
    assert_eq!(status.code(), Some(75), "{third_log}");
    let names_both = format!("process {} replaces process {}", new.pid(), old.pid());
    assert!(third_log.contains(&names_both), "{third_log}");
    assert!(!third_log.contains("listens on"), "{third_log}");
    load.wait_for_more_served();
    old.terminate();
    assert!(old.wait_for_exit().success());
    new_log.until("the old process has ended");
    until("the upgrade socket belongs to the new process", || {
        UnixStream::connect(installation.socket()).is_ok()
    });
    let (_next, next_log) = installation.start_process(&discovery, old.address);
    next_log.wait_ready();
    load.wait_for_more_served();
    new.terminate();
    assert!(new.wait_for_exit().success());
    load.wait_for_more_served();
    load.stop();
}

/// Guards against a second upgrade while one runs, and against the death of one process ending the other.
#[test]
fn a_second_upgrade_is_refused_and_the_new_process_serves_after_the_old_one_is_killed() {
    let (_server, discovery, installation) = start_server_and_discovery("second");
    let (mut old, _log) = installation.first(&discovery);
    let (new, new_log) = installation.start_process(&discovery, old.address);
    new_log.wait_ready();
    let mut third = UnixStream::connect(installation.socket())
        .expect("the old process accepts on the upgrade socket");
    third.set_read_timeout(Some(TIMEOUT)).expect("timeout > 0");
    let mut received = Vec::new();
    let _ = third.read_to_end(&mut received);
    assert!(String::from_utf8_lossy(&received).contains("another upgrade is under way"));
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
