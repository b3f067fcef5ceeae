//! What gateways tell each other of servers: one that fails is left alone by all soon, tried by one at a time, and back once it is well.

mod common;
use common::*;
use frosthatch_traffic_control::*;
use std::collections::BTreeMap;

const GATEWAYS: u32 = 12;
/// So few that all are used by all.
const SERVERS: usize = 18;
const STEP: u64 = 50_000;

struct Fleet {
    all: Vec<Rig>,
    /// Gateways that hear nobody and whom nobody hears.
    deaf: Vec<u32>,
    /// What comes of an attempt at a server by a gateway.
    bad: fn(u32, &ServerId) -> bool,
    /// Sends in the last time, by gateway and server.
    sends: BTreeMap<(u32, ServerId), usize>,
    talk: bool,
    /// Under way: by whom, when it ends, and what.
    out: Vec<(u32, u64, RequestId, u32, ServerId)>,
}

impl Fleet {
    fn new(talk: bool, bad: fn(u32, &ServerId) -> bool) -> Fleet {
        let one = |me: u32| {
            let settings = Settings {
                gateways: GATEWAYS,
                me,
                ..wide()
            };
            let mut rig = Rig::seeded(settings, u64::from(me));
            rig.list(
                ListKind::Complete,
                (0..SERVERS)
                    .map(|n| ServerEntry::ready(&format!("s{n}"), "a"))
                    .collect(),
            );
            rig
        };
        Fleet {
            all: (0..GATEWAYS).map(one).collect(),
            deaf: Vec::new(),
            bad,
            sends: BTreeMap::new(),
            talk,
            out: Vec::new(),
        }
    }

    /// Each gets forty requests a second, which take three steps at servers that are well, and says what it has to say five times.
    fn run(&mut self, seconds: u64) {
        self.sends.clear();
        for step in 0..seconds * 1_000_000 / STEP {
            for me in 0..GATEWAYS {
                let rig = &mut self.all[me as usize];
                rig.now += STEP;
                if step % 20 == 0 {
                    rig.tell(Event::Timer(Timer::Interval));
                }
                let now = rig.now;
                let (due, later) = std::mem::take(&mut self.out)
                    .into_iter()
                    .partition(|o| o.0 == me && o.1 <= now);
                self.out = later;
                let due: Vec<(u32, u64, RequestId, u32, ServerId)> = due;
                for (_, _, id, attempt, server) in due {
                    rig.end(id, attempt, &server, CompletionStatus::Served, 3 * STEP);
                }
                for _ in 0..2 {
                    let (id, mut actions) = self.all[me as usize].request("c");
                    let mut attempt = 0;
                    while let Some(server) = sent(&actions) {
                        *self.sends.entry((me, server.clone())).or_default() += 1;
                        if !(self.bad)(me, &server) {
                            self.out.push((me, now + 3 * STEP, id, attempt, server));
                            break;
                        }
                        actions = self.all[me as usize].end(
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
            if self.talk && step % 4 == 0 {
                self.say();
            }
        }
    }

    fn say(&mut self) {
        let words: Vec<HealthReports> = self.all.iter().map(|r| r.gateway.words()).collect();
        for (me, rig) in (0..).zip(&mut self.all) {
            for (from, words) in (0..).zip(&words) {
                if from != me && !self.deaf.contains(&me) && !self.deaf.contains(&from) {
                    rig.tell(Event::HealthReports {
                        from,
                        reports: words.clone(),
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

    fn left_alone(&self) -> Vec<usize> {
        self.all.iter().map(|r| r.gateway.choices()[2]).collect()
    }
}

#[test]
fn a_server_that_fails_is_found_out_by_few_and_tried_by_one_at_a_time() {
    let bad = |_, s: &ServerId| &*s.0 == "s7";
    let (mut alone, mut together) = (Fleet::new(false, bad), Fleet::new(true, bad));
    alone.run(3);
    together.run(3);
    let found_out = (alone.sent_to("s7"), together.sent_to("s7"));
    alone.run(30);
    together.run(30);
    let kept_out = (alone.sent_to("s7"), together.sent_to("s7"));
    // Of 14,400 requests; one in each turn of four seconds.
    assert!(
        together.left_alone().iter().all(|out| *out == 1),
        "{:?}",
        together.left_alone()
    );
    assert!((5..=10).contains(&kept_out.1), "{kept_out:?}");
    assert!(kept_out.1 * 4 < kept_out.0, "{kept_out:?}");
    assert!(found_out.1 <= found_out.0, "{found_out:?}");
    // It is well again: all use it within seconds.
    together.bad = |_, _| false;
    together.run(5);
    assert!(together.left_alone().iter().all(|out| *out == 0));
    together.run(5);
    // As much as others, within chance.
    assert!(
        (40..160).contains(&together.sent_to("s7")),
        "{}",
        together.sent_to("s7")
    );
}

/// One whose own network is bad finds all servers bad, and takes none from the others.
#[test]
fn one_that_accuses_all_takes_none_from_the_others() {
    let mut fleet = Fleet::new(true, |me, _| me == 3);
    fleet.run(10);
    let others = fleet
        .left_alone()
        .into_iter()
        .enumerate()
        .filter(|(n, _)| *n != 3)
        .all(|(_, out)| out == 0);
    assert!(others, "{:?}", fleet.left_alone());
    // It can reach a part only: still one witness.
    let mut fleet = Fleet::new(true, |me, s| me == 3 && s.0.ends_with('1'));
    fleet.run(10);
    assert!(
        fleet.left_alone().iter().all(|out| *out == 0),
        "{:?}",
        fleet.left_alone()
    );
}

/// One that hears nobody goes by its own word: nothing is out for it but it does without the server nearly as before.
#[test]
fn one_that_hears_nobody_goes_by_what_it_sees() {
    let mut fleet = Fleet::new(true, |_, s| &*s.0 == "s7");
    fleet.deaf = vec![5];
    fleet.run(10);
    let out = fleet.left_alone();
    assert!(
        out.iter()
            .enumerate()
            .all(|(n, out)| *out == usize::from(n != 5)),
        "{out:?}"
    );
}

/// What was found out of a server's earlier process is void.
#[test]
fn a_server_that_restarted_is_not_left_alone_for_what_was_before() {
    let mut fleet = Fleet::new(true, |_, s| &*s.0 == "s7");
    fleet.run(4);
    assert!(fleet.left_alone().iter().all(|out| *out == 1));
    fleet.bad = |_, _| false;
    for rig in &mut fleet.all {
        rig.now += 10_000;
        let started_us = rig.now;
        rig.list(
            ListKind::Partial,
            vec![ServerEntry {
                started_us,
                ..ServerEntry::ready("s7", "a")
            }],
        );
    }
    fleet.say();
    assert!(
        fleet.left_alone().iter().all(|out| *out == 0),
        "{:?}",
        fleet.left_alone()
    );
}
