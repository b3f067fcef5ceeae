//! One end of a Unix connection that carries messages, with file descriptors as ancillary data.

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

/// File descriptors that come with a message, at most.
const MAX_DESCRIPTORS: usize = 8;
const READ_CHUNK_BYTES: usize = 4_096;

pub struct Connection {
    stream: UnixStream,
    received_bytes: RefCell<Vec<u8>>,
    received_descriptors: RefCell<Vec<OwnedFd>>,
}

impl Connection {
    pub fn new(stream: UnixStream) -> Connection {
        Connection {
            stream,
            received_bytes: RefCell::default(),
            received_descriptors: RefCell::default(),
        }
    }

    /// Sends a message; the descriptors go with its first bytes.
    pub async fn send(&self, message: &Message, descriptors: &[OwnedFd]) -> io::Result<()> {
        let bytes = message.encode_frame();
        let descriptors: Vec<BorrowedFd<'_>> = descriptors
            .iter()
            .take(MAX_DESCRIPTORS)
            .map(OwnedFd::as_fd)
            .collect();
        let mut unsent_descriptors = &descriptors[..];
        let mut written = 0;
        while written < bytes.len() {
            let rest = &bytes[written..];
            written += self.send_part(rest, unsent_descriptors).await?;
            unsent_descriptors = &[];
        }
        Ok(())
    }

    async fn send_part(&self, bytes: &[u8], descriptors: &[BorrowedFd<'_>]) -> io::Result<usize> {
        let send = || {
            let mut space =
                [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            if !descriptors.is_empty() {
                ancillary.push(SendAncillaryMessage::ScmRights(descriptors));
            }
            let parts = [IoSlice::new(bytes)];
            let sent = sendmsg(&self.stream, &parts, &mut ancillary, SendFlags::NOSIGNAL)?;
            Ok(sent)
        };
        self.stream.async_io(Interest::WRITABLE, send).await
    }

    /// Waits for the next message; `None` once the connection has ended or brought invalid bytes. Cancel safe: nothing is
    /// lost if the future is dropped.
    pub async fn receive(&self) -> Option<Message> {
        self.try_receive().await.ok().flatten()
    }

    async fn try_receive(&self) -> io::Result<Option<Message>> {
        loop {
            let message = message::take_message(&mut self.received_bytes.borrow_mut())
                .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))?;
            if message.is_some() {
                return Ok(message);
            }
            if self.read().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Takes the descriptors that were received so far.
    pub fn take_descriptors(&self) -> Vec<OwnedFd> {
        self.received_descriptors.take()
    }

    /// Returns how many bytes were read; 0 at the end of the connection.
    async fn read(&self) -> io::Result<usize> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let receive = || {
            let mut space =
                [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
            let mut ancillary = RecvAncillaryBuffer::new(&mut space);
            let received = recvmsg(
                &self.stream,
                &mut [IoSliceMut::new(&mut chunk)],
                &mut ancillary,
                RecvFlags::CMSG_CLOEXEC,
            )?;
            let descriptors = ancillary.drain().filter_map(|message| match message {
                RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
                _ => None,
            });
            let descriptors: Vec<OwnedFd> = descriptors.flatten().collect();
            Ok((received.bytes, descriptors))
        };
        let (read, descriptors) = self.stream.async_io(Interest::READABLE, receive).await?;
        let mut received_descriptors = self.received_descriptors.borrow_mut();
        received_descriptors.extend(descriptors);
        received_descriptors.truncate(MAX_DESCRIPTORS);
        self.received_bytes
            .borrow_mut()
            .extend_from_slice(&chunk[..read]);
        Ok(read)
    }
}
