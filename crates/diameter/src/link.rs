//! The driver of one connection: bytes in and out, and the peer's timers. No rules here.

use crate::codec::{self, Message};
use crate::peer::{Cause, Input, Output, Peer, Remote};
use bytes::{Bytes, BytesMut};
use frosthatch_engine::{AttemptPermit, WriteDenied};
use frosthatch_sockets::Uninterrupted;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::sleep;

/// Messages that wait to be written to one peer at most, and its part of the bytes that may wait for all.
const WAITING: usize = 1_024;
const SHARE: usize = 2;
/// Read at once.
const CHUNK: usize = 8 << 10;

/// What happens on a connection, for whoever uses it.
pub enum Event {
    Up(Remote),
    Failover,
    Failback,
    Leaving,
    Request(Message),
    Answer(Message),
}

/// Bytes that wait to be written on all connections of one side.
pub struct Budget {
    pub most: Cell<usize>,
    held: Cell<usize>,
}

impl Budget {
    pub fn new(most: usize) -> Rc<Budget> {
        Rc::new(Budget {
            most: Cell::new(most),
            held: Cell::new(0),
        })
    }
}

/// A message that waits to be written.
pub struct Queued {
    bytes: Vec<u8>,
    /// Of an attempt: leave to write it, and who hears if there is none any more.
    attempt: Option<(AttemptPermit, oneshot::Sender<WriteDenied>)>,
}

/// An attempt's message that was handed over.
pub struct Handed {
    /// Where its last byte stands in all that is written.
    pub end: u64,
    /// Hears why it was not written, if it was not.
    pub withheld: oneshot::Receiver<WriteDenied>,
}

/// The near end of a connection.
pub struct Link {
    peer: RefCell<Peer>,
    budget: Rc<Budget>,
    out: mpsc::Sender<Queued>,
    /// Bytes handed over so far, and of them those that were written.
    queued: Cell<u64>,
    written: Cell<u64>,
    broken: Notify,
    clock: Rc<dyn Fn() -> u64>,
}

impl Link {
    /// A connection's near end, and what it has to write.
    pub fn new(
        peer: Peer,
        clock: Rc<dyn Fn() -> u64>,
        budget: Rc<Budget>,
    ) -> (Rc<Link>, mpsc::Receiver<Queued>) {
        let (out, to_write) = mpsc::channel(WAITING);
        let (queued, written, broken) = (Cell::new(0), Cell::new(0), Notify::new());
        (
            Rc::new(Link {
                peer: RefCell::new(peer),
                budget,
                out,
                queued,
                written,
                broken,
                clock,
            }),
            to_write,
        )
    }

    pub fn open(&self) -> bool {
        self.peer.borrow().open()
    }

    /// A fresh Hop-by-Hop id.
    pub fn hop(&self) -> u32 {
        self.peer.borrow_mut().hop()
    }

    /// An answer of the gateway's own.
    pub fn own_answer(&self, to: &Message, result: u32) -> Message {
        self.peer.borrow().answer(to, result)
    }

    /// Hands a message over to be written; where its last byte stands in all that is written. None if too much waits
    /// there already.
    pub fn send(&self, message: &Message) -> Option<u64> {
        self.send_within_budget(message.encode(), None)
    }

    /// The same for an attempt: when its turn comes it is written only if it still may be.
    pub fn send_attempt(&self, message: &Message, permit: AttemptPermit) -> Option<Handed> {
        let (sender, withheld) = oneshot::channel();
        let end = self.send_within_budget(message.encode(), Some((permit, sender)))?;
        Some(Handed { end, withheld })
    }

    fn send_within_budget(
        &self,
        bytes: Vec<u8>,
        attempt: Option<(AttemptPermit, oneshot::Sender<WriteDenied>)>,
    ) -> Option<u64> {
        let most = self.budget.most.get();
        let own = (self.queued.get() - self.written.get()) as usize + bytes.len();
        let fits = own <= most / SHARE && self.budget.held.get() + bytes.len() <= most;
        fits.then(|| self.queue(Queued { bytes, attempt }))?
    }

    /// The same for the gateway's part in the connection itself, which no answers of others hold up.
    fn put(&self, bytes: Vec<u8>) -> Option<u64> {
        self.queue(Queued {
            bytes,
            attempt: None,
        })
    }

    fn queue(&self, queued: Queued) -> Option<u64> {
        let length = queued.bytes.len();
        self.out.try_send(queued).ok()?;
        self.budget.held.set(self.budget.held.get() + length);
        self.queued.set(self.queued.get() + length as u64);
        Some(self.queued.get())
    }

    /// Hands over an answer. A client that has not read so many others is left.
    pub fn answer(&self, answer: &Message) {
        if self.send(answer).is_none() {
            self.broken.notify_one();
        }
    }

    /// Whether all up to there has been written.
    pub fn has_written(&self, end: u64) -> bool {
        self.written.get() >= end
    }

    /// Says goodbye.
    pub fn leave(&self, cause: Cause) {
        let mut out = Vec::new();
        self.peer
            .borrow_mut()
            .handle((self.clock)(), Input::Leave(cause), &mut out);
        // Nothing of this is an event; a close ends the loop by its timer or by the end of the stream.
        for output in out {
            match output {
                Output::Send(message) => drop(self.put(message.encode())),
                Output::Close(_) => self.broken.notify_one(),
                _ => {}
            }
        }
    }

    /// So many bytes wait no longer.
    fn left_queue(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
        self.budget.held.set(self.budget.held.get() - bytes);
    }

    /// Carries the connection until it ends; why it did.
    pub async fn run(
        &self,
        stream: impl AsyncRead + AsyncWrite + Unpin,
        mut to_write: mpsc::Receiver<Queued>,
        mut event: impl FnMut(Event),
    ) -> String {
        let (mut read, mut write) = tokio::io::split(Uninterrupted(stream));
        let writes = async {
            while let Some(Queued { bytes, attempt }) = to_write.recv().await {
                // It may have waited for long behind others that the peer was slow to read.
                let mut written = None;
                if let Some((permit, withheld)) = attempt {
                    if let Err(why) = permit.check() {
                        let _ = withheld.send(why);
                        self.left_queue(bytes.len());
                        continue;
                    }
                    written = Some(permit);
                }
                if write.write_all(&bytes).await.is_err() {
                    return;
                }
                // In the same step as the last byte: nothing that has left counts as not written.
                if let Some(permit) = written {
                    permit.written(None);
                }
                self.left_queue(bytes.len());
                if write.flush().await.is_err() {
                    return;
                }
            }
        };
        let reads = async {
            let mut buffer = BytesMut::new();
            let mut out = Vec::new();
            self.peer
                .borrow_mut()
                .handle((self.clock)(), Input::Connected, &mut out);
            loop {
                for output in out.drain(..) {
                    match output {
                        Output::Send(message) => {
                            if self.put(message.encode()).is_none() {
                                return "it does not read".to_string();
                            }
                        }
                        Output::Close(why) => {
                            // What was handed over before may still go out.
                            let end = self.queued.get();
                            for _ in 0..20 {
                                if self.has_written(end) {
                                    break;
                                }
                                sleep(Duration::from_millis(5)).await;
                            }
                            return why;
                        }
                        Output::Up(remote) => event(Event::Up(remote)),
                        Output::Failover => event(Event::Failover),
                        Output::Failback => event(Event::Failback),
                        Output::Leaving => event(Event::Leaving),
                        Output::Request(message) => event(Event::Request(message)),
                        Output::Answer(message) => event(Event::Answer(message)),
                    }
                }
                match next(&mut buffer) {
                    Ok(Some(bytes)) => {
                        let input = match Message::decode(bytes) {
                            Ok(message) => Input::Message(message),
                            Err(unreadable) => Input::Unreadable(unreadable),
                        };
                        self.peer
                            .borrow_mut()
                            .handle((self.clock)(), input, &mut out);
                        continue;
                    }
                    Ok(None) => {}
                    Err(code) => return format!("its stream cannot be followed, {code}"),
                }
                let wait = self.peer.borrow().next().saturating_sub((self.clock)());
                buffer.reserve(CHUNK);
                tokio::select! {
                    n = read.read_buf(&mut buffer) => if !matches!(n, Ok(n) if n > 0) {
                        return "the connection ended".into();
                    },
                    () = sleep(Duration::from_micros(wait.min(1_000_000))) => {
                        self.peer.borrow_mut().tick((self.clock)(), &mut out);
                    }
                    () = self.broken.notified() => return "it is left".into(),
                }
            }
        };
        tokio::select! {
            why = reads => why,
            () = writes => "it cannot be written to".into(),
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        let unwritten = (self.queued.get() - self.written.get()) as usize;
        self.budget.held.set(self.budget.held.get() - unwritten);
    }
}

/// The next whole message's bytes.
fn next(buffer: &mut BytesMut) -> Result<Option<Bytes>, u32> {
    match codec::frame(buffer) {
        Ok(Some(length)) => Ok(Some(buffer.split_to(length).freeze())),
        Ok(None) => Ok(None),
        Err(fault) => Err(fault.result_code),
    }
}

#[cfg(test)]
mod tests;
