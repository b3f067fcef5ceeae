//! Tests of the health reports between gateways: a failing server is soon ejected by all, probed by one gateway at a time, and
//! used again once it has recovered.

mod common;
use common::{sent_server, unlimited_settings, TestGateway};
use frosthatch_traffic_control::{
    CompletionStatus, Event, HealthReports, ListKind, RequestId, ServerEntry, ServerId, Settings,
    Timer,
};
use std::collections::BTreeMap;

const GATEWAYS: u32 = 12;
/// Number of servers, so few that all gateways use all of them.
const SERVERS: usize = 18;
/// Time between two steps of a run.
const STEP_US: u64 = 50_000;

struct Fleet {
    gateways: Vec<TestGateway>,
    /// Indices of the gateways that neither send nor get reports.
    unreachable_gateways: Vec<u32>,
    /// Returns whether an attempt of this gateway at this server fails.
    fails: fn(u32, &ServerId) -> bool,
    /// Number of sends in the last run, by gateway and server.
    sends: BTreeMap<(u32, ServerId), usize>,
    /// Whether the gateways exchange health reports.
    exchanges_reports: bool,
    /// Attempts in flight: gateway, end, request, number and server.
    in_flight: Vec<(u32, u64, RequestId, u32, ServerId)>,
}

impl Fleet {
    fn new(exchanges_reports: bool, fails: fn(u32, &ServerId) -> bool) -> Fleet {
        let start_gateway = |gateway_index: u32| {
            let settings = Settings {
                gateways: GATEWAYS,
                gateway_index,
                ..unlimited_settings()
            };
            let mut gateway = TestGateway::with_seed(settings, u64::from(gateway_index));
            gateway.update_servers(
                ListKind::Complete,
                (0..SERVERS)
                    .map(|n| ServerEntry::ready(&format!("s{n}"), "a"))
                    .collect(),
            );
            gateway
        };
        Fleet {
            gateways: (0..GATEWAYS).map(start_gateway).collect(),
            unreachable_gateways: Vec::new(),
            fails,
            sends: BTreeMap::new(),
            exchanges_reports,
            in_flight: Vec::new(),
        }
    }

    /// Runs the fleet. Each gateway gets forty requests a second, which take three steps at healthy servers, and reports five
    /// times a second.
    fn run(&mut self, seconds: u64) {
        self.sends.clear();
        for step in 0..seconds * 1_000_000 / STEP_US {
            for gateway_index in 0..GATEWAYS {
                let gateway = &mut self.gateways[gateway_index as usize];
                gateway.now += STEP_US;
                if step % 20 == 0 {
                    gateway.handle(Event::Timer(Timer::Interval));
                }
                let now = gateway.now;
                let (due, later) = std::mem::take(&mut self.in_flight)
                    .into_iter()
                    .partition(|o| o.0 == gateway_index && o.1 <= now);
                self.in_flight = later;
                let due: Vec<(u32, u64, RequestId, u32, ServerId)> = due;
                for (_, _, id, attempt, server) in due {
                    gateway.end_attempt(
                        id,
                        attempt,
                        &server,
                        CompletionStatus::Served,
                        3 * STEP_US,
                    );
                }
                for _ in 0..2 {
                    let (id, mut actions) = self.gateways[gateway_index as usize].request("c");
                    let mut attempt = 0;
                    while let Some(server) = sent_server(&actions) {
                        *self
                            .sends
                            .entry((gateway_index, server.clone()))
                            .or_default() += 1;
                        if !(self.fails)(gateway_index, &server) {
                            self.in_flight.push((
                                gateway_index,
                                now + 3 * STEP_US,
                                id,
                                attempt,
                                server,
                            ));
                            break;
                        }
                        actions = self.gateways[gateway_index as usize].end_attempt(
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

    /// Delivers the health reports of all reachable gateways to each other.
    fn exchange_reports(&mut self) {
        let reports: Vec<HealthReports> = self
            .gateways
            .iter()
            .map(|gateway| gateway.inner.health_reports())
            .collect();
        for (gateway_index, gateway) in (0..).zip(&mut self.gateways) {
            for (from, reports) in (0..).zip(&reports) {
                if from != gateway_index
                    && !self.unreachable_gateways.contains(&gateway_index)
                    && !self.unreachable_gateways.contains(&from)
                {
                    gateway.handle(Event::HealthReports {
                        from,
                        reports: reports.clone(),
                    });
                }
            }
        }
    }

    /// Returns the number of sends to a server in the last run.
    fn sent_to(&self, server: &str) -> usize {
        self.sends
            .iter()
            .filter(|((_, s), _)| *s.0 == *server)
            .map(|(_, n)| n)
            .sum()
    }

    /// Returns the number of ejected servers of each gateway.
    fn ejected_servers(&self) -> Vec<usize> {
        self.gateways
            .iter()
            .map(|gateway| gateway.inner.subset_counts()[2])
            .collect()
    }
}

#[test]
fn a_failing_server_is_detected_by_few_and_probed_by_one_gateway_at_a_time() {
    let fails = |_, s: &ServerId| &*s.0 == "s7";
    let mut without_reports = Fleet::new(false, fails);
    let mut with_reports = Fleet::new(true, fails);
    without_reports.run(3);
    with_reports.run(3);
    let sends_until_detected = (without_reports.sent_to("s7"), with_reports.sent_to("s7"));
    without_reports.run(30);
    with_reports.run(30);
    let sends_after_detection = (without_reports.sent_to("s7"), with_reports.sent_to("s7"));
    assert!(
        with_reports
            .ejected_servers()
            .iter()
            .all(|ejected| *ejected == 1),
        "each gateway ejects one server: {:?}",
        with_reports.ejected_servers()
    );
    // In 30 s with 14,400 requests one gateway at a time probes the server every four seconds.
    assert!(
        (5..=10).contains(&sends_after_detection.1),
        "sends to the ejected server without and with reports: {sends_after_detection:?}; expected 5 to 10 with reports"
    );
    assert!(
        sends_after_detection.1 * 4 < sends_after_detection.0,
        "sends to the ejected server without and with reports: {sends_after_detection:?}; expected under a quarter with reports"
    );
    assert!(
        sends_until_detected.1 <= sends_until_detected.0,
        "sends until the server is detected, without and with reports: {sends_until_detected:?}; expected no more with reports"
    );
    // The server has recovered: all gateways use it within seconds.
    with_reports.fails = |_, _| false;
    with_reports.run(5);
    assert!(with_reports
        .ejected_servers()
        .iter()
        .all(|ejected| *ejected == 0));
    with_reports.run(5);
    // The server gets as many requests as the others, within noise.
    assert!(
        (40..160).contains(&with_reports.sent_to("s7")),
        "{} requests to the recovered server, expected 40 to 159",
        with_reports.sent_to("s7")
    );
}

/// A gateway with a faulty network reports all servers as failing; the others eject none of them.
#[test]
fn servers_that_a_single_gateway_reports_are_not_ejected_by_others() {
    let mut fleet = Fleet::new(true, |gateway_index, _| gateway_index == 3);
    fleet.run(10);
    let others = fleet
        .ejected_servers()
        .into_iter()
        .enumerate()
        .filter(|(n, _)| *n != 3)
        .all(|(_, ejected)| ejected == 0);
    assert!(
        others,
        "no other gateway ejects a server: {:?}",
        fleet.ejected_servers()
    );
    // A gateway that fails to reach some servers only is still a single reporter.
    let mut fleet = Fleet::new(true, |gateway_index, s| {
        gateway_index == 3 && s.0.ends_with('1')
    });
    fleet.run(10);
    assert!(
        fleet.ejected_servers().iter().all(|ejected| *ejected == 0),
        "no gateway ejects a server: {:?}",
        fleet.ejected_servers()
    );
}

/// A gateway that gets no reports ejects no server; it relies on its own outcomes.
#[test]
fn a_gateway_without_reports_ejects_no_server() {
    let mut fleet = Fleet::new(true, |_, s| &*s.0 == "s7");
    fleet.unreachable_gateways = vec![5];
    fleet.run(10);
    let ejected = fleet.ejected_servers();
    assert!(
        ejected
            .iter()
            .enumerate()
            .all(|(n, ejected)| *ejected == usize::from(n != 5)),
        "each gateway but the sixth ejects one server: {ejected:?}"
    );
}

/// Reports about a server's previous process no longer hold after its restart.
#[test]
fn a_restarted_server_is_not_ejected_for_failures_before_its_restart() {
    let mut fleet = Fleet::new(true, |_, s| &*s.0 == "s7");
    fleet.run(4);
    assert!(fleet.ejected_servers().iter().all(|ejected| *ejected == 1));
    fleet.fails = |_, _| false;
    for gateway in &mut fleet.gateways {
        gateway.now += 10_000;
        let started_us = gateway.now;
        gateway.update_servers(
            ListKind::Partial,
            vec![ServerEntry {
                started_us,
                ..ServerEntry::ready("s7", "a")
            }],
        );
    }
    fleet.exchange_reports();
    assert!(
        fleet.ejected_servers().iter().all(|ejected| *ejected == 0),
        "no gateway ejects a server: {:?}",
        fleet.ejected_servers()
    );
}
