//! Queries and their replies (RFC 1035, RFC 6891).

use super::name::name_text;
use super::record::{read, Kind, Record};
use domain::base::iana::{Class, Opcode, Rcode};
use domain::base::name::{Name as Wire, ToLabelIter};
use domain::base::{Message, MessageBuilder};
use std::str::FromStr;

/// Bytes that a UDP answer may have: what passes everywhere unfragmented (DNS flag day 2020).
const UDP_BYTES: u16 = 1_232;

/// How a query was answered (RFC 1035 section 4.1.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    NoError,
    NxDomain,
    /// SERVFAIL, REFUSED and all others.
    Other(u8),
}

/// An answer that could be read to its end.
#[derive(Debug)]
pub struct Reply {
    pub code: Code,
    pub authoritative: bool,
    pub truncated: bool,
    pub answer: Vec<Record>,
    pub authority: Vec<Record>,
    pub additional: Vec<Record>,
}

/// Why a message was not read.
#[derive(Debug, PartialEq, Eq)]
pub enum Unread {
    /// It does not belong to the question: another id, another question, or no answer at all.
    Foreign,
    /// It does, and makes no sense.
    Malformed,
}

/// A query with EDNS(0) (RFC 6891) that asks a resolver to look further.
pub fn query(id: u16, name: &str, kind: Kind) -> Option<Vec<u8>> {
    let name = Wire::<Vec<u8>>::from_str(name).ok()?;
    let mut message = MessageBuilder::new_vec();
    message.header_mut().set_id(id);
    message.header_mut().set_rd(true);
    let mut question = message.question();
    question.push((&name, kind.rtype())).ok()?;
    let mut additional = question.additional();
    additional
        .opt(|opt| {
            opt.set_udp_payload_size(UDP_BYTES);
            Ok(())
        })
        .ok()?;
    Some(additional.finish())
}

/// The answer to a question, read to its end or not at all.
pub fn reply(bytes: &[u8], id: u16, name: &str, kind: Kind) -> Result<Reply, Unread> {
    let message = Message::from_octets(bytes).map_err(|_| Unread::Foreign)?;
    let header = message.header();
    if header.id() != id || !header.qr() || header.opcode() != Opcode::QUERY {
        return Err(Unread::Foreign);
    }
    let question = message.sole_question().map_err(|_| Unread::Foreign)?;
    let same = question.qtype() == kind.rtype()
        && question.qclass() == Class::IN
        && &*name_text(question.qname().iter_labels()) == name;
    if !same {
        return Err(Unread::Foreign);
    }
    let code = match header.rcode() {
        Rcode::NOERROR => Code::NoError,
        Rcode::NXDOMAIN => Code::NxDomain,
        other => Code::Other(other.to_int()),
    };
    let (mut answer, mut authority, mut additional) = (Vec::new(), Vec::new(), Vec::new());
    let sections = (|| {
        let mut section = message.answer().ok()?;
        read_all(&mut section, &mut answer)?;
        let mut section = section.next_section().ok()??;
        read_all(&mut section, &mut authority)?;
        let mut section = section.next_section().ok()??;
        read_all(&mut section, &mut additional)
    })();
    // What was cut off ends anywhere; nothing of it is used.
    if sections.is_none() && !header.tc() {
        return Err(Unread::Malformed);
    }
    Ok(Reply {
        code,
        authoritative: header.aa(),
        truncated: header.tc(),
        answer,
        authority,
        additional,
    })
}

fn read_all<'a>(
    section: &mut domain::base::message::RecordSection<'a, &'a [u8]>,
    into: &mut Vec<Record>,
) -> Option<()> {
    for record in section {
        into.extend(read(&record.ok()?)?);
    }
    Some(())
}
