//! What passes between the browser and the simulated servers.

use frosthatch_discovery::dnssd::browser::{Input, Transport};
use frosthatch_test_doubles::ZoneChange;
use std::net::SocketAddr;

/// What reaches the browser.
pub enum Arrival {
    Datagram {
        query_id: u64,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Stream {
        query_id: u64,
        bytes: Vec<u8>,
    },
    QueryFailed {
        query_id: u64,
    },
    PushOpened,
    PushMessage(Vec<u8>),
    PushClosed,
}

impl Arrival {
    pub fn to_input(&self) -> Input<'_> {
        match self {
            Arrival::Datagram {
                query_id,
                from,
                bytes,
            } => Input::Datagram {
                query_id: *query_id,
                from: *from,
                bytes,
            },
            Arrival::Stream { query_id, bytes } => Input::Stream {
                query_id: *query_id,
                bytes,
            },
            Arrival::QueryFailed { query_id } => Input::QueryFailed {
                query_id: *query_id,
            },
            Arrival::PushOpened => Input::PushOpened,
            Arrival::PushMessage(bytes) => Input::PushMessage(bytes),
            Arrival::PushClosed => Input::PushClosed,
        }
    }
}

/// How a resolver treats queries.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ResolverBehavior {
    Normal,
    Silent,
    /// Answers with this response code.
    Code(u8),
    Garbage,
    /// Replies end in the middle.
    CutOff,
    /// Replies are truncated over UDP, and TCP fails.
    OnlyTruncated,
    /// Before the reply arrive forged ones: from another address, with another id, and to another question.
    Spoofed,
}

/// A query that the browser has sent.
pub struct SentQuery {
    pub query_id: u64,
    pub to: SocketAddr,
    pub transport: Transport,
    pub bytes: Vec<u8>,
}

/// What the client of a session has subscribed to.
pub struct Subscription {
    pub name: String,
    pub record_type: u16,
}

impl Subscription {
    /// From a SUBSCRIBE message: an uncompressed name, type and class.
    pub fn parse(message: &[u8]) -> Subscription {
        let mut labels = Vec::new();
        let mut at = 16;
        while message[at] != 0 {
            let length = usize::from(message[at]);
            let label = &message[at + 1..at + 1 + length];
            labels.push(String::from_utf8_lossy(label).to_string());
            at += 1 + length;
        }
        Subscription {
            name: labels.join("."),
            record_type: u16::from_be_bytes([message[at + 1], message[at + 2]]),
        }
    }

    /// Whether the change is of the subscription's name and type; type 255 stands for all types.
    pub fn covers(&self, change: &ZoneChange) -> bool {
        let record_type = change.rr.rtype().to_int();
        self.name.eq_ignore_ascii_case(&change.owner)
            && (self.record_type == 255 || self.record_type == record_type)
    }
}
