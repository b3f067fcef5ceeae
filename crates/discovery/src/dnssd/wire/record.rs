//! Resource records of the types that service discovery uses.

use super::name::{canonical_name, Name};
use domain::base::iana::{Class, Rtype};
use domain::base::name::{ParsedName, ToLabelIter};
use domain::base::record::ParsedRecord;
use domain::rdata::{Aaaa, Cname, Ptr, Soa, Srv, Txt, A};
use std::net::{Ipv4Addr, Ipv6Addr};

/// The record type of a query or subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordType {
    /// Names of instances (RFC 6763).
    Ptr,
    /// Host and port of an instance (RFC 2782).
    Srv,
    /// Attributes of an instance (RFC 6763).
    Txt,
    /// IPv4 address.
    A,
    /// IPv6 address.
    Aaaa,
    /// Start of authority (SOA), queried for the zone's serial.
    Soa,
    /// Any type; used only in subscriptions (RFC 8765 section 6.2.1).
    Any,
}

impl RecordType {
    pub(super) fn to_rtype(self) -> Rtype {
        match self {
            RecordType::Ptr => Rtype::PTR,
            RecordType::Srv => Rtype::SRV,
            RecordType::Txt => Rtype::TXT,
            RecordType::A => Rtype::A,
            RecordType::Aaaa => Rtype::AAAA,
            RecordType::Soa => Rtype::SOA,
            RecordType::Any => Rtype::ANY,
        }
    }
}

/// The data of a record. Records of other types are skipped when a message is parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordData {
    /// Name of an instance.
    Ptr(Name),
    /// Location of an instance.
    Srv {
        /// Records with lower values are used first.
        priority: u16,
        /// Relative share of the load among records with the same priority.
        weight: u16,
        /// The port of the instance.
        port: u16,
        /// Name of the host; empty (the root): the service is not available.
        target: Name,
    },
    /// Attribute strings of an instance.
    Txt(Vec<Vec<u8>>),
    /// IPv4 address of a host.
    A(Ipv4Addr),
    /// IPv6 address of a host.
    Aaaa(Ipv6Addr),
    /// The target of an alias: the name that the owner is an alias of.
    Cname(Name),
    /// Start of authority of a zone.
    Soa {
        /// Serial number of the zone's version (RFC 1982).
        serial: u32,
    },
}

/// A resource record of class IN.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The name that owns the record.
    pub owner: Name,
    /// Time to live in seconds.
    pub ttl_s: u32,
    /// The record's type and data.
    pub data: RecordData,
}

/// Error for a record whose data is invalid for its type.
pub(super) struct MalformedRecord;

/// Parses a record; `None` if the record's type or class is not used.
pub(super) fn parse_record(
    record: &ParsedRecord<'_, &[u8]>,
) -> Result<Option<Record>, MalformedRecord> {
    if record.class() != Class::IN || !is_used(record.rtype()) {
        return Ok(None);
    }
    Ok(Some(Record {
        owner: to_name(&record.owner()),
        ttl_s: record.ttl().as_secs(),
        data: parse_data(record).ok_or(MalformedRecord)?,
    }))
}

/// Returns whether service discovery uses records of this type.
fn is_used(rtype: Rtype) -> bool {
    matches!(
        rtype,
        Rtype::PTR | Rtype::SRV | Rtype::TXT | Rtype::A | Rtype::AAAA | Rtype::CNAME | Rtype::SOA
    )
}

/// Parses the data of a record whose type is used; `None` if the data is malformed.
fn parse_data(record: &ParsedRecord<'_, &[u8]>) -> Option<RecordData> {
    match record.rtype() {
        Rtype::PTR => {
            let record = record.to_record::<Ptr<_>>().ok()??;
            Some(RecordData::Ptr(to_name(record.data().ptrdname())))
        }
        Rtype::SRV => {
            let record = record.to_record::<Srv<_>>().ok()??;
            let data = record.data();
            Some(RecordData::Srv {
                priority: data.priority(),
                weight: data.weight(),
                port: data.port(),
                target: to_name(data.target()),
            })
        }
        Rtype::TXT => {
            let record = record.to_record::<Txt<_>>().ok()??;
            let strings = record.data().iter().map(<[u8]>::to_vec);
            Some(RecordData::Txt(strings.collect()))
        }
        Rtype::A => {
            let record = record.to_record::<A>().ok()??;
            Some(RecordData::A(record.data().addr()))
        }
        Rtype::AAAA => {
            let record = record.to_record::<Aaaa>().ok()??;
            Some(RecordData::Aaaa(record.data().addr()))
        }
        Rtype::CNAME => {
            let record = record.to_record::<Cname<_>>().ok()??;
            Some(RecordData::Cname(to_name(record.data().cname())))
        }
        Rtype::SOA => {
            let record = record.to_record::<Soa<_>>().ok()??;
            let serial = record.data().serial().into_int();
            Some(RecordData::Soa { serial })
        }
        _ => None,
    }
}

fn to_name<O: AsRef<[u8]>>(name: &ParsedName<O>) -> Name {
    canonical_name(name.iter_labels())
}
