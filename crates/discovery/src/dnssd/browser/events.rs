//! Inputs and outputs of the browser.

use frosthatch_engine::Endpoint;
use frosthatch_traffic_control::ListKind;
use std::net::SocketAddr;

/// What the driver received.
pub enum Input<'a> {
    /// A datagram arrived on the socket of this query.
    Datagram {
        /// Number of the query, as in [`Output::SendQuery`].
        query_id: u64,
        /// The sender's address.
        from: SocketAddr,
        /// The whole datagram.
        bytes: &'a [u8],
    },
    /// The reply arrived on the TCP connection of this query.
    Stream {
        /// Number of the query, as in [`Output::SendQuery`].
        query_id: u64,
        /// The message without its length prefix.
        bytes: &'a [u8],
    },
    /// The query's socket or connection failed.
    QueryFailed {
        /// Number of the query, as in [`Output::SendQuery`].
        query_id: u64,
    },
    /// The connection to the push server is established.
    PushOpened,
    /// A message from the push server, without its length prefix.
    PushMessage(&'a [u8]),
    /// The connection to the push server could not be established, or has ended.
    PushClosed,
}

/// How a query is sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Transport {
    /// One datagram each way.
    Udp,
    /// A connection for this query alone (RFC 7766).
    Tcp,
}

/// What the driver has to do, in this order.
#[derive(Debug)]
pub enum Output {
    /// Send a query from a socket of its own, from a random port (RFC 5452 section 9.2).
    SendQuery {
        /// Number that the inputs for this query carry.
        query_id: u64,
        /// The resolver.
        to: SocketAddr,
        /// Over UDP or TCP.
        transport: Transport,
        /// The message without a length prefix.
        bytes: Vec<u8>,
    },
    /// Close the query's socket: no reply is expected any more.
    CloseQuery {
        /// Number of the query.
        query_id: u64,
    },
    /// Pass this endpoint list or change of the list on.
    UpdateEndpoints {
        /// Whether the list is complete or holds only what changed.
        kind: ListKind,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// Connect to this push server, in place of any other session.
    ConnectPush(SocketAddr),
    /// Write a message to the push session.
    WritePush(Vec<u8>),
    /// Close the push session.
    ClosePush,
    /// Write a line to the log.
    Log(String),
}
