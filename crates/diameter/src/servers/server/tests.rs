use super::{PendingRequest, Server};
use crate::codec::Message;
use crate::link::WriteHandle;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::sync::oneshot::{channel, Receiver};

fn server_with_pending(write: &WriteHandle) -> (Server, Receiver<Option<Message>>) {
    let server = Server::new(([127, 0, 0, 1], 1).into());
    let (answer, receiver) = channel();
    let request = PendingRequest {
        answer,
        write: write.clone(),
        end: 1,
    };
    server.pending.borrow_mut().insert(1, request);
    (server, receiver)
}

/// Guards against two attempts out together when the watchdog suspects a server: a request that is written in part counted
/// as never run, and its rest was written later.
#[test]
fn a_server_that_accepts_no_more_keeps_the_requests_that_have_begun_to_be_written() {
    let write = WriteHandle::new();
    write.begin();
    let (server, mut receiver) = server_with_pending(&write);
    server.withdraw_queued();
    assert_eq!(receiver.try_recv(), Err(TryRecvError::Empty));
    assert_eq!(server.pending.borrow().len(), 1);
}

/// Guards against a queued request that reaches a draining server after the grace period.
#[test]
fn a_server_that_accepts_no_more_loses_its_queued_requests_which_are_never_written() {
    let write = WriteHandle::new();
    let (server, mut receiver) = server_with_pending(&write);
    server.withdraw_queued();
    assert_eq!(receiver.try_recv(), Ok(None));
    assert!(server.pending.borrow().is_empty());
    assert!(!write.begin());
}
