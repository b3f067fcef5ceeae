//! When servers started, by the gateway's own clock.
//!
//! Lists tell a server's start by the wall clock, which may be stepped at any time. What that means is worked out once,
//! when a start is first told, as an age by the wall clock of that moment; from then on only monotonic time counts. A start
//! that cannot be true is taken as the rule on slow start needs it, but never lets a warm fleet be refused.

use crate::ports::{Endpoint, EndpointState};
use frosthatch_traffic_control::Micros;
use std::collections::HashMap;

/// A server may have run so long before a list tells it.
const TOLD_LATE_US: Micros = 2_500_000;
/// Servers that are remembered at most: those told longest ago make room.
const MOST_KNOWN: usize = 16_384;
/// As the decisions have it: the server started long ago.
const LONG_AGO: Micros = 0;

#[derive(Clone, Copy, Debug)]
struct Known {
    boot_ms: u64,
    /// By the gateway's clock.
    started: Micros,
    told_at: Micros,
}

/// What a list is to whoever works out starts from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The servers were there before this process heard of any.
    First,
    /// A server that is new in it has joined since the list before.
    Later,
}

/// The servers whose starts were told so far.
#[derive(Debug, Default)]
pub struct ServerStarts {
    known: HashMap<String, Known>,
    last_told: Micros,
}

impl ServerStarts {
    /// When each of these servers started, by the gateway's clock; [`LONG_AGO`] where that is all that matters. `wall_us`: the
    /// wall clock now.
    pub fn of(
        &mut self,
        now: Micros,
        wall_us: Micros,
        told: Told,
        members: &[Endpoint],
    ) -> Vec<Micros> {
        let most_lie_ahead = told == Told::First && most_lie_ahead(wall_us, members);
        let starts = members.iter().map(|m| {
            let started = match self.known.get(&m.uid) {
                Some(known) if known.boot_ms == m.started_ms => known.started,
                before => self.started(now, wall_us, told, most_lie_ahead, before.copied(), m),
            };
            (m, started)
        });
        let starts: Vec<(&Endpoint, Micros)> = starts.collect();
        for (m, started) in &starts {
            let known = Known {
                boot_ms: m.started_ms,
                started: *started,
                told_at: now,
            };
            self.known.insert(m.uid.clone(), known);
        }
        self.last_told = now;
        self.forget();
        starts.into_iter().map(|(_, started)| started).collect()
    }

    fn started(
        &self,
        now: Micros,
        wall_us: Micros,
        told: Told,
        most_lie_ahead: bool,
        before: Option<Known>,
        member: &Endpoint,
    ) -> Micros {
        if member.started_ms == 0 {
            return LONG_AGO;
        }
        let Some(age) = wall_us.checked_sub(member.started_ms.saturating_mul(1_000)) else {
            // A start in the future: the clocks differ, and by how much nobody knows.
            return if most_lie_ahead { LONG_AGO } else { now };
        };
        // Not before it was last told otherwise, or the list was last told without it.
        let earliest = match (before, told) {
            (Some(known), _) => known.told_at,
            (None, Told::Later) => self.last_told,
            (None, Told::First) => 0,
        };
        now.saturating_sub(age)
            .max(earliest.saturating_sub(TOLD_LATE_US))
            .max(1)
    }

    fn forget(&mut self) {
        if self.known.len() <= MOST_KNOWN {
            return;
        }
        let mut times: Vec<Micros> = self.known.values().map(|k| k.told_at).collect();
        times.sort_unstable();
        let oldest_kept = times[times.len() - MOST_KNOWN / 2];
        self.known.retain(|_, k| k.told_at >= oldest_kept);
    }
}

/// More than half of the ready servers started in the future: they are up, and it is the clock that is wrong.
fn most_lie_ahead(wall_us: Micros, members: &[Endpoint]) -> bool {
    let ready = members.iter().filter(|m| m.state == EndpointState::Ready);
    let ahead = ready
        .clone()
        .filter(|m| m.started_ms.saturating_mul(1_000) > wall_us);
    ahead.count() * 2 > ready.count()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ports::Protocol;

    const S: Micros = 1_000_000;
    const HOUR: Micros = 3_600 * S;
    /// The wall clock and the gateway's differ by this at first.
    const WALL: Micros = 1_000 * HOUR;

    fn member(uid: &str, boot_us: Micros) -> Endpoint {
        Endpoint {
            uid: uid.into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: String::new(),
            cell: 0,
            state: EndpointState::Ready,
            weight: 1.0,
            started_ms: boot_us / 1_000,
            protocol: Protocol::Http1,
        }
    }

    #[test]
    fn a_start_is_worked_out_once_and_no_step_changes_it() {
        let mut starts = ServerStarts::default();
        let (now, list) = (100 * S, [member("a", WALL - 30 * S), member("b", 0)]);
        assert_eq!(starts.of(now, WALL, Told::First, &list), [70 * S, LONG_AGO]);
        for wall in [WALL - HOUR, WALL + HOUR] {
            assert_eq!(
                starts.of(now + S, wall, Told::Later, &list),
                [70 * S, LONG_AGO]
            );
        }
    }

    #[test]
    fn one_that_joins_is_no_older_than_the_list_before() {
        let mut starts = ServerStarts::default();
        starts.of(100 * S, WALL, Told::First, &[member("a", 0)]);
        // The clock of all machines went back an hour, or forward, before it started.
        for (uid, wall, boot) in [("b", WALL - HOUR, WALL - HOUR), ("c", WALL + HOUR, WALL)] {
            let started = starts.of(101 * S, wall, Told::Later, &[member(uid, boot)]);
            assert!(
                (101 * S - TOLD_LATE_US - S..=101 * S).contains(&started[0]),
                "{uid}: {started:?}"
            );
        }
        // It has started again.
        let started = starts.of(200 * S, WALL + HOUR, Told::Later, &[member("a", WALL)]);
        assert!(started[0] >= 100 * S - TOLD_LATE_US);
        assert_eq!(
            starts.of(201 * S, WALL, Told::Later, &[member("d", WALL + S)]),
            [201 * S]
        );
    }

    #[test]
    fn a_fleet_that_was_there_before_is_warm_whatever_its_starts_say() {
        let ahead = WALL + HOUR;
        let mut starts = ServerStarts::default();
        let all = [member("a", ahead), member("b", ahead), member("c", ahead)];
        assert_eq!(starts.of(5 * S, WALL, Told::First, &all), [LONG_AGO; 3]);
        let mut starts = ServerStarts::default();
        let one = [member("a", 0), member("b", WALL - HOUR), member("c", ahead)];
        assert_eq!(starts.of(5 * S, WALL, Told::First, &one)[2], 5 * S);
    }

    #[test]
    fn what_is_remembered_is_bounded() {
        let mut starts = ServerStarts::default();
        for n in 0..(MOST_KNOWN as u64 * 2) {
            starts.of(n, WALL, Told::Later, &[member(&n.to_string(), WALL)]);
        }
        assert!(starts.known.len() <= MOST_KNOWN);
    }
}
