use super::{Link, LinkEndReason, QueuedMessage, WriteBudget};
use crate::codec::{Avp, Header, Message};
use crate::dictionary::{code, command};
use crate::peer::{Identity, Peer, Role};
use frosthatch_engine::{AttemptPermit, ClientPresence, WriteDenied};
use frosthatch_traffic_control::RequestId;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, DuplexStream};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{timeout, Instant};

/// Bytes that the transport buffers until the peer reads.
const TRANSPORT_BUFFER_BYTES: usize = 16;

fn link() -> (Rc<Link>, mpsc::Receiver<QueuedMessage>) {
    let address = "127.0.0.1".parse().expect("valid IP address");
    let identity = Identity {
        host: "g".into(),
        realm: "example.org".into(),
        address,
        state_id: 1,
    };
    let peer = Peer::new(identity, Role::Client, 30_000_000, false, 1);
    Link::new(peer, Rc::new(|| 0), WriteBudget::new(1 << 20))
}

fn message(session: &str) -> Message {
    let header = Header {
        flags: 0,
        command: command::CREDIT_CONTROL,
        application: 4,
        hop_by_hop: 1,
        end_to_end: 1,
    };
    Message::new(header).with_avp(Avp::of_text(code::SESSION_ID, session))
}

fn permit(client: &ClientPresence) -> AttemptPermit {
    let later = Instant::now() + Duration::from_secs(60);
    AttemptPermit::new(RequestId(1), later, later, client.clone(), Rc::default())
}

async fn read_all(mut stream: DuplexStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 64];
    while let Ok(Ok(length @ 1..)) =
        timeout(Duration::from_millis(200), stream.read(&mut chunk)).await
    {
        bytes.extend_from_slice(&chunk[..length]);
    }
    String::from_utf8_lossy(&bytes).into()
}

/// Guards against writing an attempt whose client disconnected while the attempt was queued behind others.
#[tokio::test]
async fn an_attempt_whose_client_left_while_it_was_queued_is_not_written() {
    let test = async {
        let (link, queued_messages) = link();
        let (near_end, far_end) = tokio::io::duplex(TRANSPORT_BUFFER_BYTES);
        let running = link.clone();
        spawn_local(async move { running.run(near_end, queued_messages, |_| ()).await });
        let staying_client = ClientPresence::default();
        let leaving_client = ClientPresence::default();
        let first = link
            .send_attempt(&message("session-one"), permit(&staying_client))
            .expect("write queue has room");
        let second = link
            .send_attempt(&message("session-two"), permit(&leaving_client))
            .expect("write queue has room");
        let third = link
            .send_attempt(&message("session-three"), permit(&staying_client))
            .expect("write queue has room");
        tokio::task::yield_now().await;
        leaving_client.record_gone();
        let read = read_all(far_end).await;
        assert!(
            read.contains("session-one") && read.contains("session-three"),
            "{read:?}"
        );
        assert!(!read.contains("session-two"), "{read:?}");
        assert_eq!(second.denied.await, Ok(WriteDenied::ClientGone));
        assert!(first.denied.await.is_err() && third.denied.await.is_err());
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a second attempt beside a queued one that counts as never sent, and is written later all the same.
#[tokio::test]
async fn an_attempt_is_withdrawn_only_before_its_write_begins_and_is_never_written_then() {
    let test = async {
        let (link, queued_messages) = link();
        let (near_end, far_end) = tokio::io::duplex(TRANSPORT_BUFFER_BYTES);
        let running = link.clone();
        spawn_local(async move { running.run(near_end, queued_messages, |_| ()).await });
        let client = ClientPresence::default();
        let [first, second] = ["session-one", "session-two"].map(|session| {
            link.send_attempt(&message(session), permit(&client))
                .expect("write queue has room")
        });
        tokio::task::yield_now().await;
        assert!(first.write.has_begun() && !second.write.has_begun());
        assert!(!first.write.withdraw(), "some of it may be written");
        assert!(second.write.withdraw());
        let read = read_all(far_end).await;
        assert!(read.contains("session-one"), "{read:?}");
        assert!(!read.contains("session-two"), "{read:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an attempt that begins at its server, with its last byte, long after its client has gone.
#[tokio::test]
async fn a_connection_ends_when_the_client_of_a_partly_written_attempt_leaves() {
    let test = async {
        let (link, queued_messages) = link();
        let (near_end, far_end) = tokio::io::duplex(TRANSPORT_BUFFER_BYTES);
        let running = link.clone();
        let run = spawn_local(async move { running.run(near_end, queued_messages, |_| ()).await });
        let client = ClientPresence::default();
        let attempt = link
            .send_attempt(&message("session-one"), permit(&client))
            .expect("write queue has room");
        tokio::task::yield_now().await;
        client.record_gone();
        let end = timeout(Duration::from_secs(1), run).await;
        assert!(matches!(end, Ok(Ok(LinkEndReason::AttemptLapsed))));
        assert!(!link.has_written(attempt.end));
        let read = read_all(far_end).await;
        assert!(read.len() <= TRANSPORT_BUFFER_BYTES, "{read:?}");
    };
    LocalSet::new().run_until(test).await;
}
