//! What must hold of everything that was seen: the rules of the protocol, with room for a busy machine.

use super::gateways::{COLD_FROM, TIP_AFTER, TIP_MULTIPLE, WARM_AFTER};
use super::record::{Attempt, Class, Incident, Over, Request, Seen, SendEnd, Sent};
use super::servers::{CORES, WORK};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An answer may come so long after its time, and earns nothing.
const LATE: Duration = Duration::from_millis(500);
/// Nothing new so long after a gateway was told that a server drains.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has gone.
const GONE_SLACK: Duration = Duration::from_millis(100);
/// The time that a server is told may be so much more than its client has left.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// What is measured here may be off by this: the machine is busy.
const MEASURED: Duration = Duration::from_millis(100);

/// A rule that was broken, and by which request, if by one.
pub struct Violation {
    pub rule: &'static str,
    pub request: Option<(usize, u64)>,
    pub what: String,
}

/// All that was broken.
pub fn violations(seen: &Seen) -> Vec<Violation> {
    let mut by_id: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    seen.attempts
        .iter()
        .for_each(|a| by_id.entry(a.id).or_default().push(a));
    let mut found: Vec<Violation> = seen.incidents.iter().map(incident).collect();
    let nothing = Vec::new();
    for request in &seen.requests {
        let attempts = by_id.get(&request.id).unwrap_or(&nothing);
        let broken = [
            unanswered(seen, request, attempts),
            forged(request),
            repeated(request, attempts),
            refused_after_it_ran(request, attempts),
            sent_to_a_draining_server(seen, request, attempts),
            begun_for_nobody(request, attempts),
            told_too_much(request, attempts),
        ];
        for (rule, what) in broken.into_iter().flatten() {
            found.push(Violation {
                rule,
                request: Some((request.gateway, request.id)),
                what,
            });
        }
    }
    found.extend(overrun_cold_servers(seen));
    found
}

fn incident(incident: &Incident) -> Violation {
    Violation {
        rule: incident.rule,
        request: None,
        what: incident.what.clone(),
    }
}

type Broken = Option<(&'static str, String)>;

/// The process died while this was under way.
fn killed(seen: &Seen, request: &Request, sent: &Sent) -> bool {
    let until = sent.whole_at + request.patience + LATE + MEASURED;
    // Noted just before it is.
    let hit = |at: Instant| at + MEASURED > sent.begun_at && at < until;
    seen.kills
        .iter()
        .any(|(gateway, at)| *gateway == request.gateway && hit(*at))
}

/// Each request that was whole has one answer in its time.
fn unanswered(seen: &Seen, request: &Request, attempts: &[&Attempt]) -> Broken {
    request.sends.iter().find_map(|sent| {
        if killed(seen, request, sent) {
            return None;
        }
        let limit = sent.whole_at + request.patience + LATE + MEASURED;
        let before = |at: Instant| attempts.iter().any(|a| a.first_byte_at < at);
        match (sent.end, sent.over) {
            (SendEnd::Answered { at, .. }, _) if at > limit => Some((
                "lost",
                format!("answered {:?} after its time", at - limit + LATE),
            )),
            (SendEnd::Nothing, _) => Some(("lost", "neither an answer nor an end".into())),
            (SendEnd::Closed { .. }, Over::NewConnection) => Some((
                "lost",
                "its new connection was closed with no answer".into(),
            )),
            (SendEnd::Closed { at }, Over::KeptConnection) if before(at) => Some((
                "lost",
                "it was forwarded, and its connection closed with no answer".into(),
            )),
            _ => None,
        }
    })
}

/// Nothing is served that no server made for it.
fn forged(request: &Request) -> Broken {
    let forged = |s: &&Sent| matches!(s.end, SendEnd::Answered { genuine: false, .. });
    request
        .sends
        .iter()
        .find(forged)
        .map(|_| ("forged", "served with what no server made for it".into()))
}

/// No effect happens twice.
fn repeated(request: &Request, attempts: &[&Attempt]) -> Broken {
    let effects = attempts.iter().filter(|a| a.effect).count();
    (request.class != Class::Check && effects > 1).then(|| {
        let servers: Vec<&str> = attempts.iter().map(|a| a.server.as_str()).collect();
        (
            "duplicate",
            format!("{effects} effects, at {}", servers.join(", ")),
        )
    })
}

/// Refused means that trying again is harmless.
fn refused_after_it_ran(request: &Request, attempts: &[&Attempt]) -> Broken {
    let refused = |s: &Sent| {
        matches!(
            s.end,
            SendEnd::Answered {
                status: 429 | 503,
                ..
            }
        )
    };
    let ran = attempts.iter().any(|a| a.ran);
    (request.class != Class::Check && ran && request.sends.iter().any(refused))
        .then(|| ("refused", "refused although it may have run".into()))
}

/// Nothing new goes to a server over half a second after its gateway was told that it drains.
fn sent_to_a_draining_server(seen: &Seen, request: &Request, attempts: &[&Attempt]) -> Broken {
    attempts.iter().find_map(|a| {
        let told = *seen.told.get(&(request.gateway, a.server.clone()))?;
        let late = a
            .first_byte_at
            .checked_duration_since(told + DRAIN_GRACE + MEASURED)?;
        Some((
            "drain",
            format!("sent to {} {:?} after the grace", a.server, late + MEASURED),
        ))
    })
}

/// Nothing begins for a client that has gone.
fn begun_for_nobody(request: &Request, attempts: &[&Attempt]) -> Broken {
    let left = request.sends.iter().find_map(|s| match s.end {
        SendEnd::ClientLeft { at } => Some(at),
        _ => None,
    })?;
    let late = |a: &&&Attempt| a.whole_at > left + GONE_SLACK + MEASURED;
    let a = attempts.iter().find(late)?;
    Some((
        "left",
        format!(
            "begun at {} {:?} after its client had gone",
            a.server,
            a.whole_at - left
        ),
    ))
}

/// A server is told no more time than the client has left.
fn told_too_much(request: &Request, attempts: &[&Attempt]) -> Broken {
    let gone_at = request.sends.last()?.whole_at + request.patience;
    attempts.iter().find_map(|a| {
        let until = a.whole_at + a.told;
        let over = until.checked_duration_since(gone_at + TOLD_SLACK + MEASURED)?;
        Some((
            "told time",
            format!(
                "{} was told {:?} too much",
                a.server,
                over + TOLD_SLACK + MEASURED
            ),
        ))
    })
}

/// No more requests reach a cold server in the window than its budget.
fn overrun_cold_servers(seen: &Seen) -> Vec<Violation> {
    let mut found = Vec::new();
    for (server, started) in &seen.started {
        let mut times: Vec<Instant> = seen
            .attempts
            .iter()
            .filter(|a| a.server == *server)
            .map(|a| a.whole_at)
            .collect();
        times.sort_unstable();
        let worst = times.iter().enumerate().map(|(n, from)| {
            let within = times[n..]
                .iter()
                .take_while(|at| **at < *from + TIP_AFTER)
                .count() as f64;
            within / budget(from.saturating_duration_since(*started))
        });
        let worst = worst.fold(0.0, f64::max);
        if worst > 1.0 {
            let what = format!("{server} got {worst:.2} times its budget");
            found.push(Violation {
                rule: "slow start",
                request: None,
                what,
            });
        }
    }
    found
}

/// Calls that a server of this age may get within the window.
fn budget(age: Duration) -> f64 {
    let share = (age.as_secs_f64() / WARM_AFTER.as_secs_f64()).min(1.0);
    let per_s = CORES as f64 / WORK.as_secs_f64() * (COLD_FROM + (1.0 - COLD_FROM) * share);
    let n = TIP_MULTIPLE * per_s * TIP_AFTER.as_secs_f64();
    if n < 30.0 {
        n + 3.0 * n.sqrt() + 3.0
    } else {
        n + 2.0 * n.sqrt() + 2.0
    }
}
