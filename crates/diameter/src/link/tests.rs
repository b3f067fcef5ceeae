use super::*;
use crate::codec::{Avp, Header};
use crate::dictionary::{code, command};
use crate::peer::{Identity, Role};
use frosthatch_engine::ClientPresence;
use frosthatch_traffic_control::RequestId;
use std::rc::Rc;
use tokio::io::DuplexStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{timeout, Instant};

/// What a connection takes from the link before its peer reads.
const TAKEN: usize = 16;

fn link() -> (Rc<Link>, mpsc::Receiver<Queued>) {
    let address = "127.0.0.1".parse().expect("an address");
    let me = Identity {
        host: "g".into(),
        realm: "example.org".into(),
        address,
        state_id: 1,
    };
    let peer = Peer::new(me, Role::Client, 30_000_000, false, 1);
    Link::new(peer, Rc::new(|| 0), Budget::new(1 << 20))
}

fn message(session: &str) -> Message {
    let header = Header {
        flags: 0,
        command: command::CREDIT_CONTROL,
        application: 4,
        hop_by_hop: 1,
        end_to_end: 1,
    };
    Message::new(header).with(Avp::of_text(code::SESSION_ID, session))
}

fn permit(waiting: &ClientPresence) -> AttemptPermit {
    let later = Instant::now() + Duration::from_secs(60);
    AttemptPermit::new(RequestId(1), later, later, waiting.clone(), Rc::default())
}

async fn read_all(mut stream: DuplexStream) -> String {
    let mut all = Vec::new();
    let mut chunk = [0; 64];
    while let Ok(Ok(n @ 1..)) = timeout(Duration::from_millis(200), stream.read(&mut chunk)).await {
        all.extend_from_slice(&chunk[..n]);
    }
    String::from_utf8_lossy(&all).into()
}

/// Guards against an attempt that waits behind others until nobody wants it any more, and is written all the same.
#[tokio::test]
async fn an_attempt_that_waited_too_long_is_not_written() {
    let test = async {
        let (link, to_write) = link();
        let (near, far) = tokio::io::duplex(TAKEN);
        let running = link.clone();
        spawn_local(async move { running.run(near, to_write, |_| ()).await });
        let (stays, leaves) = (ClientPresence::default(), ClientPresence::default());
        let first = link
            .send_attempt(&message("session-one"), permit(&stays))
            .expect("room");
        let second = link
            .send_attempt(&message("session-two"), permit(&leaves))
            .expect("room");
        let third = link
            .send_attempt(&message("session-three"), permit(&stays))
            .expect("room");
        tokio::task::yield_now().await;
        leaves.end();
        let read = read_all(far).await;
        assert!(
            read.contains("session-one") && read.contains("session-three"),
            "{read:?}"
        );
        assert!(!read.contains("session-two"), "{read:?}");
        assert_eq!(second.withheld.await, Ok(WriteDenied::NobodyWaits));
        assert!(first.withheld.await.is_err() && third.withheld.await.is_err());
    };
    LocalSet::new().run_until(test).await;
}
