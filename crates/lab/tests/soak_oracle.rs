//! The soak oracle reports each kind of violation, and none for correct observations.

use frosthatch_lab::soak::oracle::violations;
use frosthatch_lab::soak::record::{
    Attempt, Class, ConnectionKind, Observations, Request, Transmission, TransmissionEnd,
};
use std::time::{Duration, Instant};

const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Case {
    start: Instant,
    observations: Observations,
}

impl Case {
    fn new() -> Case {
        Case {
            start: Instant::now(),
            observations: Observations::default(),
        }
    }

    /// Adds a request that is transmitted at the start and ends as `end` says.
    fn request(
        mut self,
        class: Class,
        connection_kind: ConnectionKind,
        end: impl Fn(Instant) -> TransmissionEnd,
    ) -> Case {
        let transmission = Transmission {
            connection_kind,
            started_at: self.start,
            completed_at: self.start,
            end: end(self.start),
        };
        self.observations.requests.push(Request {
            id: 1,
            class,
            gateway: 0,
            client_timeout: CLIENT_TIMEOUT,
            transmissions: vec![transmission],
        });
        self
    }

    fn attempt(
        mut self,
        server: &str,
        at: Duration,
        remaining_time: Duration,
        effect: bool,
    ) -> Case {
        let at = self.start + at;
        self.observations.attempts.push(Attempt {
            id: 1,
            server: server.into(),
            first_byte_at: at,
            completed_at: at,
            remaining_time,
            ran: effect,
            effect,
        });
        self
    }

    fn rules(&self) -> Vec<&'static str> {
        violations(&self.observations)
            .iter()
            .map(|v| v.rule)
            .collect()
    }
}

fn answered(status: u16, after: Duration) -> impl Fn(Instant) -> TransmissionEnd {
    move |start| TransmissionEnd::Answered {
        status,
        genuine: true,
        at: start + after,
    }
}

#[test]
fn request_served_in_time_violates_no_rule() {
    let case = Case::new().request(
        Class::Transfer,
        ConnectionKind::NewConnection,
        answered(200, ms(40)),
    );
    assert!(case
        .attempt("a", ms(5), CLIENT_TIMEOUT, true)
        .rules()
        .is_empty());
}

#[test]
fn request_without_answer_in_time_is_lost() {
    let kinds = [
        ConnectionKind::NewConnection,
        ConnectionKind::KeptConnection,
    ];
    for end in [
        answered(200, CLIENT_TIMEOUT + ms(700)),
        answered(504, CLIENT_TIMEOUT + ms(700)),
    ] {
        assert_eq!(
            Case::new().request(Class::Check, kinds[0], end).rules(),
            ["lost"]
        );
    }
    let closed = |start: Instant| TransmissionEnd::Closed {
        at: start + ms(100),
    };
    assert_eq!(
        Case::new().request(Class::Check, kinds[0], closed).rules(),
        ["lost"]
    );
    // The gateway may close a kept connection without reading the request, but not after forwarding it.
    assert!(Case::new()
        .request(Class::Check, kinds[1], closed)
        .rules()
        .is_empty());
    let forwarded =
        Case::new()
            .request(Class::Check, kinds[1], closed)
            .attempt("a", ms(5), ms(1), true);
    assert_eq!(forwarded.rules(), ["lost"]);
    // A killed gateway may lose its requests.
    let mut killed = Case::new().request(Class::Check, kinds[0], closed);
    killed.observations.kills.push((0, killed.start + ms(50)));
    assert!(killed.rules().is_empty());
}

#[test]
fn two_effects_and_a_refusal_after_an_effect_are_reported() {
    let twice = Case::new().request(
        Class::TopUp,
        ConnectionKind::NewConnection,
        answered(200, ms(40)),
    );
    let twice = twice
        .attempt("a", ms(5), ms(100), true)
        .attempt("b", ms(20), ms(100), true);
    assert_eq!(twice.rules(), ["duplicate"]);
    let refused = Case::new().request(
        Class::Transfer,
        ConnectionKind::NewConnection,
        answered(429, ms(40)),
    );
    assert_eq!(
        refused.attempt("a", ms(5), ms(100), true).rules(),
        ["refused"]
    );
}

#[test]
fn attempts_after_drain_or_departure_and_excessive_remaining_time_are_reported() {
    let mut drained = Case::new().request(
        Class::Check,
        ConnectionKind::NewConnection,
        answered(200, ms(1_000)),
    );
    drained
        .observations
        .drain_known_at
        .insert((0, "a".into()), drained.start);
    assert!(drained.rules().is_empty());
    assert_eq!(
        drained.attempt("a", ms(800), ms(100), true).rules(),
        ["drain"]
    );
    let left = |start: Instant| TransmissionEnd::ClientLeft {
        at: start + ms(100),
    };
    let gone = Case::new().request(Class::Check, ConnectionKind::NewConnection, left);
    assert_eq!(gone.attempt("a", ms(400), ms(100), true).rules(), ["left"]);
    let remaining_time = Case::new().request(
        Class::Check,
        ConnectionKind::NewConnection,
        answered(200, ms(1_000)),
    );
    assert_eq!(
        remaining_time
            .attempt("a", ms(900), CLIENT_TIMEOUT, true)
            .rules(),
        ["told time"]
    );
}

#[test]
fn overloaded_cold_server_is_reported() {
    for (requests, violation_count) in [(140, 0), (400, 1)] {
        let mut case = Case::new();
        case.observations.started.insert("a".into(), case.start);
        for n in 0..requests {
            case = case.attempt("a", ms(n * 3), ms(100), true);
        }
        assert_eq!(case.rules().len(), violation_count, "{requests}");
    }
}
