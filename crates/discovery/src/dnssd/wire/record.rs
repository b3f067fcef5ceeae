//! Resource records: the types and data that service discovery uses.

use super::name::{name_text, Name};
use domain::base::iana::{Class, Rtype};
use domain::base::name::{ParsedName, ToLabelIter};
use domain::base::record::ParsedRecord;
use domain::rdata::{Aaaa, Cname, Ptr, Soa, Srv, Txt, A};
use std::net::{Ipv4Addr, Ipv6Addr};

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
    pub(super) fn rtype(self) -> Rtype {
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

/// What a record says: `None` if it makes no sense, an empty one if nobody here asks for its type.
pub(super) fn read(record: &ParsedRecord<'_, &[u8]>) -> Option<Option<Record>> {
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
