//! Codec of DNS queries and their replies (RFC 1035, RFC 6891).

use super::name::canonical_name;
use super::record::{parse_record, MalformedRecord, Record, RecordType};
use domain::base::iana::{Class, Opcode, Rcode};
use domain::base::message::RecordSection;
use domain::base::name::{Name as WireName, ToLabelIter};
use domain::base::{Message, MessageBuilder};
use std::str::FromStr;

/// Size of a UDP reply that a query accepts with EDNS(0). Datagrams of this size are not fragmented on common paths
/// (DNS flag day 2020).
const MAX_UDP_REPLY_BYTES: u16 = 1_232;

/// The response code of a reply (RFC 1035 section 4.1.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseCode {
    /// The name exists, with or without records of the type.
    NoError,
    /// The name does not exist.
    NxDomain,
    /// SERVFAIL, REFUSED or any other code, by number.
    Other(u8),
}

/// A parsed reply; complete unless `is_truncated`.
#[derive(Debug)]
pub struct Reply {
    /// The response code.
    pub code: ResponseCode,
    /// The AA bit: the reply comes from an authoritative server, not from a cache.
    pub is_authoritative: bool,
    /// The TC bit: the reply was too long for its datagram and was cut off.
    pub is_truncated: bool,
    /// Records of the answer section.
    pub answer: Vec<Record>,
    /// Records of the authority section.
    pub authority: Vec<Record>,
    /// Records of the additional section, which the resolver adds unasked.
    pub additional: Vec<Record>,
}

/// Error for a message that is not accepted as the reply to a query.
#[derive(Debug, PartialEq, Eq)]
pub enum ReplyError {
    /// The message does not belong to the query: its id or question differs, its header or question is malformed, or
    /// it is not a response.
    Unrelated,
    /// The message belongs to the query but its records are malformed.
    Malformed,
}

/// The record sections of a message, in message order.
#[derive(Default)]
struct Sections {
    answer: Vec<Record>,
    authority: Vec<Record>,
    additional: Vec<Record>,
}

/// Encodes a recursive query with EDNS(0) (RFC 6891); `None` if the name is invalid.
pub fn encode_query(id: u16, name: &str, record_type: RecordType) -> Option<Vec<u8>> {
    let name = WireName::<Vec<u8>>::from_str(name).ok()?;
    let mut message = MessageBuilder::new_vec();
    message.header_mut().set_id(id);
    message.header_mut().set_rd(true);
    let mut question = message.question();
    question.push((&name, record_type.to_rtype())).ok()?;
    let mut additional = question.additional();
    additional
        .opt(|opt| {
            opt.set_udp_payload_size(MAX_UDP_REPLY_BYTES);
            Ok(())
        })
        .ok()?;
    Some(additional.finish())
}

/// Parses the reply to the query with this message id and question.
///
/// # Errors
/// Returns an error if the message does not belong to the query or is malformed.
pub fn parse_reply(
    bytes: &[u8],
    id: u16,
    name: &str,
    record_type: RecordType,
) -> Result<Reply, ReplyError> {
    let message = Message::from_octets(bytes).map_err(|_| ReplyError::Unrelated)?;
    let header = message.header();
    if header.id() != id || !header.qr() || header.opcode() != Opcode::QUERY {
        return Err(ReplyError::Unrelated);
    }
    let question = message.sole_question();
    let question = question.map_err(|_| ReplyError::Unrelated)?;
    let is_same_question = question.qtype() == record_type.to_rtype()
        && question.qclass() == Class::IN
        && &*canonical_name(question.qname().iter_labels()) == name;
    if !is_same_question {
        return Err(ReplyError::Unrelated);
    }
    let code = match header.rcode() {
        Rcode::NOERROR => ResponseCode::NoError,
        Rcode::NXDOMAIN => ResponseCode::NxDomain,
        other => ResponseCode::Other(other.to_int()),
    };
    let mut sections = Sections::default();
    let parsed = parse_sections(&message, &mut sections);
    // A truncated reply may end within a record, and its query is repeated over TCP, so it is not an error.
    if parsed.is_err() && !header.tc() {
        return Err(ReplyError::Malformed);
    }
    Ok(Reply {
        code,
        is_authoritative: header.aa(),
        is_truncated: header.tc(),
        answer: sections.answer,
        authority: sections.authority,
        additional: sections.additional,
    })
}

fn parse_sections(message: &Message<&[u8]>, into: &mut Sections) -> Result<(), MalformedRecord> {
    let mut section = message.answer().map_err(|_| MalformedRecord)?;
    parse_records(&mut section, &mut into.answer)?;
    let mut section = next_section(section)?;
    parse_records(&mut section, &mut into.authority)?;
    let mut section = next_section(section)?;
    parse_records(&mut section, &mut into.additional)
}

fn next_section<'a>(
    section: RecordSection<'a, &'a [u8]>,
) -> Result<RecordSection<'a, &'a [u8]>, MalformedRecord> {
    let next = section.next_section().map_err(|_| MalformedRecord)?;
    next.ok_or(MalformedRecord)
}

fn parse_records<'a>(
    section: &mut RecordSection<'a, &'a [u8]>,
    into: &mut Vec<Record>,
) -> Result<(), MalformedRecord> {
    for record in section {
        let record = record.map_err(|_| MalformedRecord)?;
        into.extend(parse_record(&record)?);
    }
    Ok(())
}
