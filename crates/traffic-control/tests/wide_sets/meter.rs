//! Tests of quotas that are kept by the meter alone, without a counter.

use crate::common::{sent_server, TestGateway};
use crate::GATEWAYS;
use frosthatch_traffic_control::{AttemptOutcome, CompletionStatus, Event, Settings};

/// Simulates a customer with a quota of 2 units a second at many gateways that have no counter and exchange neither peer messages
/// nor usage reports. Each second it sends `requests_per_s` requests of one unit, spread evenly over the gateways; `is_metered`
/// says whether outcomes carry its metered use. Returns how many requests are admitted in each second.
fn admitted_without_counter(requests_per_s: usize, is_metered: bool) -> Vec<usize> {
    let mut settings = Settings {
        gateways: GATEWAYS,
        has_counter: false,
        ..Settings::example()
    };
    settings.peer_messages = false;
    settings.usage_report_ttl_us = 0;
    settings.max_units = 4.0;
    settings.plans[0].rate = 2.0;
    settings.plans[0].burst = 8.0;
    settings.plans[0].overrun_cost = 0.6;
    settings.plans[0].price = 1.0;
    let mut gateways: Vec<TestGateway> = (0..GATEWAYS)
        .map(|gateway_index| {
            TestGateway::with_seed(
                Settings {
                    gateway_index,
                    ..settings.clone()
                },
                gateway_index.into(),
            )
            .with_listed_servers(4)
        })
        .collect();
    let mut requested = 0;
    let mut admitted = vec![0; 40];
    let start_us = gateways[0].now;
    for second in 0..admitted.len() {
        for n in 0..requests_per_s {
            requested += 1;
            let gateway = &mut gateways[requested * 37 % GATEWAYS as usize];
            gateway.now =
                start_us + (second as u64 * 1_000_000) + (n * 1_000_000 / requests_per_s) as u64;
            let (id, actions) = gateway.request_with(|r| {
                r.gateway_count = GATEWAYS;
                r.units = 1.0;
            });
            let Some(server) = sent_server(&actions) else {
                continue;
            };
            admitted[second] += 1;
            let mut o = AttemptOutcome::new(id, 0, server, CompletionStatus::Served, 0);
            // The use in the last complete period, as a multiple of the quota.
            let metered_use = admitted[second.saturating_sub(1)] as f64 / 2.0;
            o.closed = true;
            o.metered_use = is_metered.then_some(metered_use);
            gateway.handle(Event::Outcome(o));
        }
    }
    admitted
}

/// An even slice is a hundredth of the quota; gateways that kept to it would reject nearly all requests.
#[test]
fn without_a_counter_a_customer_within_its_quota_is_admitted() {
    for is_metered in [true, false] {
        let admitted: usize = admitted_without_counter(1, is_metered).iter().sum();
        assert!(
            admitted >= 36,
            "{admitted} of 40 requests admitted, minimum 36; metered: {is_metered}"
        );
    }
}

/// A customer with requests of six times its quota is limited once the meter shows the overuse.
#[test]
fn without_a_counter_the_meter_limits_a_customer_that_overuses() {
    let admitted = admitted_without_counter(12, true);
    let late: usize = admitted[10..].iter().sum();
    let quota_multiple = late as f64 / (admitted.len() - 10) as f64 / 2.0;
    assert!(
        (0.75..=2.25).contains(&quota_multiple),
        "{quota_multiple} times the quota admitted of six times requested, expected 0.75 to 2.25: {admitted:?}"
    );
}
