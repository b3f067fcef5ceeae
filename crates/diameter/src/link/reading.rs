//! Reads the messages of a connection, and handles the timers of its state machine.

use super::{Event, Link, LinkEndReason};
use crate::codec::{self, Fault, Message};
use crate::peer::{Input, Output};
use bytes::{Bytes, BytesMut};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Buffer space reserved for one read.
const READ_CHUNK_BYTES: usize = 8 << 10;
/// Maximum time between two checks of the state machine's timers.
const MAX_TIMER_WAIT_US: u64 = 1_000_000;

impl Link {
    /// Reads messages and handles timers until the connection ends.
    pub(super) async fn read_messages(
        &self,
        mut reader: impl AsyncRead + Unpin,
        mut on_event: impl FnMut(Event),
    ) -> LinkEndReason {
        let mut buffer = BytesMut::new();
        let mut out = Vec::new();
        self.handle(Input::Connected, &mut out);
        loop {
            for output in out.drain(..) {
                if let Err(end) = self.apply(output, &mut on_event).await {
                    return end;
                }
            }
            match next_message(&mut buffer) {
                Ok(Some(bytes)) => {
                    self.handle(decode(bytes), &mut out);
                    // The next message may have arrived already: the other connections have their turn first.
                    yield_now().await;
                    continue;
                }
                Ok(None) => {}
                Err(fault) => {
                    let code = fault.result_code;
                    return LinkEndReason::InvalidFrame { code };
                }
            }
            buffer.reserve(READ_CHUNK_BYTES);
            tokio::select! {
                read = reader.read_buf(&mut buffer) => if !matches!(read, Ok(length) if length > 0) {
                    return LinkEndReason::ConnectionEnded;
                },
                () = sleep(self.timer_wait()) => {
                    self.peer.borrow_mut().handle_timeout((self.clock)(), &mut out);
                }
                () = self.abandoned.notified() => return LinkEndReason::Abandoned,
            }
        }
    }

    /// Executes an output of the state machine.
    ///
    /// # Errors
    /// Returns the reason if the connection ends.
    async fn apply(
        &self,
        output: Output,
        on_event: &mut impl FnMut(Event),
    ) -> Result<(), LinkEndReason> {
        match output {
            Output::Send(message) => {
                self.send_control(&message)
                    .ok_or(LinkEndReason::PeerNotReading)?;
            }
            Output::Close(reason) => {
                self.flush().await;
                return Err(LinkEndReason::Closed(reason));
            }
            Output::Up(remote) => on_event(Event::Up(remote)),
            Output::Failover => on_event(Event::Failover),
            Output::Failback => on_event(Event::Failback),
            Output::PeerClosing => on_event(Event::PeerClosing),
            Output::Request(message) => on_event(Event::Request(message)),
            Output::Answer(message) => on_event(Event::Answer(message)),
        }
        Ok(())
    }

    /// Returns the time until the state machine's timers are to be checked.
    fn timer_wait(&self) -> Duration {
        let wait_us = self.peer.borrow().due_us().saturating_sub((self.clock)());
        Duration::from_micros(wait_us.min(MAX_TIMER_WAIT_US))
    }
}

/// Removes and returns the first message in the buffer, or returns `None` while the message is incomplete.
fn next_message(buffer: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
    let length = codec::first_message_length(buffer)?;
    Ok(length.map(|length| buffer.split_to(length).freeze()))
}

fn decode(bytes: Bytes) -> Input {
    match Message::decode(bytes) {
        Ok(message) => Input::Message(message),
        Err(decode_error) => Input::Undecodable(decode_error),
    }
}
