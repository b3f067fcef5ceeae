//! Frames of DNS Stateful Operations (RFC 8490) and DNS Push Notifications (RFC 8765).

use super::name::{name_text, Name};
use super::record::{read, Kind, Record};
use domain::base::iana::{Class, Opcode, Rtype};
use domain::base::name::{Name as Wire, ToLabelIter};
use domain::base::record::ParsedRecord;
use domain::base::Message;
use domain::dep::octseq::Parser;
use std::str::FromStr;

/// A header alone.
pub const HEADER: usize = 12;

const DSO_KEEPALIVE: u16 = 1;
const DSO_RETRY_DELAY: u16 = 2;
const DSO_SUBSCRIBE: u16 = 0x40;
const DSO_PUSH: u16 = 0x41;
/// In the place of a TTL: this one record has gone (RFC 8765 section 6.3.1).
const TTL_REMOVED: u32 = 0xFFFF_FFFF;
/// All records of the name and type have gone; those of any type, where the type is ANY.
const TTL_ALL_REMOVED: u32 = 0xFFFF_FFFE;

/// One change that was pushed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Added(Record),
    Removed(Record),
    /// All records of the name, of that type or, with none, of any.
    AllRemoved(Name, Option<Kind>),
}

/// A message of a stateful session.
#[derive(Debug, PartialEq, Eq)]
pub enum Stateful {
    /// Answers the request with this id; a keepalive also tells the session's time-outs in milliseconds.
    Response {
        id: u16,
        code: u8,
        keepalive_ms: Option<u32>,
    },
    Push(Vec<Change>),
    /// The server wants the session to end, and no new one for so many milliseconds.
    RetryDelay(u32),
    /// Of no use here.
    Other,
}

fn dso(id: u16, tlv: u16, data: &[u8]) -> Vec<u8> {
    let mut message = vec![0; HEADER];
    message[..2].copy_from_slice(&id.to_be_bytes());
    message[2] = Opcode::DSO.to_int() << 3;
    message.extend(tlv.to_be_bytes());
    message.extend((data.len() as u16).to_be_bytes());
    message.extend(data);
    message
}

/// Asks for changes of a name's records (RFC 8765 section 6.2.1).
pub fn subscribe(id: u16, name: &str, kind: Kind) -> Option<Vec<u8>> {
    let name = Wire::<Vec<u8>>::from_str(name).ok()?;
    let mut data = name.as_slice().to_vec();
    data.extend(kind.rtype().to_int().to_be_bytes());
    data.extend(Class::IN.to_int().to_be_bytes());
    Some(dso(id, DSO_SUBSCRIBE, &data))
}

/// Asks for the session to be kept (RFC 8490 section 7.1): no inactivity time-out, and a keepalive interval.
pub fn keepalive(id: u16, interval_ms: u32) -> Vec<u8> {
    let mut data = u32::MAX.to_be_bytes().to_vec();
    data.extend(interval_ms.to_be_bytes());
    dso(id, DSO_KEEPALIVE, &data)
}

/// Reads a message of a session; `None` ends it (RFC 8490 section 5.4.1: what makes no sense is fatal).
pub fn stateful(bytes: &[u8]) -> Option<Stateful> {
    let message = Message::from_octets(bytes).ok()?;
    let (header, counts) = (message.header(), message.header_counts());
    let none = [
        counts.qdcount(),
        counts.ancount(),
        counts.nscount(),
        counts.arcount(),
    ] == [0; 4];
    if header.opcode() != Opcode::DSO || !none {
        return None;
    }
    let tlv = |at: usize| -> Option<(u16, std::ops::Range<usize>)> {
        let head = bytes.get(at..at + 4)?;
        let (kind, length) = (
            u16::from_be_bytes([head[0], head[1]]),
            u16::from_be_bytes([head[2], head[3]]),
        );
        let range = at + 4..at + 4 + usize::from(length);
        bytes.get(range.clone()).map(|_| (kind, range))
    };
    let number = |at: usize| Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let first = if bytes.len() > HEADER {
        Some(tlv(HEADER)?)
    } else {
        None
    };
    if header.qr() {
        let keepalive_ms = match &first {
            Some((DSO_KEEPALIVE, range)) if range.len() == 8 => Some(number(range.start + 4)?),
            _ => None,
        };
        return Some(Stateful::Response {
            id: header.id(),
            code: header.rcode().to_int(),
            keepalive_ms,
        });
    }
    match first? {
        (DSO_PUSH, range) if header.id() == 0 => {
            Some(Stateful::Push(changes(&bytes[..range.end], range.start)?))
        }
        (DSO_RETRY_DELAY, range) if range.len() == 4 => {
            Some(Stateful::RetryDelay(number(range.start)?))
        }
        _ => Some(Stateful::Other),
    }
}

fn changes(bytes: &[u8], from: usize) -> Option<Vec<Change>> {
    let mut parser = Parser::from_ref(&bytes);
    parser.seek(from).ok()?;
    let mut changes = Vec::new();
    while parser.remaining() > 0 {
        let record: ParsedRecord<'_, &[u8]> = ParsedRecord::parse(&mut parser).ok()?;
        if record.ttl().as_secs() == TTL_ALL_REMOVED {
            let kinds = [
                Kind::Ptr,
                Kind::Srv,
                Kind::Txt,
                Kind::A,
                Kind::Aaaa,
                Kind::Soa,
            ];
            let kind = kinds.into_iter().find(|k| k.rtype() == record.rtype());
            if kind.is_some() || record.rtype() == Rtype::ANY {
                changes.push(Change::AllRemoved(
                    name_text(record.owner().iter_labels()),
                    kind,
                ));
            }
            continue;
        }
        let removed = record.ttl().as_secs() == TTL_REMOVED;
        let Some(record) = read(&record)? else {
            continue;
        };
        changes.push(if removed {
            Change::Removed(record)
        } else {
            Change::Added(record)
        });
    }
    Some(changes)
}
