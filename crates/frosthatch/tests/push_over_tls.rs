//! DNS Push Notifications over TLS (RFC 8765 section 4): the gateway trusts only a server whose certificate
//! chains to the trust anchor and carries the configured name.

mod common;
#[path = "common/tls.rs"]
#[allow(dead_code)]
mod tls;
use common::*;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tls::{create_directory, start_tls_terminator, tls_acceptor, Authority};

const SERVICE: &str = "_topup._tcp.example.org";

fn start_gateway(directory: &Path, resolver: &Resolver, push: SocketAddr, anchor: &str) -> Gateway {
    std::fs::write(directory.join("ca.pem"), anchor).expect("the write succeeds");
    // Polls are far apart: only a push message reports a change within the test's time.
    let text = format!(
        "[membership]\nsource = \"dns-sd\"\n[dns-sd]\nservices = [\"{SERVICE}\"]\nresolvers = [\"{}\"]\n\
         poll_most_ms = 60000\n[dns-sd.push]\nservers = [\"{push}\"]\ntrust_anchor = \"ca.pem\"\n\
         server_name = \"push.example.org\"\ncheck_ms = 60000\n",
        resolver.address
    );
    let file = directory.join("operator.toml");
    std::fs::write(&file, text).expect("the write succeeds");
    let unused_address = "127.0.0.1:9".parse().expect("the text is a socket address");
    let gateway = Gateway::start_with_args(
        &config_text(unused_address, None, 1, ""),
        &[
            "--operator",
            file.to_str().expect("the temporary path is UTF-8"),
        ],
    );
    gateway.wait_ready();
    gateway
}

fn start_servers_and_resolver() -> (Server, Server, Resolver) {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let mut zone = Zone::new("example.org");
    // With this TTL a poll would come only after an hour.
    zone.ttl_s = 3_600;
    zone.add_instance(SERVICE, "a", a.address, &["cell=1"]);
    zone.add_instance(SERVICE, "b", b.address, &["cell=1"]);
    zone.take_changes();
    (a, b, Resolver::new(zone))
}

#[test]
fn a_change_is_pushed_over_tls() {
    let (_a, _b, resolver) = start_servers_and_resolver();
    let authority = Authority::new();
    let acceptor = tls_acceptor(&authority.issue("push.example.org"), None);
    let directory = create_directory();
    let gateway = start_gateway(
        &directory,
        &resolver,
        start_tls_terminator(acceptor, resolver.push),
        &authority.pem(),
    );
    let since = Instant::now();
    while resolver.push_sessions() == 0 {
        assert!(
            since.elapsed() < TIMEOUT,
            "the gateway opens a push session"
        );
        sleep(Duration::from_millis(5));
    }
    // The removal is reported as a change or in the initial records of the subscription: either way by push.
    sleep(Duration::from_millis(300));
    resolver.change_zone(|z| z.remove_instance(SERVICE, "a"));
    while !(0..10).all(|_| gateway.request(&ClientRequest::check()).body == "b") {
        assert!(
            since.elapsed() < TIMEOUT,
            "the removal is pushed to the gateway"
        );
    }
    let _ = std::fs::remove_dir_all(directory);
}

/// Guards against accepting records from any server that answers at the configured address.
#[test]
fn a_push_server_of_another_authority_or_name_is_not_trusted() {
    let (_a, _b, resolver) = start_servers_and_resolver();
    let (authority, stranger) = (Authority::new(), Authority::new());
    for (anchor, name) in [
        (&stranger, "push.example.org"),
        (&authority, "other.example.org"),
    ] {
        let directory = create_directory();
        let acceptor = tls_acceptor(&authority.issue(name), None);
        let gateway = start_gateway(
            &directory,
            &resolver,
            start_tls_terminator(acceptor, resolver.push),
            &anchor.pem(),
        );
        // The gateway keeps retrying the push session, and serves meanwhile.
        for _ in 0..20 {
            assert_eq!(gateway.request(&ClientRequest::check()).status(), 200);
            sleep(Duration::from_millis(50));
        }
        assert_eq!(resolver.push_sessions(), 0);
        let _ = std::fs::remove_dir_all(directory);
    }
}
