use super::{address, first_choice, Location, Text};
use std::net::IpAddr;

fn read(strings: &[&str]) -> Result<Text, String> {
    Text::read(
        &strings
            .iter()
            .map(|s| s.as_bytes().to_vec())
            .collect::<Vec<_>>(),
    )
}

#[test]
fn known_keys_are_read_and_others_skipped() {
    let text = read(&[
        "txtvers=1",
        "Zone=hall-a",
        "cell=3",
        "zone=hall-b",
        "state=draining",
        "boot=17",
        "",
    ]);
    let right = Text {
        zone: "hall-a".into(),
        cell: 3,
        draining: true,
        boot_ms: Some(17),
        ..Text::default()
    };
    assert_eq!(text, Ok(right));
    assert_eq!(read(&[""]), Ok(Text::default()));
}

#[test]
fn a_bad_value_says_what_would_be_right() {
    for (string, right) in [
        ("cell=x", "whole number"),
        ("state=busy", "ready or draining"),
        ("boot=-1", "milliseconds"),
        ("proto=gopher", "http/1.1"),
        ("zone", "visible ASCII"),
        ("zone=a b", "visible ASCII"),
    ] {
        assert!(
            read(&[string]).is_err_and(|e| e.contains(right)),
            "{string}"
        );
    }
}

#[test]
fn of_several_locations_all_gateways_take_one() {
    let at = |priority, weight, port| Location {
        priority,
        weight,
        port,
        target: "h".into(),
    };
    let all = vec![at(2, 9, 1), at(1, 5, 2), at(1, 7, 4), at(1, 7, 3)];
    let mut turned = all.clone();
    turned.reverse();
    assert_eq!(first_choice(all), Some(at(1, 7, 3)));
    assert_eq!(first_choice(turned), Some(at(1, 7, 3)));
    let v6: IpAddr = "::1".parse().expect("v6");
    let v4: IpAddr = "127.0.0.2".parse().expect("v4");
    assert_eq!(address(&[v6, v4]), Some(v4));
}
