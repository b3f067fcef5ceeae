use super::{Frontend, FrontendConfig};
use crate::codec::{flag, Avp, Header, Message};
use crate::credit::CreditControlConfig;
use crate::dictionary::{code, command, result};
use crate::link::{Event, Link, WriteBudget};
use crate::peer::{Identity, Peer, Role};
use crate::servers::{Servers, ServersConfig};
use frosthatch_engine::{Clock, Engine, RequestCounters};
use frosthatch_traffic_control::{Gateway, Settings};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// Limit on all that the test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const MAX_BYTES: usize = 1 << 20;
const WATCHDOG_INTERVAL_US: u64 = 30_000_000;

fn identity(host: &str) -> Identity {
    Identity {
        host: host.into(),
        realm: "example.org".into(),
        address: "127.0.0.1".parse().expect("valid IP address"),
        state_id: 1,
    }
}

/// Returns a front end without servers: a charge waits for one until its time is over.
fn front_end(transaction_timeout: Duration) -> Rc<Frontend> {
    let settings = Settings::example();
    let class = settings.classes[0].name.clone();
    let plan = settings.plans[0].name.clone();
    let clock = Rc::new(Clock::default());
    let gateway = Gateway::new(settings, 1).expect("the settings are valid");
    let (counter_calls, _) = mpsc::channel(1);
    let counters = Rc::new(RequestCounters::new([class.clone()]));
    let engine = Engine::new(
        gateway,
        vec![],
        counter_calls,
        None,
        counters,
        clock.clone(),
    );
    let engine = Rc::new(engine);
    spawn_local(engine.clone().run_timers());
    let servers_config = ServersConfig {
        identity: identity("gw.example.org"),
        watchdog_interval_us: WATCHDOG_INTERVAL_US,
        connect_timeout: TIMEOUT,
        max_pending: 16,
        tls: None,
        max_queued_bytes: MAX_BYTES,
        seed: 1,
    };
    let mapping = CreditControlConfig {
        check_class: class.clone(),
        charge_class: class.clone(),
        plans: BTreeMap::new(),
        default_plan: Some(plan),
        max_units: 100.0,
        session_timeout_us: WATCHDOG_INTERVAL_US,
        duplicate_window_us: WATCHDOG_INTERVAL_US,
        max_sessions: 16,
        max_tracked_requests: 16,
        max_cached_answer_bytes: MAX_BYTES,
    };
    let config = FrontendConfig {
        identity: identity("gw.example.org"),
        watchdog_interval_us: WATCHDOG_INTERVAL_US,
        mapping,
        transaction_timeouts: HashMap::from([(class, transaction_timeout)]),
        gateway_count: 1,
        max_clients: 16,
        tls: None,
        max_request_bytes: MAX_BYTES,
        max_queued_bytes: MAX_BYTES,
        seed: 1,
    };
    let servers = Servers::new(servers_config, clock.reader());
    Frontend::new(config, engine, servers)
}

fn charge(id: u32) -> Message {
    let header = Header {
        flags: flag::REQUEST | flag::PROXIABLE,
        command: command::CREDIT_CONTROL,
        application: 4,
        hop_by_hop: id,
        end_to_end: id,
    };
    let subscription = [
        Avp::of_u32(code::SUBSCRIPTION_ID_TYPE, 0),
        Avp::of_text(code::SUBSCRIPTION_ID_DATA, "4512345678"),
    ];
    Message::new(header)
        .with_avp(Avp::of_text(code::SESSION_ID, &format!("till;{id}")))
        .with_avp(Avp::of_text(code::ORIGIN_HOST, "till.example.org"))
        .with_avp(Avp::of_text(code::ORIGIN_REALM, "example.org"))
        .with_avp(Avp::of_text(code::DESTINATION_REALM, "example.org"))
        .with_avp(Avp::of_u32(code::AUTH_APPLICATION_ID, 4))
        .with_avp(Avp::of_text(code::SERVICE_CONTEXT_ID, "topup@example.org"))
        .with_avp(Avp::of_u32(code::CC_REQUEST_TYPE, 4))
        .with_avp(Avp::of_u32(code::CC_REQUEST_NUMBER, 0))
        .with_avp(Avp::of_group(code::SUBSCRIPTION_ID, &subscription))
        .with_avp(Avp::of_u32(code::REQUESTED_ACTION, 0))
}

/// A client whose connection is open, and the events on it.
async fn connect(front_end: &Rc<Frontend>) -> (Rc<Link>, mpsc::UnboundedReceiver<Event>) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    spawn_local(front_end.clone().accept(listener));
    let stream = TcpStream::connect(address).await;
    let stream = stream.expect("the front end listens");
    let peer = Peer::new(
        identity("till.example.org"),
        Role::Server,
        WATCHDOG_INTERVAL_US,
        false,
        1,
    );
    let (link, queue) = Link::new(peer, Rc::new(|| 0), WriteBudget::new(MAX_BYTES));
    let (sender, mut events) = mpsc::unbounded_channel();
    let running = link.clone();
    spawn_local(async move {
        let on_event = |event| drop(sender.send(event));
        running.run(stream, queue, on_event).await
    });
    let up = timeout(TIMEOUT, events.recv()).await;
    assert!(
        matches!(up, Ok(Some(Event::Up(_)))),
        "capabilities are exchanged"
    );
    (link, events)
}

/// Returns the End-to-End Identifier and the result of the next answer.
async fn next_answer(events: &mut mpsc::UnboundedReceiver<Event>) -> (u32, Option<u32>) {
    loop {
        match timeout(TIMEOUT, events.recv()).await {
            Ok(Some(Event::Answer(answer))) => {
                return (answer.header.end_to_end, answer.result_code());
            }
            Ok(Some(_)) => {}
            _ => panic!("the front end answers"),
        }
    }
}

/// Guards against a refusal, as not executed, of a repeat that crosses the gateway's disconnect request.
#[tokio::test]
async fn a_repeat_that_crosses_the_disconnect_request_joins_and_a_new_request_is_refused() {
    let test = async {
        let front_end = front_end(Duration::from_millis(1_500));
        let (link, mut events) = connect(&front_end).await;
        let in_flight = charge(1);
        link.send(&in_flight);
        while front_end.in_flight_count() == 0 {
            sleep(POLL_INTERVAL).await;
        }
        front_end.disconnect_clients();
        // The client answers the disconnect request only when it has read it; these are sent before.
        let mut repeat = in_flight.clone();
        repeat.header.flags |= flag::RETRANSMITTED;
        repeat.header.hop_by_hop = 2;
        link.send(&repeat);
        link.send(&charge(3));
        assert_eq!(next_answer(&mut events).await, (3, Some(result::TOO_BUSY)));
    };
    LocalSet::new().run_until(test).await;
}
