use super::{
    announce_support, OverloadAbatement, OverloadReporter, HOST_REPORT, REPORT_VALIDITY_S,
};
use crate::codec::{find, Avp, Message};
use crate::dictionary::code;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SECOND_US: u64 = 1_000_000;

fn request(announces_support: bool) -> Message {
    let mut message = Message::default();
    if announces_support {
        announce_support(&mut message);
    }
    message
}

/// Returns the sequence number, reduction and validity of the report in an answer.
fn report(
    reporter: &mut OverloadReporter,
    now_us: u64,
    announces_support: bool,
) -> Option<(u64, u32, u32)> {
    let mut answer = Message::default();
    reporter.add_report(now_us, &request(announces_support), &mut answer);
    assert_eq!(
        answer.find(code::OC_SUPPORTED_FEATURES).is_some(),
        announces_support
    );
    let group = answer
        .find(code::OC_OLR)?
        .group()
        .expect("OC-OLR is a valid group");
    let read_u32 = |code| {
        find(&group, code)
            .expect("report contains the AVP")
            .u32()
            .expect("AVP is an Unsigned32")
    };
    let sequence = find(&group, code::OC_SEQUENCE_NUMBER)
        .expect("report contains a sequence number")
        .u64()
        .expect("sequence number is an Unsigned64");
    Some((
        sequence,
        read_u32(code::OC_REDUCTION_PERCENTAGE),
        read_u32(code::OC_VALIDITY_DURATION),
    ))
}

#[test]
fn clients_that_announce_support_get_the_reduction() {
    let mut reporter = OverloadReporter::default();
    reporter.record_answer(SECOND_US, false);
    assert_eq!(
        report(&mut reporter, SECOND_US, true),
        None,
        "no report before the first rejection"
    );
    (0..40).for_each(|n| reporter.record_answer(SECOND_US, n % 4 == 0));
    let (first, percent, validity) =
        report(&mut reporter, SECOND_US, true).expect("a report after rejections");
    assert!(
        (20..=28).contains(&percent) && validity == REPORT_VALIDITY_S,
        "{percent}"
    );
    assert_eq!(
        report(&mut reporter, SECOND_US, true),
        Some((first, percent, validity)),
        "an unchanged reduction repeats the report"
    );
    assert_eq!(report(&mut reporter, SECOND_US, false), None);
    // After the overload, one more report ends the reduction.
    (0..400).for_each(|n| reporter.record_answer(20 * SECOND_US + n * 20_000, false));
    let (second, percent, validity) =
        report(&mut reporter, 28 * SECOND_US, true).expect("a report that ends the reduction");
    assert!(second > first && percent == 0 && validity == 0);
}

fn answer(sequence: u64, percent: u32, validity: u32) -> Message {
    let report = [
        Avp::of_u64(code::OC_SEQUENCE_NUMBER, sequence),
        Avp::of_u32(code::OC_REPORT_TYPE, HOST_REPORT),
        Avp::of_u32(code::OC_REDUCTION_PERCENTAGE, percent),
        Avp::of_u32(code::OC_VALIDITY_DURATION, validity),
    ];
    Message::default().with_avp(Avp::of_group(code::OC_OLR, &report))
}

#[test]
fn a_servers_report_applies_within_bounds_and_an_older_one_does_not() {
    let mut abatement = OverloadAbatement::default();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut count_abated = |abatement: &OverloadAbatement, now_us| {
        let requests = 0..1_000;
        requests
            .filter(|_| abatement.should_abate(now_us, &mut rng))
            .count()
    };
    assert_eq!(count_abated(&abatement, 0), 0);
    abatement.update(0, &answer(5, 100, 86_400));
    assert!(
        (850..950).contains(&count_abated(&abatement, SECOND_US)),
        "the reduction is at most MAX_REDUCTION_PERCENT"
    );
    assert_eq!(
        count_abated(&abatement, 61 * SECOND_US),
        0,
        "the validity is at most MAX_VALIDITY_S"
    );
    abatement.update(SECOND_US, &answer(5, 0, 0));
    assert!(
        count_abated(&abatement, 2 * SECOND_US) > 0,
        "a report without a higher sequence number is ignored"
    );
    abatement.update(2 * SECOND_US, &answer(6, 0, 0));
    assert_eq!(count_abated(&abatement, 3 * SECOND_US), 0);
    abatement.update(3 * SECOND_US, &answer(7, 5_000, 60));
    assert_eq!(
        count_abated(&abatement, 4 * SECOND_US),
        0,
        "an invalid percentage is treated as 0"
    );
}

#[test]
fn a_servers_report_does_not_reach_clients() {
    let mut forwarded = answer(5, 50, 30);
    OverloadReporter::default().add_report(0, &request(false), &mut forwarded);
    assert!(forwarded.avps.is_empty());
}
