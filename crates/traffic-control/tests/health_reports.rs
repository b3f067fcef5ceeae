//! Health reports between gateways: a failing server is soon ejected by all, tried by one gateway at a time, and used again once it
//! has recovered.

mod common;
use common::{sent_server, unlimited_settings, Rig};
use frosthatch_traffic_control::{
    CompletionStatus, Event, HealthReports, ListKind, RequestId, ServerEntry, ServerId, Settings,
    Timer,
};
use std::collections::BTreeMap;

const GATEWAYS: u32 = 12;
/// So few that all gateways use all of them.
const SERVERS: usize = 18;
const STEP: u64 = 50_000;

struct Fleet {
    gateways: Vec<Rig>,
    /// Gateways that neither send nor get reports.
    unreachable_gateways: Vec<u32>,
    /// Whether an attempt of a gateway at a server fails.
    fails: fn(u32, &ServerId) -> bool,
    /// Sends in the last run, by gateway and server.
    sends: BTreeMap<(u32, ServerId), usize>,
    exchanges_reports: bool,
    /// Attempts in flight: gateway, when it ends, request, attempt and server.
    in_flight: Vec<(u32, u64, RequestId, u32, ServerId)>,
}

impl Fleet {
    fn new(talk: bool, bad: fn(u32, &ServerId) -> bool) -> Fleet {
        let one = |me: u32| {
            let settings = Settings {
                gateways: GATEWAYS,
                gateway_index: me,
                ..unlimited_settings()
            };
            let mut rig = Rig::seeded(settings, u64::from(me));
            rig.update_servers(
                ListKind::Complete,
                (0..SERVERS)
                    .map(|n| ServerEntry::ready(&format!("s{n}"), "a"))
                    .collect(),
            );
            rig
        };
        Fleet {
            gateways: (0..GATEWAYS).map(one).collect(),
            unreachable_gateways: Vec::new(),
            fails: bad,
            sends: BTreeMap::new(),
            exchanges_reports: talk,
            in_flight: Vec::new(),
        }
    }

    /// Each gateway gets forty requests a second, which take three steps at healthy servers, and reports five times a second.
    fn run(&mut self, seconds: u64) {
        self.sends.clear();
        for step in 0..seconds * 1_000_000 / STEP {
            for me in 0..GATEWAYS {
                let rig = &mut self.gateways[me as usize];
                rig.now += STEP;
                if step % 20 == 0 {
                    rig.handle(Event::Timer(Timer::Interval));
                }
                let now = rig.now;
                let (due, later) = std::mem::take(&mut self.in_flight)
                    .into_iter()
                    .partition(|o| o.0 == me && o.1 <= now);
                self.in_flight = later;
                let due: Vec<(u32, u64, RequestId, u32, ServerId)> = due;
                for (_, _, id, attempt, server) in due {
                    rig.end_attempt(id, attempt, &server, CompletionStatus::Served, 3 * STEP);
                }
                for _ in 0..2 {
                    let (id, mut actions) = self.gateways[me as usize].request("c");
                    let mut attempt = 0;
                    while let Some(server) = sent_server(&actions) {
                        *self.sends.entry((me, server.clone())).or_default() += 1;
                        if !(self.fails)(me, &server) {
                            self.in_flight
                                .push((me, now + 3 * STEP, id, attempt, server));
                            break;
                        }
                        actions = self.gateways[me as usize].end_attempt(
                            id,
                            attempt,
                            &server,
                            CompletionStatus::ServerError,
                            1_000,
                        );
                        attempt += 1;
                    }
                }
            }
            if self.exchanges_reports && step % 4 == 0 {
                self.exchange_reports();
            }
        }
    }

    fn exchange_reports(&mut self) {
        let reports: Vec<HealthReports> = self
            .gateways
            .iter()
            .map(|r| r.gateway.health_reports())
            .collect();
        for (me, rig) in (0..).zip(&mut self.gateways) {
            for (from, reports) in (0..).zip(&reports) {
                if from != me
                    && !self.unreachable_gateways.contains(&me)
                    && !self.unreachable_gateways.contains(&from)
                {
                    rig.handle(Event::HealthReports {
                        from,
                        reports: reports.clone(),
                    });
                }
            }
        }
    }

    fn sent_to(&self, server: &str) -> usize {
        self.sends
            .iter()
            .filter(|((_, s), _)| *s.0 == *server)
            .map(|(_, n)| n)
            .sum()
    }

    fn ejected_servers(&self) -> Vec<usize> {
        self.gateways
            .iter()
            .map(|r| r.gateway.subset_counts()[2])
            .collect()
    }
}

#[test]
fn a_failing_server_is_detected_by_few_and_tried_by_one_at_a_time() {
    let bad = |_, s: &ServerId| &*s.0 == "s7";
    let mut alone = Fleet::new(false, bad);
    let mut together = Fleet::new(true, bad);
    alone.run(3);
    together.run(3);
    let found_out = (alone.sent_to("s7"), together.sent_to("s7"));
    alone.run(30);
    together.run(30);
    let kept_out = (alone.sent_to("s7"), together.sent_to("s7"));
    // Of 14,400 requests; one in each interval of four seconds.
    assert!(
        together.ejected_servers().iter().all(|out| *out == 1),
        "{:?}",
        together.ejected_servers()
    );
    assert!((5..=10).contains(&kept_out.1), "{kept_out:?}");
    assert!(kept_out.1 * 4 < kept_out.0, "{kept_out:?}");
    assert!(found_out.1 <= found_out.0, "{found_out:?}");
    // It has recovered: all use it within seconds.
    together.fails = |_, _| false;
    together.run(5);
    assert!(together.ejected_servers().iter().all(|out| *out == 0));
    together.run(5);
    // As much as the others, within noise.
    assert!(
        (40..160).contains(&together.sent_to("s7")),
        "{}",
        together.sent_to("s7")
    );
}

/// A gateway with a faulty network reports all servers, and ejects none of them for the others.
#[test]
fn a_gateway_that_reports_all_servers_ejects_none() {
    let mut fleet = Fleet::new(true, |me, _| me == 3);
    fleet.run(10);
    let others = fleet
        .ejected_servers()
        .into_iter()
        .enumerate()
        .filter(|(n, _)| *n != 3)
        .all(|(_, out)| out == 0);
    assert!(others, "{:?}", fleet.ejected_servers());
    // It can reach some servers only: it is still one reporter.
    let mut fleet = Fleet::new(true, |me, s| me == 3 && s.0.ends_with('1'));
    fleet.run(10);
    assert!(
        fleet.ejected_servers().iter().all(|out| *out == 0),
        "{:?}",
        fleet.ejected_servers()
    );
}

/// A gateway without reports ejects nothing, but avoids the server nearly as before.
#[test]
fn a_gateway_without_reports_goes_by_its_own_outcomes() {
    let mut fleet = Fleet::new(true, |_, s| &*s.0 == "s7");
    fleet.unreachable_gateways = vec![5];
    fleet.run(10);
    let out = fleet.ejected_servers();
    assert!(
        out.iter()
            .enumerate()
            .all(|(n, out)| *out == usize::from(n != 5)),
        "{out:?}"
    );
}

/// What was known of a server's previous process does not hold any more.
#[test]
fn a_restarted_server_is_not_ejected_for_its_past() {
    let mut fleet = Fleet::new(true, |_, s| &*s.0 == "s7");
    fleet.run(4);
    assert!(fleet.ejected_servers().iter().all(|out| *out == 1));
    fleet.fails = |_, _| false;
    for rig in &mut fleet.gateways {
        rig.now += 10_000;
        let started_us = rig.now;
        rig.update_servers(
            ListKind::Partial,
            vec![ServerEntry {
                started_us,
                ..ServerEntry::ready("s7", "a")
            }],
        );
    }
    fleet.exchange_reports();
    assert!(
        fleet.ejected_servers().iter().all(|out| *out == 0),
        "{:?}",
        fleet.ejected_servers()
    );
}
