//! A log that cannot be written, because the disk is full or its reader has closed the pipe: the gateway keeps
//! serving.

mod common;
use common::*;
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A gateway process that is not a [`Gateway`], because its log goes elsewhere.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start(discovery: &Discovery, log: Stdio) -> Process {
        let address = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a free loopback port can be bound");
        let text = config_text(discovery.address, None, 1, "");
        let text = text.replace(
            "\"listen\":\"127.0.0.1:0\"",
            &format!("\"listen\":\"{address}\""),
        );
        let config = write_config_file(&text);
        let child = gateway_command(&config)
            .stderr(log)
            .spawn()
            .expect("the gateway starts");
        Process { child, address }
    }

    fn serves(&mut self) -> bool {
        let since = Instant::now();
        while since.elapsed() < TIMEOUT {
            if self
                .child
                .try_wait()
                .expect("the process status can be read")
                .is_some()
            {
                return false;
            }
            if TcpStream::connect(self.address).is_ok() {
                let answer = Client::at(self.address).exchange(&ClientRequest::check().to_text());
                if answer.is_some_and(|a| a.status() == 200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn the_gateway_serves_with_its_log_on_a_full_disk() {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let full_disk = OpenOptions::new()
        .write(true)
        .open("/dev/full")
        .expect("`/dev/full` can be opened");
    assert!(Process::start(&discovery, Stdio::from(full_disk)).serves());
}

#[test]
fn the_gateway_serves_after_the_reader_of_its_log_has_closed_the_pipe() {
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let mut process = Process::start(&discovery, Stdio::piped());
    let mut log = BufReader::new(
        process
            .child
            .stderr
            .take()
            .expect("standard error is piped"),
    );
    log.read_line(&mut String::new())
        .expect("the gateway logs a line");
    assert!(process.serves());
    drop(log);
    // An invalid endpoint list is logged.
    discovery.set_mode(DiscoveryMode::InvalidBody);
    discovery.wait_for_calls(3);
    discovery.set_mode(DiscoveryMode::Answering);
    assert!(process.serves());
}
