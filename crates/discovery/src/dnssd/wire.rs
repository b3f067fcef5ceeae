//! DNS messages as the browser uses them. The messages themselves (RFC 1035, 2782, 6891) are read and written by the
//! `domain` library; only the frame of DNS Stateful Operations (RFC 8490 section 5.4), which no library has, is here.

use domain::base::iana::{Class, Opcode, Rcode, Rtype};
use domain::base::name::{FromStrError, Label, Name as Wire, ParsedName, ToLabelIter};
use domain::base::record::ParsedRecord;
use domain::base::{Message, MessageBuilder};
use domain::dep::octseq::Parser;
use domain::rdata::{Aaaa, Cname, Ptr, Soa, Srv, Txt, A};
use std::fmt::Write;
use std::net::{Ipv4Addr, Ipv6Addr};
use std::str::FromStr;
use std::sync::Arc;

/// A domain name in its one canonical form: lower case, `\.` and `\\` and `\DDD` as in RFC 1035 section 5.1 (a space is
/// `\032`), no dot at the end. Names that are the same in DNS are the same text.
pub type Name = Arc<str>;

/// Bytes that a UDP answer may have: what passes everywhere unfragmented (DNS flag day 2020).
const UDP_BYTES: u16 = 1_232;
/// A header alone.
pub const HEADER: usize = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Ptr,
    Srv,
    Txt,
    A,
    Aaaa,
    Soa,
    /// Any type; in subscriptions only (RFC 8765 section 6.2.1).
    Any,
}

impl Kind {
    fn rtype(self) -> Rtype {
        match self {
            Kind::Ptr => Rtype::PTR,
            Kind::Srv => Rtype::SRV,
            Kind::Txt => Rtype::TXT,
            Kind::A => Rtype::A,
            Kind::Aaaa => Rtype::AAAA,
            Kind::Soa => Rtype::SOA,
            Kind::Any => Rtype::ANY,
        }
    }
}

/// What a record says; types that nobody here asks for are not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Data {
    Ptr(Name),
    Srv {
        priority: u16,
        weight: u16,
        port: u16,
        target: Name,
    },
    Txt(Vec<Vec<u8>>),
    A(Ipv4Addr),
    Aaaa(Ipv6Addr),
    Cname(Name),
    Soa {
        serial: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub owner: Name,
    pub ttl: u32,
    pub data: Data,
}

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

/// The canonical form of one label.
pub fn label_text(label: &[u8]) -> String {
    let mut text = String::with_capacity(label.len());
    for b in label {
        match b.to_ascii_lowercase() {
            b @ (b'.' | b'\\') => text.extend(['\\', b as char]),
            b if b.is_ascii_graphic() => text.push(b as char),
            b => drop(write!(text, "\\{b:03}")),
        }
    }
    text
}

fn name_text<'a>(labels: impl Iterator<Item = &'a Label>) -> Name {
    let labels: Vec<String> = labels
        .filter(|l| !l.is_root())
        .map(|l| label_text(l.as_slice()))
        .collect();
    labels.join(".").into()
}

/// A name as somebody wrote it, in its canonical form.
pub fn name(text: &str) -> Result<Name, FromStrError> {
    Ok(name_text(Wire::<Vec<u8>>::from_str(text)?.iter_labels()))
}

/// The first label of a name and what stands behind it, both canonical.
pub fn split(name: &str) -> Option<(&str, &str)> {
    let bytes = name.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if bytes.get(at + 1).is_some_and(u8::is_ascii_digit) => at += 4,
            b'\\' => at += 2,
            b'.' => return Some((&name[..at], &name[at + 1..])),
            _ => at += 1,
        }
    }
    None
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

/// What a record says: `None` if it makes no sense, an empty one if nobody here asks for its type.
fn read(record: &ParsedRecord<'_, &[u8]>) -> Option<Option<Record>> {
    if record.class() != Class::IN && record.rtype() != Rtype::OPT {
        return Some(None);
    }
    fn text<O: AsRef<[u8]>>(name: &ParsedName<O>) -> Name {
        name_text(name.iter_labels())
    }
    let data = match record.rtype() {
        Rtype::PTR => Data::Ptr(text(record.to_record::<Ptr<_>>().ok()??.data().ptrdname())),
        Rtype::SRV => {
            let record = record.to_record::<Srv<_>>().ok()??;
            let s = record.data();
            let target = text(s.target());
            Data::Srv {
                priority: s.priority(),
                weight: s.weight(),
                port: s.port(),
                target,
            }
        }
        Rtype::TXT => {
            let record = record.to_record::<Txt<_>>().ok()??;
            Data::Txt(record.data().iter().map(<[u8]>::to_vec).collect())
        }
        Rtype::A => Data::A(record.to_record::<A>().ok()??.data().addr()),
        Rtype::AAAA => Data::Aaaa(record.to_record::<Aaaa>().ok()??.data().addr()),
        Rtype::CNAME => Data::Cname(text(record.to_record::<Cname<_>>().ok()??.data().cname())),
        Rtype::SOA => {
            let record = record.to_record::<Soa<_>>().ok()??;
            Data::Soa {
                serial: record.data().serial().into_int(),
            }
        }
        _ => return Some(None),
    };
    Some(Some(Record {
        owner: text(&record.owner()),
        ttl: record.ttl().as_secs(),
        data,
    }))
}

// ---- DNS Stateful Operations (RFC 8490) and Push Notifications (RFC 8765) --------------------------

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

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_name_has_one_form_whatever_its_case_and_escapes() {
        let one = name("Node\\0321\\.A._Topup._TCP.Example.ORG.").expect("a name");
        assert_eq!(&*one, "node\\0321\\.a._topup._tcp.example.org");
        assert_eq!(
            name("node\\ 1\\046a._topup._tcp.example.org").expect("a name"),
            one
        );
        assert_eq!(
            split(&one),
            Some(("node\\0321\\.a", "_topup._tcp.example.org"))
        );
        assert!(name("a..b").is_err() && name(&"a".repeat(64)).is_err());
    }

    /// Worked out by hand from RFC 1035 sections 4.1 and 2782.
    #[test]
    fn a_message_written_by_hand_is_read() {
        let mut m = vec![0x12, 0x34, 0x84, 0, 0, 1, 0, 1, 0, 0, 0, 0];
        m.extend(b"\x01S\x01t\x00\x00\x21\x00\x01"); // question: s.t SRV IN
        m.extend(b"\xc0\x0c\x00\x21\x00\x01\x00\x00\x00\x05\x00\x0b"); // s.t SRV IN, TTL 5, 11 bytes
        m.extend(b"\x00\x01\x00\x02\x1f\x90\x01h\xc0\x0e\x00"); // 1 2 8080 h.t and one byte too many
        assert_eq!(
            reply(&m, 0x1234, "s.t", Kind::Srv).err(),
            Some(Unread::Malformed)
        );
        m.pop();
        let at = m.len() - 11;
        m[at] = 0x0a;
        let read = reply(&m, 0x1234, "s.t", Kind::Srv).expect("an answer");
        let data = Data::Srv {
            priority: 1,
            weight: 2,
            port: 8080,
            target: "h.t".into(),
        };
        assert_eq!(
            read.answer,
            [Record {
                owner: "s.t".into(),
                ttl: 5,
                data
            }]
        );
        assert!(read.authoritative && !read.truncated);
        for (id, n, kind) in [
            (1, "s.t", Kind::Srv),
            (0x1234, "x.t", Kind::Srv),
            (0x1234, "s.t", Kind::A),
        ] {
            assert_eq!(reply(&m, id, n, kind).err(), Some(Unread::Foreign));
        }
    }

    /// A pointer that points at itself, or ahead, ends the reading (RFC 1035 section 4.1.4: a prior occurrence).
    #[test]
    fn compression_loops_are_no_names() {
        for pointer in [0x0c, 0x10, 0xff] {
            let mut m = vec![0, 1, 0x84, 0, 0, 1, 0, 0, 0, 0, 0, 0];
            m.extend([0xc0, pointer, 0, 12, 0, 1]);
            assert_eq!(reply(&m, 1, "a", Kind::Ptr).err(), Some(Unread::Foreign));
        }
    }

    #[test]
    fn pushed_changes_written_by_hand_are_read() {
        let mut m = vec![0, 0, 0x30, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41, 0, 0];
        m.extend(b"\x01a\x00\x00\x01\x00\x01\x00\x00\x00\x09\x00\x04\x7f\x00\x00\x01");
        m.extend(b"\x01a\x00\x00\x01\x00\x01\xff\xff\xff\xff\x00\x04\x7f\x00\x00\x02");
        m.extend(b"\x01b\x00\x00\x0c\x00\x01\xff\xff\xff\xfe\x00\x00");
        let length = (m.len() - 16) as u16;
        m[14..16].copy_from_slice(&length.to_be_bytes());
        let a = |last| Data::A(Ipv4Addr::new(127, 0, 0, last));
        let Some(Stateful::Push(changes)) = stateful(&m) else {
            panic!("a push")
        };
        assert_eq!(
            changes[0],
            Change::Added(Record {
                owner: "a".into(),
                ttl: 9,
                data: a(1)
            })
        );
        assert_eq!(
            changes[1],
            Change::Removed(Record {
                owner: "a".into(),
                ttl: u32::MAX,
                data: a(2)
            })
        );
        assert_eq!(changes[2], Change::AllRemoved("b".into(), Some(Kind::Ptr)));
        m.truncate(m.len() - 1);
        assert_eq!(stateful(&m), None);
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
            let _ = reply(&bytes, 1, "a", Kind::Ptr);
            let _ = stateful(&bytes);
        }

        /// The same behind a head that lets them in.
        #[test]
        fn arbitrary_records_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600), n in 0u8..40) {
            let mut m = vec![0, 1, 0x84, 0, 0, 1, 0, n, 0, 0, 0, n];
            m.extend(b"\x01a\x00\x00\x0c\x00\x01");
            m.extend(&bytes);
            let _ = reply(&m, 1, "a", Kind::Ptr);
            let mut m = vec![0, 0, 0x30, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41];
            m.extend((bytes.len() as u16).to_be_bytes());
            m.extend(&bytes);
            let _ = stateful(&m);
        }
    }
}
