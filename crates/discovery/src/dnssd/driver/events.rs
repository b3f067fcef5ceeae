//! What the tasks of the driver report, and the inputs of the browser that these become.

use crate::dnssd::browser::Input;
use std::net::SocketAddr;

/// What the driver's tasks report.
pub(super) enum DriverEvent {
    Query(QueryEvent),
    Push {
        connection_id: u64,
        event: PushConnectionEvent,
    },
}

/// What happened on a query's socket.
pub(super) enum QueryEvent {
    Datagram {
        query_id: u64,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Stream {
        query_id: u64,
        bytes: Vec<u8>,
    },
    Failed {
        query_id: u64,
    },
}

impl QueryEvent {
    pub(super) fn to_input(&self) -> Input<'_> {
        match self {
            QueryEvent::Datagram {
                query_id,
                from,
                bytes,
            } => Input::Datagram {
                query_id: *query_id,
                from: *from,
                bytes,
            },
            QueryEvent::Stream { query_id, bytes } => Input::Stream {
                query_id: *query_id,
                bytes,
            },
            QueryEvent::Failed { query_id } => Input::QueryFailed {
                query_id: *query_id,
            },
        }
    }
}

/// What happened on the connection.
pub(super) enum PushConnectionEvent {
    Opened,
    Message(Vec<u8>),
    Closed,
}

impl PushConnectionEvent {
    pub(super) fn to_input(&self) -> Input<'_> {
        match self {
            PushConnectionEvent::Opened => Input::PushOpened,
            PushConnectionEvent::Message(bytes) => Input::PushMessage(bytes),
            PushConnectionEvent::Closed => Input::PushClosed,
        }
    }
}
