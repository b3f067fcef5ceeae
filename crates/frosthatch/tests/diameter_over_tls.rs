//! Diameter over TLS on both sides (RFC 6733 section 13.1): each end authenticates the other by the trust
//! anchor.
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
use tls::{create_directory, start_tls_originator, start_tls_terminator, tls_acceptor, Authority};

#[test]
fn both_sides_use_tls_and_a_client_without_a_trusted_certificate_is_refused() {
    let authority = Authority::new();
    let server = DiameterServer::granting("s1.example.org");
    let server_acceptor = tls_acceptor(&authority.issue("servers.example.org"), Some(&authority));
    let server_address = start_tls_terminator(server_acceptor, server.address);
    let entry = endpoint_entry("s1", server_address, 0, "Ready");
    let discovery = Discovery::new(&format!(
        "{},\"proto\":\"diameter\"}}",
        entry.trim_end_matches('}')
    ));
    let directory = create_directory();
    let certified_key = authority.issue("gw.example.org");
    for (name, text) in [
        ("ca.pem", authority.pem()),
        ("gw.pem", certified_key.certificate.pem()),
        ("gw.key", certified_key.key.serialize_pem()),
    ] {
        std::fs::write(directory.join(name), text).expect("the write succeeds");
    }
    // A loopback address of this test's own: no other test can have taken the port.
    let address = std::net::SocketAddr::from((
        [
            127,
            63,
            (std::process::id() >> 8) as u8,
            std::process::id() as u8,
        ],
        3868,
    ));
    let file = directory.join("operator.toml");
    let text = format!(
        "[diameter]\nlisten = \"{address}\"\nidentity = \"gw.example.org\"\nrealm = \"example.org\"\n\
         check_class = \"balance-check\"\ncharge_class = \"top-up\"\ndefault_plan = \"lille\"\n\
         [diameter.tls]\ncertificate = \"gw.pem\"\nkey = \"gw.key\"\ntrust_anchor = \"ca.pem\"\n\
         server_name = \"servers.example.org\"\n"
    );
    std::fs::write(&file, &text).expect("the write succeeds");
    let config = config_text(discovery.address, None, 1, "");
    let gateway = Gateway::start_with_args(
        &config,
        &[
            "--operator",
            file.to_str().expect("the temporary path is UTF-8"),
        ],
    );
    gateway.wait_ready();

    let client_certificate = authority.issue("till.example.org");
    let mut client = DiameterClient::new(
        start_tls_originator(
            &authority,
            Some(&client_certificate),
            "gw.example.org",
            address,
        ),
        "till.example.org",
    );
    let since = Instant::now();
    while client.exchange(&event_request(0)).result_code() != Some(result::SUCCESS) {
        assert!(since.elapsed() < TIMEOUT, "a request over TLS is granted");
        sleep(Duration::from_millis(20));
    }
    let untrusted = Authority::new().issue("till.example.org");
    for certified_key in [None, Some(&untrusted)] {
        let mut client = DiameterClient::connect(start_tls_originator(
            &authority,
            certified_key,
            "gw.example.org",
            address,
        ));
        client.send(&capabilities_exchange_request("till.example.org"));
        assert!(
            client.next_message().is_none(),
            "a client without a trusted certificate gets no answer"
        );
    }
    let mut client = DiameterClient::connect(address);
    client.send(&capabilities_exchange_request("till.example.org"));
    assert!(
        client.next_message().is_none(),
        "a client without TLS gets no answer"
    );

    // `check` reports a key that belongs to another certificate.
    std::fs::write(directory.join("gw.key"), untrusted.key.serialize_pem())
        .expect("the write succeeds");
    let config = write_config_file(&config);
    let out = gateway_command(&config)
        .args(["check", "--operator"])
        .arg(&file)
        .output()
        .expect("the gateway binary runs");
    let _ = std::fs::remove_file(config);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stdout).contains("belong together"));
    let _ = std::fs::remove_dir_all(directory);
}
