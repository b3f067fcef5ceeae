//! A connection over a Unix socket that carries messages, with file descriptors as ancillary data.

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

/// Maximum number of file descriptors that are sent or received with a message.
const MAX_DESCRIPTORS: usize = 8;
const READ_CHUNK_BYTES: usize = 4_096;

/// One end of the connection between the old and the new process.
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

    /// Sends a message. The descriptors are sent with its first bytes; those beyond [`MAX_DESCRIPTORS`] are not sent.
    pub async fn send(&self, message: &Message, descriptors: &[OwnedFd]) -> io::Result<()> {
        let bytes = message.encode_frame();
        let descriptors: Vec<BorrowedFd<'_>> = descriptors
            .iter()
            .take(MAX_DESCRIPTORS)
            .map(OwnedFd::as_fd)
            .collect();
        let mut unsent_descriptors = &descriptors[..];
        let mut written_bytes = 0;
        while written_bytes < bytes.len() {
            let unsent_bytes = &bytes[written_bytes..];
            written_bytes += self.send_bytes(unsent_bytes, unsent_descriptors).await?;
            unsent_descriptors = &[];
        }
        Ok(())
    }

    /// Sends as many of the bytes as the socket accepts, with the descriptors. Returns the number of bytes sent.
    async fn send_bytes(&self, bytes: &[u8], descriptors: &[BorrowedFd<'_>]) -> io::Result<usize> {
        let send = || {
            let mut ancillary_buffer =
                [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
            let mut ancillary = SendAncillaryBuffer::new(&mut ancillary_buffer);
            if !descriptors.is_empty() {
                ancillary.push(SendAncillaryMessage::ScmRights(descriptors));
            }
            let slices = [IoSlice::new(bytes)];
            let sent = sendmsg(&self.stream, &slices, &mut ancillary, SendFlags::NOSIGNAL)?;
            Ok(sent)
        };
        self.stream.async_io(Interest::WRITABLE, send).await
    }

    /// Waits for the next message. Returns `None` once the connection has ended or failed, or if an invalid frame was
    /// received. Cancel safe: no received bytes are lost if the future is dropped.
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

    /// Takes the descriptors received so far.
    pub fn take_descriptors(&self) -> Vec<OwnedFd> {
        self.received_descriptors.take()
    }

    /// Reads bytes and descriptors into the buffers. Returns the number of bytes read; 0 at the end of the connection.
    async fn read(&self) -> io::Result<usize> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let receive = || {
            let mut ancillary_buffer =
                [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
            let mut ancillary = RecvAncillaryBuffer::new(&mut ancillary_buffer);
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
        let (read_bytes, descriptors) = self.stream.async_io(Interest::READABLE, receive).await?;
        let mut received_descriptors = self.received_descriptors.borrow_mut();
        received_descriptors.extend(descriptors);
        received_descriptors.truncate(MAX_DESCRIPTORS);
        self.received_bytes
            .borrow_mut()
            .extend_from_slice(&chunk[..read_bytes]);
        Ok(read_bytes)
    }
}
