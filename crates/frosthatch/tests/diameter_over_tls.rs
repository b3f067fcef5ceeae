//! Diameter over TLS on both sides (RFC 6733 section 13.1): each end proves itself by the trust anchor.
#![expect(clippy::too_many_lines)]

mod common;
#[path = "common/tls.rs"]
#[allow(dead_code)]
mod tls;
use common::*;
use frosthatch_diameter::dictionary::result;
use frosthatch_test_doubles::diameter::*;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tls::{acceptor, folder, originator, terminator, Authority};

#[test]
fn both_sides_speak_tls_and_a_client_without_proof_is_not_heard() {
    let authority = Authority::new();
    let server = DiameterServer::granting("s1.example.org");
    let front = acceptor(&authority.proof("servers.example.org"), Some(&authority));
    let at = terminator(front, server.address);
    let plain = endpoint_entry("s1", at, 0, "Ready");
    let discovery = Discovery::new(&format!(
        "{},\"proto\":\"diameter\"}}",
        plain.trim_end_matches('}')
    ));
    let folder = folder();
    let proof = authority.proof("gw.example.org");
    for (name, text) in [
        ("ca.pem", authority.pem()),
        ("gw.pem", proof.certificate.pem()),
        ("gw.key", proof.key.serialize_pem()),
    ] {
        std::fs::write(folder.join(name), text).expect("written");
    }
    // An address of its own: nobody else can have taken the port.
    let address = std::net::SocketAddr::from((
        [
            127,
            63,
            (std::process::id() >> 8) as u8,
            std::process::id() as u8,
        ],
        3868,
    ));
    let file = folder.join("operator.toml");
    let text = format!(
        "[diameter]\nlisten = \"{address}\"\nidentity = \"gw.example.org\"\nrealm = \"example.org\"\n\
         check_class = \"balance-check\"\ncharge_class = \"top-up\"\ndefault_plan = \"lille\"\n\
         [diameter.tls]\ncertificate = \"gw.pem\"\nkey = \"gw.key\"\ntrust_anchor = \"ca.pem\"\n\
         server_name = \"servers.example.org\"\n"
    );
    std::fs::write(&file, &text).expect("written");
    let config = config_text(discovery.address, None, 1, "");
    let gateway =
        Gateway::start_with_args(&config, &["--operator", file.to_str().expect("a path")]);
    gateway.wait_ready();

    let till = authority.proof("till.example.org");
    let mut client = DiameterClient::new(
        originator(&authority, Some(&till), "gw.example.org", address),
        "till.example.org",
    );
    let since = Instant::now();
    while client.exchange(&event_request(0)).result_code() != Some(result::SUCCESS) {
        assert!(since.elapsed() < TIMEOUT, "it is granted");
        sleep(Duration::from_millis(20));
    }
    let stranger = Authority::new().proof("till.example.org");
    for proof in [None, Some(&stranger)] {
        let mut client =
            DiameterClient::connect(originator(&authority, proof, "gw.example.org", address));
        client.send(&capabilities_exchange_request("till.example.org"));
        assert!(client.next_message().is_none(), "it is not heard");
    }
    let mut client = DiameterClient::connect(address);
    client.send(&capabilities_exchange_request("till.example.org"));
    assert!(client.next_message().is_none(), "nor without TLS");

    // A key of another certificate is a mistake that `check` tells.
    std::fs::write(folder.join("gw.key"), stranger.key.serialize_pem()).expect("written");
    let config = write_config_file(&config);
    let out = gateway_command(&config)
        .args(["check", "--operator"])
        .arg(&file)
        .output()
        .expect("it runs");
    let _ = std::fs::remove_file(config);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stdout).contains("belong together"));
    let _ = std::fs::remove_dir_all(folder);
}
