//! The oracle of the soak finds what it is there to find, and lets the rest be.

use frosthatch_lab::soak::oracle::violations;
use frosthatch_lab::soak::record::{Attempt, Class, Over, Request, Seen, SendEnd, Sent};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_millis(1_500);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Case {
    start: Instant,
    seen: Seen,
}

impl Case {
    fn new() -> Case {
        Case {
            start: Instant::now(),
            seen: Seen::default(),
        }
    }

    /// One request that is whole at the start, and how it ends.
    fn request(mut self, class: Class, over: Over, end: impl Fn(Instant) -> SendEnd) -> Case {
        let sent = Sent {
            over,
            begun_at: self.start,
            whole_at: self.start,
            end: end(self.start),
        };
        self.seen.requests.push(Request {
            id: 1,
            class,
            gateway: 0,
            patience: PATIENCE,
            sends: vec![sent],
        });
        self
    }

    fn attempt(mut self, server: &str, at: Duration, told: Duration, effect: bool) -> Case {
        let at = self.start + at;
        self.seen.attempts.push(Attempt {
            id: 1,
            server: server.into(),
            first_byte_at: at,
            whole_at: at,
            told,
            ran: effect,
            effect,
        });
        self
    }

    fn rules(&self) -> Vec<&'static str> {
        violations(&self.seen).iter().map(|v| v.rule).collect()
    }
}

fn answered(status: u16, after: Duration) -> impl Fn(Instant) -> SendEnd {
    move |start| SendEnd::Answered {
        status,
        genuine: true,
        at: start + after,
    }
}

#[test]
fn a_request_that_is_served_in_time_breaks_nothing() {
    let case = Case::new().request(Class::Transfer, Over::NewConnection, answered(200, ms(40)));
    assert!(case.attempt("a", ms(5), PATIENCE, true).rules().is_empty());
}

#[test]
fn what_has_no_answer_in_time_is_lost() {
    let over = [Over::NewConnection, Over::KeptConnection];
    for end in [
        answered(200, PATIENCE + ms(700)),
        answered(504, PATIENCE + ms(700)),
    ] {
        assert_eq!(
            Case::new().request(Class::Check, over[0], end).rules(),
            ["lost"]
        );
    }
    let closed = |start: Instant| SendEnd::Closed {
        at: start + ms(100),
    };
    assert_eq!(
        Case::new().request(Class::Check, over[0], closed).rules(),
        ["lost"]
    );
    // A kept connection may be closed unread, but not once its request was forwarded.
    assert!(Case::new()
        .request(Class::Check, over[1], closed)
        .rules()
        .is_empty());
    let forwarded =
        Case::new()
            .request(Class::Check, over[1], closed)
            .attempt("a", ms(5), ms(1), true);
    assert_eq!(forwarded.rules(), ["lost"]);
    // A gateway that was killed loses what it held.
    let mut killed = Case::new().request(Class::Check, over[0], closed);
    killed.seen.kills.push((0, killed.start + ms(50)));
    assert!(killed.rules().is_empty());
}

#[test]
fn two_effects_and_a_refusal_after_one_are_found() {
    let twice = Case::new().request(Class::TopUp, Over::NewConnection, answered(200, ms(40)));
    let twice = twice
        .attempt("a", ms(5), ms(100), true)
        .attempt("b", ms(20), ms(100), true);
    assert_eq!(twice.rules(), ["duplicate"]);
    let refused = Case::new().request(Class::Transfer, Over::NewConnection, answered(429, ms(40)));
    assert_eq!(
        refused.attempt("a", ms(5), ms(100), true).rules(),
        ["refused"]
    );
}

#[test]
fn drains_leaving_clients_and_told_times_are_checked() {
    let mut drained =
        Case::new().request(Class::Check, Over::NewConnection, answered(200, ms(1_000)));
    drained.seen.told.insert((0, "a".into()), drained.start);
    assert!(drained.rules().is_empty());
    assert_eq!(
        drained.attempt("a", ms(800), ms(100), true).rules(),
        ["drain"]
    );
    let left = |start: Instant| SendEnd::ClientLeft {
        at: start + ms(100),
    };
    let gone = Case::new().request(Class::Check, Over::NewConnection, left);
    assert_eq!(gone.attempt("a", ms(400), ms(100), true).rules(), ["left"]);
    let told = Case::new().request(Class::Check, Over::NewConnection, answered(200, ms(1_000)));
    assert_eq!(
        told.attempt("a", ms(900), PATIENCE, true).rules(),
        ["told time"]
    );
}

#[test]
fn a_cold_server_that_gets_too_much_is_found() {
    for (requests, found) in [(140, 0), (400, 1)] {
        let mut case = Case::new();
        case.seen.started.insert("a".into(), case.start);
        for n in 0..requests {
            case = case.attempt("a", ms(n * 3), ms(100), true);
        }
        assert_eq!(case.rules().len(), found, "{requests}");
    }
}
