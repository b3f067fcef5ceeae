//! Frames of DNS Stateful Operations (RFC 8490) and DNS Push Notifications (RFC 8765).

use super::name::{canonical_name, Name};
use super::record::{parse_record, Record, RecordType};
use domain::base::iana::{Class, Opcode, Rtype};
use domain::base::name::{Name as WireName, ToLabelIter};
use domain::base::record::ParsedRecord;
use domain::base::Message;
use domain::dep::octseq::Parser;
use std::ops::Range;
use std::str::FromStr;

/// Length of a DNS header.
pub const HEADER_BYTES: usize = 12;
/// Length of a TLV's type and length.
const TLV_HEADER_BYTES: usize = 4;

const TLV_KEEPALIVE: u16 = 1;
const TLV_RETRY_DELAY: u16 = 2;
const TLV_SUBSCRIBE: u16 = 0x40;
const TLV_PUSH: u16 = 0x41;
/// In place of a TTL: this one record was removed (RFC 8765 section 6.3.1).
const TTL_REMOVED: u32 = 0xFFFF_FFFF;
/// In place of a TTL: all records of the name and type were removed; those of any type, where the type is ANY.
const TTL_ALL_REMOVED: u32 = 0xFFFF_FFFE;
/// Types of which the removal of all records is recognized.
const REMOVABLE_TYPES: [RecordType; 6] = [
    RecordType::Ptr,
    RecordType::Srv,
    RecordType::Txt,
    RecordType::A,
    RecordType::Aaaa,
    RecordType::Soa,
];

/// One change that was pushed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// The record was added, or exists when the subscription begins.
    Added(Record),
    /// The record was removed.
    Removed(Record),
    /// All records of the name and of that type were removed; `None`: of any type.
    AllRemoved(Name, Option<RecordType>),
}

/// A message of a stateful session.
#[derive(Debug, PartialEq, Eq)]
pub enum DsoMessage {
    /// The response to a request.
    Response {
        /// The request's id.
        id: u16,
        /// The RCODE; 0: granted.
        code: u8,
        /// In the response to a keepalive: the interval in milliseconds that the server asks for.
        keepalive_ms: Option<u32>,
    },
    /// Changes of records that are subscribed to.
    Push(Vec<RecordChange>),
    /// The server ends the session and accepts no new one for so many milliseconds.
    RetryDelay(u32),
    /// A message that is not used.
    Other,
}

/// A type-length-value element: its type and where its value is in the message.
struct Tlv {
    tlv_type: u16,
    value: Range<usize>,
}

/// Encodes a subscription to changes of a name's records (RFC 8765 section 6.2.1); `None` if the name is not valid.
pub fn encode_subscribe(id: u16, name: &str, record_type: RecordType) -> Option<Vec<u8>> {
    let name = WireName::<Vec<u8>>::from_str(name).ok()?;
    let mut value = name.as_slice().to_vec();
    value.extend(record_type.to_rtype().to_int().to_be_bytes());
    value.extend(Class::IN.to_int().to_be_bytes());
    Some(encode_request(id, TLV_SUBSCRIBE, &value))
}

/// Encodes a keepalive (RFC 8490 section 7.1): no inactivity time-out, and a keepalive interval.
pub fn encode_keepalive(id: u16, interval_ms: u32) -> Vec<u8> {
    let mut value = u32::MAX.to_be_bytes().to_vec();
    value.extend(interval_ms.to_be_bytes());
    encode_request(id, TLV_KEEPALIVE, &value)
}

fn encode_request(id: u16, tlv_type: u16, value: &[u8]) -> Vec<u8> {
    let mut message = vec![0; HEADER_BYTES];
    message[..2].copy_from_slice(&id.to_be_bytes());
    message[2] = Opcode::DSO.to_int() << 3;
    message.extend(tlv_type.to_be_bytes());
    message.extend((value.len() as u16).to_be_bytes());
    message.extend(value);
    message
}

/// Parses a message of a session. `None`: it is invalid, which ends the session (RFC 8490 section 5.4.1).
pub fn parse_dso_message(bytes: &[u8]) -> Option<DsoMessage> {
    let message = Message::from_octets(bytes).ok()?;
    let header = message.header();
    let counts = message.header_counts();
    let has_no_records = [
        counts.qdcount(),
        counts.ancount(),
        counts.nscount(),
        counts.arcount(),
    ] == [0; 4];
    if header.opcode() != Opcode::DSO || !has_no_records {
        return None;
    }
    let first_tlv = if bytes.len() > HEADER_BYTES {
        Some(parse_tlv(bytes, HEADER_BYTES)?)
    } else {
        None
    };
    if header.qr() {
        return Some(DsoMessage::Response {
            id: header.id(),
            code: header.rcode().to_int(),
            keepalive_ms: keepalive_interval_ms(bytes, first_tlv.as_ref()),
        });
    }
    let Tlv { tlv_type, value } = first_tlv?;
    match tlv_type {
        TLV_PUSH if header.id() == 0 => {
            let changes = parse_changes(&bytes[..value.end], value.start)?;
            Some(DsoMessage::Push(changes))
        }
        TLV_RETRY_DELAY if value.len() == 4 => {
            Some(DsoMessage::RetryDelay(parse_u32(bytes, value.start)?))
        }
        _ => Some(DsoMessage::Other),
    }
}

/// The keepalive interval in a keepalive TLV, which follows the inactivity time-out.
fn keepalive_interval_ms(bytes: &[u8], tlv: Option<&Tlv>) -> Option<u32> {
    let tlv = tlv?;
    if tlv.tlv_type != TLV_KEEPALIVE || tlv.value.len() != 8 {
        return None;
    }
    parse_u32(bytes, tlv.value.start + 4)
}

fn parse_tlv(bytes: &[u8], at: usize) -> Option<Tlv> {
    let head = bytes.get(at..at + TLV_HEADER_BYTES)?;
    let tlv_type = u16::from_be_bytes([head[0], head[1]]);
    let length = u16::from_be_bytes([head[2], head[3]]);
    let start = at + TLV_HEADER_BYTES;
    let value = start..start + usize::from(length);
    bytes.get(value.clone())?;
    Some(Tlv { tlv_type, value })
}

fn parse_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// Parses the records of a PUSH message, which begin at `start`; `None` if one is malformed.
fn parse_changes(bytes: &[u8], start: usize) -> Option<Vec<RecordChange>> {
    let mut parser = Parser::from_ref(&bytes);
    parser.seek(start).ok()?;
    let mut changes = Vec::new();
    while parser.remaining() > 0 {
        let record: ParsedRecord<'_, &[u8]> = ParsedRecord::parse(&mut parser).ok()?;
        if record.ttl().as_secs() == TTL_ALL_REMOVED {
            changes.extend(parse_removal_of_all(&record));
            continue;
        }
        let is_removed = record.ttl().as_secs() == TTL_REMOVED;
        let Some(record) = parse_record(&record).ok()? else {
            continue;
        };
        changes.push(if is_removed {
            RecordChange::Removed(record)
        } else {
            RecordChange::Added(record)
        });
    }
    Some(changes)
}

/// The removal of all records of a name; `None` if records of the type are not used.
fn parse_removal_of_all(record: &ParsedRecord<'_, &[u8]>) -> Option<RecordChange> {
    let record_type = REMOVABLE_TYPES
        .into_iter()
        .find(|record_type| record_type.to_rtype() == record.rtype());
    if record_type.is_none() && record.rtype() != Rtype::ANY {
        return None;
    }
    let name = canonical_name(record.owner().iter_labels());
    Some(RecordChange::AllRemoved(name, record_type))
}
