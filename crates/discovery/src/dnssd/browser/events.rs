//! Inputs and outputs of the browser, which connect it to the driver.

use frosthatch_engine::Endpoint;
use frosthatch_traffic_control::ListKind;
use std::net::SocketAddr;

/// An event that the driver passes to the browser.
pub enum Input<'a> {
    /// A datagram arrived on the socket of a query.
    Datagram {
        /// The query's id from [`Output::SendQuery`].
        query_id: u64,
        /// The datagram's source address.
        from: SocketAddr,
        /// The whole datagram.
        bytes: &'a [u8],
    },
    /// The reply arrived on the TCP connection of a query.
    Stream {
        /// The query's id from [`Output::SendQuery`].
        query_id: u64,
        /// The DNS message without its length prefix.
        bytes: &'a [u8],
    },
    /// The socket or TCP connection of a query failed.
    QueryFailed {
        /// The query's id from [`Output::SendQuery`].
        query_id: u64,
    },
    /// The connection to the push server is established.
    PushOpened,
    /// A message arrived from the push server; holds it without its length prefix.
    PushMessage(&'a [u8]),
    /// The connection to the push server could not be established, or was closed.
    PushClosed,
}

/// The transport protocol of a query.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Transport {
    /// UDP: one datagram each way.
    Udp,
    /// TCP, with a connection for each query (RFC 7766).
    Tcp,
}

/// An action that the browser requests of the driver. The driver carries out the actions in order.
#[derive(Debug)]
pub enum Output {
    /// Send a query from a new socket with a random port (RFC 5452 section 9.2).
    SendQuery {
        /// Identifies the query in the inputs that belong to it.
        query_id: u64,
        /// The resolver's address.
        to: SocketAddr,
        /// Whether the query is sent over UDP or TCP.
        transport: Transport,
        /// The DNS message without a length prefix.
        bytes: Vec<u8>,
    },
    /// Close the query's socket, as no further reply is expected.
    CloseQuery {
        /// The query's id from [`Output::SendQuery`].
        query_id: u64,
    },
    /// Pass an endpoint list, or a change to it, to the endpoint registry.
    UpdateEndpoints {
        /// Whether `endpoints` is the complete list or holds only the endpoints that changed.
        kind: ListKind,
        /// The complete list or the changed endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// Connect to this push server and close any other push connection.
    ConnectPush(SocketAddr),
    /// Write this message, given without a length prefix, to the push connection.
    WritePush(Vec<u8>),
    /// Close the push connection.
    ClosePush,
    /// Write a line to the log.
    Log(String),
}
