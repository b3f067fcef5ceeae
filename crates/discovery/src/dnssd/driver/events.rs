//! Events that the driver's tasks report, and their conversion to inputs of the browser.

use crate::dnssd::browser::Input;
use std::net::SocketAddr;

/// An event from one of the driver's tasks.
pub(super) enum DriverEvent {
    Query(QueryEvent),
    Push {
        connection_id: u64,
        event: PushConnectionEvent,
    },
}

/// An event on the socket of a query.
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

/// An event on a push connection.
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
