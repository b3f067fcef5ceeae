//! Messages and events between the browser and the simulated servers.

use frosthatch_discovery::dnssd::browser::{Input, Transport};
use frosthatch_test_doubles::ZoneChange;
use std::net::SocketAddr;

/// An event that reaches the browser; its variants correspond to those of [`Input`].
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

/// Behavior of a simulated resolver.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ResolverBehavior {
    /// Answers from its zone.
    Normal,
    /// Sends no replies.
    Silent,
    /// Replies with this response code and no records.
    Code(u8),
    /// Replies with invalid bytes after the header.
    Garbage,
    /// Replies with the first half of each message.
    CutOff,
    /// Sends truncated replies over UDP; TCP fails.
    OnlyTruncated,
    /// Forged replies arrive before the genuine one: from another address, with another message id, and to another
    /// question.
    Spoofed,
}

/// A query that the browser sent.
pub struct SentQuery {
    pub query_id: u64,
    pub to: SocketAddr,
    pub transport: Transport,
    pub bytes: Vec<u8>,
}

/// A subscription of the push client.
pub struct Subscription {
    pub name: String,
    pub record_type: u16,
}

impl Subscription {
    /// Parses a SUBSCRIBE message, which holds an uncompressed name, a type and a class.
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

    /// Returns whether a change matches the subscription's name and type; type 255 (ANY) matches all types.
    pub fn covers(&self, change: &ZoneChange) -> bool {
        let record_type = change.rr.rtype().to_int();
        self.name.eq_ignore_ascii_case(&change.owner)
            && (self.record_type == 255 || self.record_type == record_type)
    }
}
