//! DNS Push Notifications over TLS (RFC 8765 section 4): only a server whose certificate descends from the trust anchor,
//! and carries the name, is believed.

mod common;
use common::*;
use rcgen::{BasicConstraints, CertificateParams, IsCa, KeyPair};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tokio_rustls::TlsAcceptor;

const SERVICE: &str = "_topup._tcp.example.org";

/// A certificate authority's PEM, and a server's side of TLS with a certificate for the name.
fn certificates(name: &str) -> (String, TlsAcceptor) {
    let ca_key = KeyPair::generate().expect("a key");
    let mut ca = CertificateParams::new(Vec::new()).expect("parameters");
    ca.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca = ca.self_signed(&ca_key).expect("an authority");
    let key = KeyPair::generate().expect("a key");
    let leaf = CertificateParams::new(vec![name.into()]).expect("parameters");
    let leaf = leaf.signed_by(&key, &ca, &ca_key).expect("a certificate");
    let private = rustls::pki_types::PrivateKeyDer::try_from(key.serialize_der()).expect("a key");
    let config =
        rustls::ServerConfig::builder_with_provider(Arc::new(rustls::crypto::ring::default_provider()))
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_no_client_auth()
            .with_single_cert(vec![leaf.der().clone()], private)
            .expect("a certificate and its key");
    (ca.pem(), TlsAcceptor::from(Arc::new(config)))
}

/// Ends TLS in front of a plain server.
fn terminator(acceptor: TlsAcceptor, behind: SocketAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a listener");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            while let Ok((stream, _)) = listener.accept().await {
                let acceptor = acceptor.clone();
                tokio::spawn(async move {
                    let Ok(mut tls) = acceptor.accept(stream).await else { return };
                    let Ok(mut plain) = tokio::net::TcpStream::connect(behind).await else { return };
                    let _ = tokio::io::copy_bidirectional(&mut tls, &mut plain).await;
                });
            }
        });
    });
    address
}

fn folder() -> PathBuf {
    let folder = config_file("");
    std::fs::remove_file(&folder).expect("it was just written");
    std::fs::create_dir(&folder).expect("a folder");
    folder
}

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
    let gateway =
        Gateway::start_as(&config_text(nobody, None, 1, ""), &["--operator", file.to_str().expect("a path")]);
    gateway.wait_ready();
    gateway
}

fn installation() -> (Server, Server, Resolver) {
    let (a, b) = (Server::new(|_| ok("a")), Server::new(|_| ok("b")));
    let mut zone = Zone::new("example.org");
    // The TTL would let an hour pass.
    zone.ttl = 3_600;
    zone.add_instance(SERVICE, "a", a.address, &["cell=1"]);
    zone.add_instance(SERVICE, "b", b.address, &["cell=1"]);
    zone.take_changes();
    (a, b, Resolver::new(zone))
}

#[test]
fn a_change_is_told_over_tls() {
    let (_a, _b, resolver) = installation();
    let (anchor, acceptor) = certificates("push.example.org");
    let folder = folder();
    let gateway = start(&folder, &resolver, terminator(acceptor, resolver.push), &anchor);
    let since = Instant::now();
    while resolver.sessions() == 0 {
        assert!(since.elapsed() < LONG, "a session comes up");
        sleep(Duration::from_millis(5));
    }
    // Told as a change, or with what is there at the subscription: either way by push.
    sleep(Duration::from_millis(300));
    resolver.change(|z| z.remove_instance(SERVICE, "a"));
    while !(0..10).all(|_| gateway.ask(&Ask::check()).body == "b") {
        assert!(since.elapsed() < LONG, "the change is told");
    }
    let _ = std::fs::remove_dir_all(folder);
}

/// Guards against being told of servers by whoever answers at that address.
#[test]
fn a_push_server_of_another_authority_or_name_is_not_listened_to() {
    let (_a, _b, resolver) = installation();
    let (anchor, acceptor) = certificates("push.example.org");
    let (stranger, _) = certificates("push.example.org");
    let (named, other) = certificates("other.example.org");
    for (anchor, acceptor) in [(stranger, acceptor), (named, other)] {
        let folder = folder();
        let gateway = start(&folder, &resolver, terminator(acceptor, resolver.push), &anchor);
        // It tries again and again, and serves meanwhile.
        for _ in 0..20 {
            assert_eq!(gateway.ask(&Ask::check()).status(), 200);
            sleep(Duration::from_millis(50));
        }
        assert_eq!(resolver.sessions(), 0);
        let _ = std::fs::remove_dir_all(folder);
    }
    assert!(!anchor.is_empty());
}
