//! Checks the protocol's rules on all observations of a soak, with tolerances for a busy machine.

use super::gateways::{COLD_FROM, TIP_AFTER, TIP_MULTIPLE, WARM_AFTER};
use super::record::{
    Attempt, Class, ConnectionKind, Incident, Observations, Request, Transmission, TransmissionEnd,
};
use super::servers::{CORES, WORK};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after its deadline within which an answer may still arrive; it counts as late.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Time after a gateway learned that a server drains within which it may still send new requests to it.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Time after a client has left within which an attempt for it may still reach a server.
const CLIENT_LEFT_GRACE: Duration = Duration::from_millis(100);
/// Permitted excess of the remaining time announced to a server over its client's remaining time.
const REMAINING_TIME_SLACK: Duration = Duration::from_millis(150);
/// Maximum error of timestamps measured on a busy machine.
const MEASUREMENT_SLACK: Duration = Duration::from_millis(100);

/// A violated rule, and the gateway and id of the request that violates it, if there is one.
pub struct Violation {
    pub rule: &'static str,
    pub request: Option<(usize, u64)>,
    pub what: String,
}

/// Returns all violations in the observations.
pub fn violations(observations: &Observations) -> Vec<Violation> {
    let mut by_id: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    observations
        .attempts
        .iter()
        .for_each(|a| by_id.entry(a.id).or_default().push(a));
    let mut found: Vec<Violation> = observations.incidents.iter().map(incident).collect();
    let nothing = Vec::new();
    for request in &observations.requests {
        let attempts = by_id.get(&request.id).unwrap_or(&nothing);
        let violated = [
            unanswered(observations, request, attempts),
            forged(request),
            duplicated(request, attempts),
            refused_after_running(request, attempts),
            sent_to_a_draining_server(observations, request, attempts),
            reached_server_for_departed_client(request, attempts),
            announced_too_much_time(request, attempts),
        ];
        for (rule, what) in violated.into_iter().flatten() {
            found.push(Violation {
                rule,
                request: Some((request.gateway, request.id)),
                what,
            });
        }
    }
    found.extend(overloaded_cold_servers(observations));
    found
}

fn incident(incident: &Incident) -> Violation {
    Violation {
        rule: incident.rule,
        request: None,
        what: incident.what.clone(),
    }
}

type RuleCheck = Option<(&'static str, String)>;

/// Returns whether the gateway was killed while this transmission was in progress.
fn was_killed(observations: &Observations, request: &Request, transmission: &Transmission) -> bool {
    let until =
        transmission.completed_at + request.client_timeout + LATE_ANSWER_GRACE + MEASUREMENT_SLACK;
    // A kill is recorded just before it happens.
    let hit = |at: Instant| at + MEASUREMENT_SLACK > transmission.started_at && at < until;
    observations
        .kills
        .iter()
        .any(|(gateway, at)| *gateway == request.gateway && hit(*at))
}

/// Checks that every completely transmitted request is answered at most [`LATE_ANSWER_GRACE`] after its deadline, unless the
/// gateway was killed, the client left, or the gateway closed a kept connection before it forwarded the request.
fn unanswered(observations: &Observations, request: &Request, attempts: &[&Attempt]) -> RuleCheck {
    request.transmissions.iter().find_map(|transmission| {
        if was_killed(observations, request, transmission) {
            return None;
        }
        let limit = transmission.completed_at
            + request.client_timeout
            + LATE_ANSWER_GRACE
            + MEASUREMENT_SLACK;
        let before = |at: Instant| attempts.iter().any(|a| a.first_byte_at < at);
        match (transmission.end, transmission.connection_kind) {
            (TransmissionEnd::Answered { at, .. }, _) if at > limit => Some((
                "lost",
                format!(
                    "answered {:?} after its deadline, less {MEASUREMENT_SLACK:?} of measurement tolerance",
                    at - limit + LATE_ANSWER_GRACE
                ),
            )),
            (TransmissionEnd::NoAnswer, _) => {
                Some(("lost", "no answer, and the connection stayed open".into()))
            }
            (TransmissionEnd::Closed { .. }, ConnectionKind::NewConnection) => Some((
                "lost",
                "a new connection was closed without an answer".into(),
            )),
            (TransmissionEnd::Closed { at }, ConnectionKind::KeptConnection) if before(at) => {
                Some((
                    "lost",
                    "the request was forwarded, and its connection closed without an answer".into(),
                ))
            }
            _ => None,
        }
    })
}

/// Checks that every 200 carries a body that a server made for this request.
fn forged(request: &Request) -> RuleCheck {
    let forged =
        |s: &&Transmission| matches!(s.end, TransmissionEnd::Answered { genuine: false, .. });
    request.transmissions.iter().find(forged).map(|_| {
        (
            "forged",
            "served with a body that no server made for the request".into(),
        )
    })
}

/// Checks that no top-up or transfer has more than one effect.
fn duplicated(request: &Request, attempts: &[&Attempt]) -> RuleCheck {
    let effects = attempts.iter().filter(|a| a.effect).count();
    (request.class != Class::Check && effects > 1).then(|| {
        let servers: Vec<&str> = attempts.iter().map(|a| a.server.as_str()).collect();
        (
            "duplicate",
            format!("{effects} effects, at {}", servers.join(", ")),
        )
    })
}

/// Checks that no attempt of a refused top-up or transfer ran: after a 429 or 503 the client may safely retry it.
fn refused_after_running(request: &Request, attempts: &[&Attempt]) -> RuleCheck {
    let refused = |s: &Transmission| {
        matches!(
            s.end,
            TransmissionEnd::Answered {
                status: 429 | 503,
                ..
            }
        )
    };
    let ran = attempts.iter().any(|a| a.ran);
    (request.class != Class::Check && ran && request.transmissions.iter().any(refused))
        .then(|| ("refused", "refused although an attempt ran".into()))
}

/// Checks that no attempt reaches a server more than [`DRAIN_GRACE`] after its gateway learned that the server drains.
fn sent_to_a_draining_server(
    observations: &Observations,
    request: &Request,
    attempts: &[&Attempt],
) -> RuleCheck {
    attempts.iter().find_map(|a| {
        let known_at = *observations
            .drain_known_at
            .get(&(request.gateway, a.server.clone()))?;
        let late = a
            .first_byte_at
            .checked_duration_since(known_at + DRAIN_GRACE + MEASUREMENT_SLACK)?;
        Some((
            "drain",
            format!(
                "attempt reached draining server {} {:?} after the grace of {DRAIN_GRACE:?}",
                a.server,
                late + MEASUREMENT_SLACK
            ),
        ))
    })
}

/// Checks that no server receives the end of an attempt more than [`CLIENT_LEFT_GRACE`] after its client left.
fn reached_server_for_departed_client(request: &Request, attempts: &[&Attempt]) -> RuleCheck {
    let left = request.transmissions.iter().find_map(|s| match s.end {
        TransmissionEnd::ClientLeft { at } => Some(at),
        _ => None,
    })?;
    let late = |a: &&&Attempt| a.completed_at > left + CLIENT_LEFT_GRACE + MEASUREMENT_SLACK;
    let a = attempts.iter().find(late)?;
    Some((
        "left",
        format!(
            "attempt reached {} {:?} after its client had left",
            a.server,
            a.completed_at - left
        ),
    ))
}

/// Checks that no attempt announces more remaining time than its client has left.
fn announced_too_much_time(request: &Request, attempts: &[&Attempt]) -> RuleCheck {
    let client_deadline = request.transmissions.last()?.completed_at + request.client_timeout;
    attempts.iter().find_map(|a| {
        let until = a.completed_at + a.remaining_time;
        let excess = until
            .checked_duration_since(client_deadline + REMAINING_TIME_SLACK + MEASUREMENT_SLACK)?;
        Some((
            "told time",
            format!(
                "the remaining time announced to {} exceeds its client's by {:?}",
                a.server,
                excess + REMAINING_TIME_SLACK + MEASUREMENT_SLACK
            ),
        ))
    })
}

/// Checks that no cold server receives more requests within [`TIP_AFTER`] than its budget.
fn overloaded_cold_servers(observations: &Observations) -> Vec<Violation> {
    let mut found = Vec::new();
    for (server, started) in &observations.started {
        let mut times: Vec<Instant> = observations
            .attempts
            .iter()
            .filter(|a| a.server == *server)
            .map(|a| a.completed_at)
            .collect();
        times.sort_unstable();
        let worst = times.iter().enumerate().map(|(n, from)| {
            let within = times[n..]
                .iter()
                .take_while(|at| **at < *from + TIP_AFTER)
                .count() as f64;
            within / cold_start_budget(from.saturating_duration_since(*started))
        });
        let worst = worst.fold(0.0, f64::max);
        if worst > 1.0 {
            let what = format!("{server} received {worst:.2} times its budget");
            found.push(Violation {
                rule: "slow start",
                request: None,
                what,
            });
        }
    }
    found
}

/// Returns the requests that a server of this age may receive within [`TIP_AFTER`], with a tolerance for random variation.
fn cold_start_budget(age: Duration) -> f64 {
    let share = (age.as_secs_f64() / WARM_AFTER.as_secs_f64()).min(1.0);
    let per_s = CORES as f64 / WORK.as_secs_f64() * (COLD_FROM + (1.0 - COLD_FROM) * share);
    let n = TIP_MULTIPLE * per_s * TIP_AFTER.as_secs_f64();
    if n < 30.0 {
        n + 3.0 * n.sqrt() + 3.0
    } else {
        n + 2.0 * n.sqrt() + 2.0
    }
}
