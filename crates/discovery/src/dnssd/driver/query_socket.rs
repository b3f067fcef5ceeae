//! Sends one query over its own socket and reports the messages that the socket receives.

use super::events::{DriverEvent, QueryEvent};
use frosthatch_sockets::{connect, Uninterrupted};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Size of the receive buffer, more than the reply size that a query allows (EDNS(0)). A longer datagram is cut off and
/// thus malformed.
const DATAGRAM_BUFFER_BYTES: usize = 4_096;

/// Sends a query over UDP, and reports every datagram that arrives until the task is aborted.
pub(super) async fn query_over_udp(
    query_id: u64,
    to: SocketAddr,
    bytes: &[u8],
    events: &mpsc::Sender<DriverEvent>,
) -> io::Result<()> {
    let unspecified: IpAddr = match to {
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    // With port 0 the system selects a random port (RFC 5452 section 9.2).
    let socket = UdpSocket::bind((unspecified, 0)).await?;
    socket.send_to(bytes, to).await?;
    let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
    loop {
        let (length, from) = socket.recv_from(&mut buffer).await?;
        let event = QueryEvent::Datagram {
            query_id,
            from,
            bytes: buffer[..length].to_vec(),
        };
        if events.send(DriverEvent::Query(event)).await.is_err() {
            return Ok(());
        }
    }
}

/// Sends a query over a new TCP connection and reports the reply.
pub(super) async fn query_over_tcp(
    query_id: u64,
    to: SocketAddr,
    bytes: &[u8],
    events: &mpsc::Sender<DriverEvent>,
) -> io::Result<()> {
    let mut stream = Uninterrupted(connect(to).await?);
    stream.write_all(&add_length_prefix(bytes)).await?;
    let bytes = read_message(&mut stream).await?;
    let event = QueryEvent::Stream { query_id, bytes };
    let _ = events.send(DriverEvent::Query(event)).await;
    Ok(())
}

/// Prefixes a message with its length, as sent over a stream (RFC 1035 section 4.2.2).
pub(super) fn add_length_prefix(bytes: &[u8]) -> Vec<u8> {
    let length = (bytes.len() as u16).to_be_bytes();
    [&length[..], bytes].concat()
}

/// Reads the next message of a stream. Memory is allocated as the bytes arrive, not from the announced length.
pub(super) async fn read_message(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let length = u64::from(stream.read_u16().await?);
    let mut bytes = Vec::new();
    let received = stream.take(length).read_to_end(&mut bytes).await?;
    if received as u64 != length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(bytes)
}
