//! DNS Push Notifications over TLS (RFC 8765 section 4): only a server whose certificate descends from the trust anchor,
//! and carries the name, is believed.

mod common;
#[path = "common/tls.rs"]
#[allow(dead_code)]
mod tls;
use common::*;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tls::{acceptor, folder, terminator, Authority};

const SERVICE: &str = "_topup._tcp.example.org";

fn start(folder: &Path, resolver: &Resolver, push: SocketAddr, anchor: &str) -> Gateway {
    std::fs::write(folder.join("ca.pem"), anchor).expect("written");
    // Rounds are far apart: only push tells in time.
    let text = format!(
        "[membership]\nsource = \"dns-sd\"\n[dns-sd]\nservices = [\"{SERVICE}\"]\nresolvers = [\"{}\"]\n\
         poll_most_ms = 60000\n[dns-sd.push]\nservers = [\"{push}\"]\ntrust_anchor = \"ca.pem\"\n\
         server_name = \"push.example.org\"\ncheck_ms = 60000\n",
        resolver.address
    );
    let file = folder.join("operator.toml");
    std::fs::write(&file, text).expect("written");
    let nobody = "127.0.0.1:9".parse().expect("an address");
    let gateway = Gateway::start_with_args(
        &config_text(nobody, None, 1, ""),
        &["--operator", file.to_str().expect("a path")],
    );
    gateway.wait_ready();
    gateway
}

fn installation() -> (Server, Server, Resolver) {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let mut zone = Zone::new("example.org");
    // The TTL would let an hour pass.
    zone.ttl_s = 3_600;
    zone.add_instance(SERVICE, "a", a.address, &["cell=1"]);
    zone.add_instance(SERVICE, "b", b.address, &["cell=1"]);
    zone.take_changes();
    (a, b, Resolver::new(zone))
}

#[test]
fn a_change_is_told_over_tls() {
    let (_a, _b, resolver) = installation();
    let authority = Authority::new();
    let acceptor = acceptor(&authority.proof("push.example.org"), None);
    let folder = folder();
    let gateway = start(
        &folder,
        &resolver,
        terminator(acceptor, resolver.push),
        &authority.pem(),
    );
    let since = Instant::now();
    while resolver.push_sessions() == 0 {
        assert!(since.elapsed() < TIMEOUT, "a session comes up");
        sleep(Duration::from_millis(5));
    }
    // Told as a change, or with what is there at the subscription: either way by push.
    sleep(Duration::from_millis(300));
    resolver.change_zone(|z| z.remove_instance(SERVICE, "a"));
    while !(0..10).all(|_| gateway.request(&ClientRequest::check()).body == "b") {
        assert!(since.elapsed() < TIMEOUT, "the change is told");
    }
    let _ = std::fs::remove_dir_all(folder);
}

/// Guards against being told of servers by whoever answers at that address.
#[test]
fn a_push_server_of_another_authority_or_name_is_not_listened_to() {
    let (_a, _b, resolver) = installation();
    let (authority, stranger) = (Authority::new(), Authority::new());
    for (anchor, name) in [
        (&stranger, "push.example.org"),
        (&authority, "other.example.org"),
    ] {
        let folder = folder();
        let acceptor = acceptor(&authority.proof(name), None);
        let gateway = start(
            &folder,
            &resolver,
            terminator(acceptor, resolver.push),
            &anchor.pem(),
        );
        // It tries again and again, and serves meanwhile.
        for _ in 0..20 {
            assert_eq!(gateway.request(&ClientRequest::check()).status(), 200);
            sleep(Duration::from_millis(50));
        }
        assert_eq!(resolver.push_sessions(), 0);
        let _ = std::fs::remove_dir_all(folder);
    }
}
