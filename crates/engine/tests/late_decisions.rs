//! Tests of decisions that take long, as when the process gets no processor for some milliseconds.

use frosthatch_engine::{
    Attempt, AttemptDeadlines, AttemptPermit, AttemptResult, Clock, Endpoint, EndpointState,
    Engine, IncomingRequest, Payload, PolicyLease, Protocol, RequestCounters, Response,
};
use frosthatch_traffic_control::{
    CompletionStatus, Event, Gateway, LeaseState, ListKind, Micros, Request, RequestId, ServerId,
    Settings,
};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep_until, Instant};

/// How long a decision takes: longer than the time between an attempt's latest end and its request's answer.
const DECISION_TIME: Duration = Duration::from_millis(20);
/// How long the client waits.
const CLIENT_TIME: Duration = Duration::from_millis(200);

/// A lease that is held, and makes each decision take [`DECISION_TIME`].
struct SlowLease;

impl PolicyLease for SlowLease {
    fn collect_events(&self, _: Micros, events: &mut VecDeque<Event>) {
        std::thread::sleep(DECISION_TIME);
        events.push_back(Event::LeaseStateChanged(LeaseState::Held));
    }

    fn record_admitted(&self, _: RequestId) {}
}

/// A request whose server never answers.
struct Unanswered;

impl Payload for Unanswered {
    fn attempt(&self, _: &ServerId, deadlines: AttemptDeadlines, _: AttemptPermit) -> Attempt {
        Box::pin(async move {
            sleep_until(deadlines.answer_by).await;
            AttemptResult::without_response(CompletionStatus::NoAnswer)
        })
    }

    fn can_cancel_attempts(&self) -> bool {
        true
    }
}

fn engine() -> Rc<Engine> {
    let gateway = Gateway::new(Settings::example(), 1).expect("the settings are valid");
    let (counter_calls, _) = mpsc::channel(1);
    let counters = Rc::new(RequestCounters::new(["read".into()]));
    let clock = Rc::new(Clock::default());
    let engine = Rc::new(Engine::new(
        gateway,
        vec![],
        counter_calls,
        None,
        counters,
        clock,
    ));
    let endpoint = Endpoint {
        uid: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_ms: 0,
        protocol: Protocol::Http1,
    };
    engine.update_endpoints(ListKind::Complete, vec![endpoint]);
    spawn_local(engine.clone().run_timers());
    engine
}

/// Guards against an attempt that ends after its request's answer is due: the request failed (504) although it is safe to
/// refuse.
#[tokio::test]
async fn an_attempt_ends_before_the_answer_is_due_although_the_decision_took_long() {
    let test = async {
        let engine = engine();
        engine.set_policy_lease(Rc::new(SlowLease));
        let incoming = IncomingRequest {
            request: Request::new(1, "c", "basic", "read", 0),
            client_deadline: Instant::now() + CLIENT_TIME,
            payload: Box::new(Unanswered),
        };
        let response = engine.submit(incoming).ok().expect("the id is new");
        match response.await.expect("the request is answered") {
            Response::Rejected { .. } => {}
            Response::Failed { timed_out } => panic!("failed, timed_out {timed_out}"),
            Response::Served(_) | Response::Streaming(..) => panic!("served"),
        }
    };
    LocalSet::new().run_until(test).await;
}
