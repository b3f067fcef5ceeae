//! One end of a Unix connection that carries messages and, beside them, descriptors.

use crate::message::{self, Message};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::cell::RefCell;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use tokio::io::Interest;
use tokio::net::UnixStream;

/// Descriptors that come with a message at most.
pub const MOST_LISTENERS: usize = 8;

pub struct Pipe {
    stream: UnixStream,
    come: RefCell<Vec<u8>>,
    lent: RefCell<Vec<OwnedFd>>,
}

impl Pipe {
    pub fn new(stream: UnixStream) -> Pipe {
        Pipe {
            stream,
            come: RefCell::default(),
            lent: RefCell::default(),
        }
    }

    /// Sends a message; descriptors go with its first bytes.
    pub async fn say(&self, message: &Message, with: &[OwnedFd]) -> io::Result<()> {
        let bytes = message.framed();
        let fds: Vec<BorrowedFd<'_>> = with
            .iter()
            .take(MOST_LISTENERS)
            .map(|fd| fd.as_fd())
            .collect();
        let (mut written, mut fds) = (0, &fds[..]);
        while written < bytes.len() {
            let rest = &bytes[written..];
            let sent = self.stream.async_io(Interest::WRITABLE, || {
                let mut space =
                    [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_LISTENERS))];
                let mut beside = SendAncillaryBuffer::new(&mut space);
                if !fds.is_empty() {
                    beside.push(SendAncillaryMessage::ScmRights(fds));
                }
                Ok(sendmsg(
                    &self.stream,
                    &[IoSlice::new(rest)],
                    &mut beside,
                    SendFlags::NOSIGNAL,
                )?)
            });
            written += sent.await?;
            fds = &[];
        }
        Ok(())
    }

    /// The next message; none once the connection has ended or brought what is no message. Nothing is lost if this is
    /// dropped while it waits.
    pub async fn hear(&self) -> Option<Message> {
        self.next().await.ok().flatten()
    }

    async fn next(&self) -> io::Result<Option<Message>> {
        loop {
            let message = message::take(&mut self.come.borrow_mut());
            match message.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))? {
                Some(message) => return Ok(Some(message)),
                None if !self.read().await? => return Ok(None),
                None => {}
            }
        }
    }

    /// The descriptors that have come so far.
    pub fn lent(&self) -> Vec<OwnedFd> {
        self.lent.take()
    }

    async fn read(&self) -> io::Result<bool> {
        let mut chunk = [0; 4_096];
        let (read, fds) = self
            .stream
            .async_io(Interest::READABLE, || {
                let mut space =
                    [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_LISTENERS))];
                let mut beside = RecvAncillaryBuffer::new(&mut space);
                let mut into = [IoSliceMut::new(&mut chunk)];
                let got = recvmsg(
                    &self.stream,
                    &mut into,
                    &mut beside,
                    RecvFlags::CMSG_CLOEXEC,
                )?;
                let rights = beside.drain().filter_map(|m| match m {
                    RecvAncillaryMessage::ScmRights(fds) => Some(fds),
                    _ => None,
                });
                Ok((got.bytes, rights.flatten().collect::<Vec<OwnedFd>>()))
            })
            .await?;
        let mut lent = self.lent.borrow_mut();
        lent.extend(fds);
        lent.truncate(MOST_LISTENERS);
        self.come.borrow_mut().extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }
}
