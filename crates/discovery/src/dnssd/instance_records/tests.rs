//! Tests of the interpretation of SRV, TXT and address records.

use super::{
    preferred_address, preferred_location, AttributeError, InstanceAttributes, ServiceLocation,
};
use std::net::IpAddr;

fn parse(strings: &[&str]) -> Result<InstanceAttributes, AttributeError> {
    InstanceAttributes::parse(
        &strings
            .iter()
            .map(|s| s.as_bytes().to_vec())
            .collect::<Vec<_>>(),
    )
}

#[test]
fn known_keys_are_parsed_and_others_skipped() {
    let attributes = parse(&[
        "txtvers=1",
        "Zone=hall-a",
        "cell=3",
        "zone=hall-b",
        "state=draining",
        "boot=17",
        "",
    ]);
    let expected = InstanceAttributes {
        zone: "hall-a".into(),
        cell: 3,
        is_draining: true,
        boot_ms: Some(17),
        ..InstanceAttributes::default()
    };
    assert_eq!(attributes, Ok(expected));
    assert_eq!(parse(&[""]), Ok(InstanceAttributes::default()));
}

#[test]
fn an_invalid_value_is_reported_with_the_expected_values() {
    for (string, expected) in [
        ("cell=x", "whole number"),
        ("state=busy", "ready or draining"),
        ("boot=-1", "milliseconds"),
        ("proto=gopher", "http/1.1"),
        ("zone", "visible ASCII"),
        ("zone=a b", "visible ASCII"),
    ] {
        assert!(
            parse(&[string]).is_err_and(|error| error.to_string().contains(expected)),
            "the error for {string:?} does not name {expected:?}"
        );
    }
}

#[test]
fn the_preferred_location_does_not_depend_on_the_order_of_records() {
    let location = |priority, weight, port| ServiceLocation {
        priority,
        weight,
        port,
        target: "h".into(),
    };
    let all = vec![
        location(2, 9, 1),
        location(1, 5, 2),
        location(1, 7, 4),
        location(1, 7, 3),
    ];
    let mut reversed = all.clone();
    reversed.reverse();
    assert_eq!(preferred_location(all), Some(location(1, 7, 3)));
    assert_eq!(preferred_location(reversed), Some(location(1, 7, 3)));
    let v6: IpAddr = "::1".parse().expect("the literal is a valid IPv6 address");
    let v4: IpAddr = "127.0.0.2"
        .parse()
        .expect("the literal is a valid IPv4 address");
    assert_eq!(preferred_address(&[v6, v4]), Some(v4));
}
