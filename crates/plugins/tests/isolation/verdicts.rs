//! Checks that records have the documented layout, that verdicts out of bounds are rejected and that the others are
//! merged in order.

use crate::support::sample_request;
use frosthatch_plugins::abi::{self, decode_verdict, Changes, Verdict};
use frosthatch_plugins::chain::{merge_verdict, FailurePolicy, RequestSelector};
use proptest::prelude::{any, prop, prop_assert, proptest, ProptestConfig};

fn encode_verdict(kind: u8, lower: u8, ms: u32, units: f64, headers: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind, lower];
    bytes.extend((headers.len() as u16).to_le_bytes());
    bytes.extend(ms.to_le_bytes());
    bytes.extend(units.to_le_bytes());
    bytes.extend(headers);
    bytes
}

#[test]
fn verdicts_with_any_value_out_of_bounds_are_rejected() {
    let decode = |bytes: &[u8]| decode_verdict(bytes, &sample_request(), 6.0);
    assert_eq!(decode(&[0; 16]), Ok(Verdict::GoOn(Changes::default())));
    assert_eq!(
        decode(&encode_verdict(2, 0, 500, 0.0, b"")),
        Ok(Verdict::Refuse { wait_ms: 500 })
    );
    assert_eq!(
        decode(&encode_verdict(3, 0, 0, 0.0, b"")),
        Ok(Verdict::Fail)
    );
    let all = Changes {
        units: Some(3.0),
        lower: true,
        deadline_ms: Some(700),
        headers: vec![("x-shop".into(), "a b".into())],
    };
    assert_eq!(
        decode(&encode_verdict(1, 1, 700, 3.0, b"x-shop: a b\n")),
        Ok(Verdict::GoOn(all))
    );
    let invalid: [(&[u8], &str); 16] = [
        (&encode_verdict(4, 0, 0, 0.0, b""), "kind"),
        (&encode_verdict(1, 2, 0, 0.0, b""), "lower"),
        (&encode_verdict(1, 0, 701, 0.0, b""), "later"),
        (&encode_verdict(1, 0, 0, 1.0, b""), "are below"),
        (&encode_verdict(1, 0, 0, 6.5, b""), "are below"),
        (&encode_verdict(1, 0, 0, f64::NAN, b""), "are below"),
        (&encode_verdict(1, 0, 0, f64::INFINITY, b""), "are below"),
        (&encode_verdict(1, 0, 0, -2.0, b""), "are below"),
        (&encode_verdict(2, 0, 3_600_001, 0.0, b""), "hour"),
        (
            &encode_verdict(1, 0, 0, 0.0, b"x-shop: a\r\nSet-Cookie: b\n"),
            "visible",
        ),
        (&encode_verdict(1, 0, 0, 0.0, b"content-length: 5\n"), "x-"),
        (
            &encode_verdict(1, 0, 0, 0.0, b"x-trace-id: 5\n"),
            "reserved",
        ),
        (&encode_verdict(1, 0, 0, 0.0, b"x-shop: \xff\n"), "UTF-8"),
        (&encode_verdict(1, 0, 0, 0.0, b"x-shop: a"), "line feed"),
        (&encode_verdict(1, 0, 0, 0.0, b"x-a b: c\n"), "a-z"),
        (&encode_verdict(1, 0, 0, 0.0, &b"x-a: b\n".repeat(17)), "16"),
    ];
    for (bytes, expected) in invalid {
        let reason = decode(bytes).expect_err("the verdict is invalid");
        assert!(
            reason.contains(expected),
            "the reason {reason:?} contains {expected:?}"
        );
    }
    let mut too_long = encode_verdict(1, 0, 0, 0.0, b"");
    too_long.push(0);
    assert!(decode(&too_long).is_err() && decode(&too_long[..15]).is_err());
}

#[test]
fn verdicts_are_merged_until_the_first_rejection() {
    let mut merged = Changes::default();
    let mut request = sample_request();
    let verdict_with = |units, ms: Option<u32>, name: &str| {
        Verdict::GoOn(Changes {
            units,
            lower: ms.is_some(),
            deadline_ms: ms,
            headers: vec![("x-a".into(), name.into())],
        })
    };
    assert_eq!(
        merge_verdict(
            &mut merged,
            &mut request,
            verdict_with(Some(4.0), None, "first")
        ),
        None
    );
    assert_eq!(
        merge_verdict(
            &mut merged,
            &mut request,
            verdict_with(Some(3.0), Some(500), "second")
        ),
        None
    );
    assert_eq!(
        (request.units, request.left_ms, merged.lower),
        (4.0, 500, true)
    );
    assert_eq!(merged.headers, [("x-a".to_string(), "first".to_string())]);
    assert_eq!(
        merge_verdict(&mut merged, &mut request, FailurePolicy::Refuse.verdict()),
        Some(Verdict::Refuse { wait_ms: 1_000 })
    );
    assert_eq!(
        merge_verdict(&mut merged, &mut request, FailurePolicy::Open.verdict()),
        None
    );
    assert_eq!(
        merge_verdict(&mut merged, &mut request, FailurePolicy::Fail.verdict()),
        Some(Verdict::Fail)
    );
    let selector = RequestSelector {
        plans: vec!["lille".into()],
        classes: vec![],
        customers: vec![10..=20, 30..=30],
    };
    let matches: Vec<bool> = [9, 10, 20, 21, 30]
        .iter()
        .map(|c| selector.matches(*c, "lille", "any"))
        .collect();
    assert_eq!(matches, [false, true, true, false, true]);
    assert!(!selector.matches(10, "stor", "any"));
}

#[test]
fn record_has_the_documented_layout() {
    let record = abi::encode_request_record(&sample_request());
    assert_eq!(record[..8], 4_512_345_678u64.to_le_bytes());
    assert_eq!(record[8..16], 2.0f64.to_le_bytes());
    assert_eq!(record[16..24], [188, 2, 0, 0, 1, 0, 0, 0]);
    assert_eq!(record[24..32], [13, 0, 5, 0, 10, 0, 9, 0]);
    assert_eq!(&record[32..], b"balance-checklillex-till: 7\namount=50");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn arbitrary_verdicts_only_make_permitted_changes(bytes in prop::collection::vec(any::<u8>(), 0..60)) {
        if let Ok(Verdict::GoOn(changes)) = decode_verdict(&bytes, &sample_request(), 6.0) {
            prop_assert!(changes.units.is_none_or(|u| (2.0..=6.0).contains(&u)));
            prop_assert!(changes.deadline_ms.is_none_or(|ms| ms <= 700));
            let is_visible_ascii = |t: &str| t.bytes().all(|b| (b' '..=b'~').contains(&b));
            prop_assert!(changes.headers.iter().all(|(n, v)| n.starts_with("x-") && is_visible_ascii(n) && is_visible_ascii(v)));
        }
    }
}
