//! Codec of the messages of DNS Stateful Operations (RFC 8490) and DNS Push Notifications (RFC 8765).

use super::name::{canonical_name, Name};
use super::record::{parse_record, Record, RecordType};
use domain::base::iana::{Class, Opcode, Rtype};
use domain::base::name::{Name as WireName, ToLabelIter};
use domain::base::record::ParsedRecord;
use domain::base::Message;
use domain::dep::octseq::Parser;
use std::ops::Range;
use std::str::FromStr;

/// Length of a DNS message header.
pub const HEADER_BYTES: usize = 12;
/// Length of a TLV header, which holds the type and the length.
const TLV_HEADER_BYTES: usize = 4;

const TLV_KEEPALIVE: u16 = 1;
const TLV_RETRY_DELAY: u16 = 2;
const TLV_SUBSCRIBE: u16 = 0x40;
const TLV_PUSH: u16 = 0x41;
/// Value of the TTL field for the removal of a single record (RFC 8765 section 6.3.1).
const TTL_REMOVED: u32 = 0xFFFF_FFFF;
/// Value of the TTL field for the removal of all records of the name and type, or of any type if the type is ANY.
const TTL_ALL_REMOVED: u32 = 0xFFFF_FFFE;
/// Record types for which the removal of all records is reported.
const REMOVABLE_TYPES: [RecordType; 6] = [
    RecordType::Ptr,
    RecordType::Srv,
    RecordType::Txt,
    RecordType::A,
    RecordType::Aaaa,
    RecordType::Soa,
];

/// A pushed change to a record or record set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// The record was added, or existed when the subscription began.
    Added(Record),
    /// The record was removed.
    Removed(Record),
    /// All records of the name and type were removed; `None`: of any type.
    AllRemoved(Name, Option<RecordType>),
}

/// A message that a DSO session received.
#[derive(Debug, PartialEq, Eq)]
pub enum DsoMessage {
    /// The response to a request.
    Response {
        /// The request's id.
        id: u16,
        /// The RCODE; 0: the server granted the request.
        code: u8,
        /// In the response to a keepalive: the keepalive interval that the server requires, in milliseconds.
        keepalive_ms: Option<u32>,
    },
    /// Changes to records of the client's subscriptions.
    Push(Vec<RecordChange>),
    /// The server ends the session and accepts no new one for this many milliseconds.
    RetryDelay(u32),
    /// A message that the client ignores.
    Other,
}

/// A type-length-value element: its type and the range of its value in the message.
struct Tlv {
    tlv_type: u16,
    value: Range<usize>,
}

/// Encodes a subscription to changes to a name's records (RFC 8765 section 6.2.1); `None` if the name is invalid.
pub fn encode_subscribe(id: u16, name: &str, record_type: RecordType) -> Option<Vec<u8>> {
    let name = WireName::<Vec<u8>>::from_str(name).ok()?;
    let mut value = name.as_slice().to_vec();
    value.extend(record_type.to_rtype().to_int().to_be_bytes());
    value.extend(Class::IN.to_int().to_be_bytes());
    Some(encode_request(id, TLV_SUBSCRIBE, &value))
}

/// Encodes a keepalive request with no inactivity timeout and this keepalive interval (RFC 8490 section 7.1).
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

/// Parses a DSO message; `None` if it is invalid, which ends the session (RFC 8490 section 5.4.1).
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

/// Returns the interval in milliseconds from a keepalive TLV, where it follows the inactivity timeout.
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

/// Parses the records of a PUSH message, which begin at `start`; `None` if a record is malformed.
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

/// Parses the removal of all records of a name; `None` if the record type is not used.
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
