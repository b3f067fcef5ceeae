//! Quotas without a counter, by the meter alone.

use crate::common::{sent_server, Rig};
use crate::GATEWAYS;
use frosthatch_traffic_control::{AttemptOutcome, CompletionStatus, Event, Settings};

/// Many gateways with neither a counter nor reports of each other, each with a request of a customer now and then. Its quota is 2
/// units a second; it requests `per_s`, one at a time. Returns how many are admitted in each second, `metered` or not.
fn admitted_without_counter(per_s: usize, metered: bool) -> Vec<usize> {
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
    let mut rigs: Vec<Rig> = (0..GATEWAYS)
        .map(|me| {
            Rig::seeded(
                Settings {
                    gateway_index: me,
                    ..settings.clone()
                },
                me.into(),
            )
            .with_listed(4)
        })
        .collect();
    let mut asked = 0;
    let mut admitted = vec![0; 40];
    let begins = rigs[0].now;
    for second in 0..admitted.len() {
        for n in 0..per_s {
            asked += 1;
            let rig = &mut rigs[asked * 37 % GATEWAYS as usize];
            rig.now = begins + (second as u64 * 1_000_000) + (n * 1_000_000 / per_s) as u64;
            let (id, actions) = rig.request_with(|r| {
                r.gateway_count = GATEWAYS;
                r.units = 1.0;
            });
            let Some(server) = sent_server(&actions) else {
                continue;
            };
            admitted[second] += 1;
            let mut o = AttemptOutcome::new(id, 0, server, CompletionStatus::Served, 0);
            // The use of the last complete period.
            let told = admitted[second.saturating_sub(1)] as f64 / 2.0;
            o.closed = true;
            o.metered_use = metered.then_some(told);
            rig.handle(Event::Outcome(o));
        }
    }
    admitted
}

/// A fleet without a counter does not reject nearly all: an even slice is a hundredth of a quota, and says nothing.
#[test]
fn without_a_counter_a_customer_within_its_quota_is_admitted() {
    for metered in [true, false] {
        let admitted: usize = admitted_without_counter(1, metered).iter().sum();
        assert!(admitted >= 36, "{admitted} of 40, metered {metered}");
    }
}

/// Not all requests are admitted where the meter shows overuse.
#[test]
fn without_a_counter_the_meter_limits_a_customer_that_overuses() {
    let admitted = admitted_without_counter(12, true);
    let late: usize = admitted[10..].iter().sum();
    let times = late as f64 / (admitted.len() - 10) as f64 / 2.0;
    assert!(
        (0.75..=2.25).contains(&times),
        "{times} times its quota of six asked for: {admitted:?}"
    );
}
