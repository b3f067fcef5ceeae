//! DNS zone with DNS-SD records, which builds the answers to queries (RFC 1035, 2782, 6763). Does no I/O.

use domain::base::iana::{Class, Rcode, Rtype};
use domain::base::message_builder::{HashCompressor, RecordSectionBuilder};
use domain::base::name::Name;
use domain::base::record::Ttl;
use domain::base::{Message, MessageBuilder, Record, Serial};
use domain::rdata::{Aaaa, Cname, Ptr, Soa, Srv, Txt, A};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::str::FromStr;

type DomainName = Name<Vec<u8>>;

/// Type and data of a resource record.
#[derive(Clone, Debug, PartialEq)]
pub enum Rr {
    Ptr(String),
    Srv(u16, u16, u16, String),
    Txt(Vec<String>),
    A(Ipv4Addr),
    Aaaa(Ipv6Addr),
    Cname(String),
}

/// A record that was added to a zone or removed from it.
#[derive(Clone, Debug)]
pub struct ZoneChange {
    pub added: bool,
    pub owner: String,
    pub rr: Rr,
}

/// The records under one domain, and the properties of the answers built from them.
pub struct Zone {
    pub domain: String,
    pub serial: u32,
    /// TTL of all records, in seconds.
    pub ttl_s: u32,
    /// Whether answers have the AA (authoritative answer) bit.
    pub authoritative: bool,
    /// Whether an answer to a PTR query has SRV, TXT and address records in its additional section (RFC 6763
    /// section 12.1).
    pub additional: bool,
    records: BTreeMap<String, Vec<Rr>>,
    changes: Vec<ZoneChange>,
}

fn domain_name(text: &str) -> DomainName {
    Name::from_str(text).expect("the name in the test is a valid domain name")
}

/// Returns the lookup key of a name, which disregards case and escapes.
fn lookup_key(text: &str) -> String {
    domain_name(text).to_string().to_ascii_lowercase()
}

impl Zone {
    /// Creates a zone without records.
    pub fn new(domain: &str) -> Zone {
        Zone {
            domain: domain.into(),
            serial: 1,
            ttl_s: 10,
            authoritative: true,
            additional: true,
            records: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Adds a record.
    pub fn add(&mut self, owner: &str, rr: Rr) {
        self.serial += 1;
        self.changes.push(ZoneChange {
            added: true,
            owner: owner.into(),
            rr: rr.clone(),
        });
        self.records.entry(lookup_key(owner)).or_default().push(rr);
    }

    /// Removes those of the owner's records that `matches` accepts.
    pub fn remove(&mut self, owner: &str, matches: impl Fn(&Rr) -> bool) {
        self.serial += 1;
        let Some(all) = self.records.get_mut(&lookup_key(owner)) else {
            return;
        };
        for rr in all.iter().filter(|rr| matches(rr)) {
            self.changes.push(ZoneChange {
                added: false,
                owner: owner.into(),
                rr: rr.clone(),
            });
        }
        all.retain(|rr| !matches(rr));
        if all.is_empty() {
            self.records.remove(&lookup_key(owner));
        }
    }

    /// Adds an instance of a service: PTR, SRV and TXT records, and the address of its host `INSTANCE.host.DOMAIN`.
    pub fn add_instance(
        &mut self,
        service: &str,
        instance: &str,
        at: SocketAddr,
        strings: &[&str],
    ) {
        let (full, host) = (
            format!("{instance}.{service}"),
            format!("{instance}.host.{}", self.domain),
        );
        match at.ip() {
            IpAddr::V4(ip) => self.add(&host, Rr::A(ip)),
            IpAddr::V6(ip) => self.add(&host, Rr::Aaaa(ip)),
        }
        self.add(&full, Rr::Srv(0, 0, at.port(), host));
        self.add(
            &full,
            Rr::Txt(strings.iter().map(|t| t.to_string()).collect()),
        );
        self.add(service, Rr::Ptr(full));
    }

    /// Removes an instance's PTR, SRV and TXT records and its host's address.
    pub fn remove_instance(&mut self, service: &str, instance: &str) {
        let full = format!("{instance}.{service}");
        let full_key = lookup_key(&full);
        self.remove(
            service,
            |rr| matches!(rr, Rr::Ptr(n) if lookup_key(n) == full_key),
        );
        self.remove(&full, |_| true);
        self.remove(&format!("{instance}.host.{}", self.domain), |_| true);
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ZoneChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the records of an owner.
    pub fn records(&self, owner: &str) -> &[Rr] {
        self.records.get(&lookup_key(owner)).map_or(&[], |all| all)
    }

    /// Returns the answer to a query, truncated at `max_bytes`; `None` if the query cannot be parsed.
    pub fn answer(&self, query: &[u8], max_bytes: usize) -> Option<Vec<u8>> {
        let query = Message::from_octets(query).ok()?;
        let question = query.sole_question().ok()?;
        let (qname, qtype) = (question.qname().to_string(), question.qtype());
        let mut builder = MessageBuilder::from_target(HashCompressor::new(Vec::new())).ok()?;
        builder.set_push_limit(max_bytes);
        let header = builder.header_mut();
        header.set_id(query.header().id());
        header.set_qr(true);
        header.set_rd(query.header().rd());
        header.set_aa(self.authoritative);
        let mut message = builder.question();
        message.push(question).ok()?;
        let mut answer = message.answer();
        let mut owner = qname;
        let mut found = Vec::new();
        let mut fits = true;
        // Looks up at most 4 owners along a chain of CNAME records, so that a loop of them ends.
        for _ in 0..4 {
            let matching: Vec<Rr> = self
                .records(&owner)
                .iter()
                .filter(|rr| rr.matches_type(qtype))
                .cloned()
                .collect();
            let alias = self
                .records(&owner)
                .iter()
                .find(|rr| matches!(rr, Rr::Cname(_)));
            for rr in &matching {
                fits &= add(&mut answer, self.ttl_s, &owner, rr);
            }
            found.extend(matching);
            match alias {
                Some(rr @ Rr::Cname(to)) if qtype != Rtype::CNAME => {
                    fits &= add(&mut answer, self.ttl_s, &owner, rr);
                    owner = to.clone();
                }
                _ => break,
            }
        }
        let apex = lookup_key(&owner) == lookup_key(&self.domain);
        if qtype == Rtype::SOA && apex {
            fits &= answer.push(self.soa()).is_ok();
        }
        if !apex && !self.exists(&owner) {
            answer.header_mut().set_rcode(Rcode::NXDOMAIN);
        }
        if !fits {
            answer.header_mut().set_tc(true);
            return Some(answer.finish().into_target());
        }
        let mut authority = answer.authority();
        if found.is_empty() && !(qtype == Rtype::SOA && apex) {
            let _ = authority.push(self.soa());
        }
        let mut additional = authority.additional();
        if self.additional && qtype == Rtype::PTR {
            'additional: for rr in &found {
                let Rr::Ptr(instance) = rr else { continue };
                for rr in self.records(instance) {
                    let mut fits = add(&mut additional, self.ttl_s, instance, rr);
                    if let Rr::Srv(.., target) = rr {
                        for a in self.records(target) {
                            fits &= add(&mut additional, self.ttl_s, target, a);
                        }
                    }
                    if !fits {
                        break 'additional;
                    }
                }
            }
        }
        Some(additional.finish().into_target())
    }

    /// Returns whether the name, or one under it, has records.
    fn exists(&self, owner: &str) -> bool {
        let (owner, suffix) = (lookup_key(owner), format!(".{}", lookup_key(owner)));
        self.records.contains_key(&owner) || self.records.keys().any(|k| k.ends_with(&suffix))
    }

    fn soa(&self) -> Record<DomainName, Soa<DomainName>> {
        let (apex, ttl) = (domain_name(&self.domain), Ttl::from_secs(self.ttl_s));
        let soa = Soa::new(
            apex.clone(),
            apex.clone(),
            Serial(self.serial),
            ttl,
            ttl,
            ttl,
            ttl,
        );
        Record::new(apex, Class::IN, ttl, soa)
    }
}

/// Adds a record to a section and returns whether it fitted.
fn add(
    to: &mut impl RecordSectionBuilder<HashCompressor<Vec<u8>>>,
    ttl: u32,
    owner: &str,
    rr: &Rr,
) -> bool {
    let (owner, ttl) = (domain_name(owner), Ttl::from_secs(ttl));
    match rr {
        Rr::Ptr(n) => to.push((owner, ttl, Ptr::new(domain_name(n)))).is_ok(),
        Rr::Srv(p, w, port, n) => to
            .push((owner, ttl, Srv::new(*p, *w, *port, domain_name(n))))
            .is_ok(),
        Rr::Txt(strings) => to.push((owner, ttl, txt_data(strings))).is_ok(),
        Rr::A(a) => to.push((owner, ttl, A::new(*a))).is_ok(),
        Rr::Aaaa(a) => to.push((owner, ttl, Aaaa::new(*a))).is_ok(),
        Rr::Cname(n) => to.push((owner, ttl, Cname::new(domain_name(n)))).is_ok(),
    }
}

/// Encodes the strings of a TXT record.
fn txt_data(strings: &[String]) -> Txt<Vec<u8>> {
    let mut rdata = Vec::new();
    for string in strings {
        rdata.push(string.len() as u8);
        rdata.extend(string.as_bytes());
    }
    if rdata.is_empty() {
        rdata.push(0);
    }
    Txt::from_octets(rdata)
        .expect("each string is at most 255 bytes long, and together they are valid TXT data")
}

impl Rr {
    pub fn rtype(&self) -> Rtype {
        match self {
            Rr::Ptr(_) => Rtype::PTR,
            Rr::Srv(..) => Rtype::SRV,
            Rr::Txt(_) => Rtype::TXT,
            Rr::A(_) => Rtype::A,
            Rr::Aaaa(_) => Rtype::AAAA,
            Rr::Cname(_) => Rtype::CNAME,
        }
    }

    /// Returns whether a query of this type asks for the record.
    fn matches_type(&self, qtype: Rtype) -> bool {
        qtype == Rtype::ANY || qtype == self.rtype()
    }

    /// Encodes the record for a push message, without name compression (RFC 8765 section 6.3.1).
    pub fn encode_for_push(&self, owner: &str, ttl: u32) -> Vec<u8> {
        let mut out = Vec::new();
        let (owner, ttl) = (domain_name(owner), Ttl::from_secs(ttl));
        let class = Class::IN;
        let composed = match self {
            Rr::Ptr(n) => {
                Record::new(owner, class, ttl, Ptr::new(domain_name(n))).compose(&mut out)
            }
            Rr::Srv(p, w, port, n) => {
                Record::new(owner, class, ttl, Srv::new(*p, *w, *port, domain_name(n)))
                    .compose(&mut out)
            }
            Rr::Txt(strings) => Record::new(owner, class, ttl, txt_data(strings)).compose(&mut out),
            Rr::A(a) => Record::new(owner, class, ttl, A::new(*a)).compose(&mut out),
            Rr::Aaaa(a) => Record::new(owner, class, ttl, Aaaa::new(*a)).compose(&mut out),
            Rr::Cname(n) => {
                Record::new(owner, class, ttl, Cname::new(domain_name(n))).compose(&mut out)
            }
        };
        composed.expect("a vector grows as needed");
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_thousand_instances_fit_in_one_answer_over_tcp() {
        let mut zone = Zone::new("example.org");
        let service = "_topup._tcp.example.org";
        for n in 0..2_000u16 {
            let at = SocketAddr::from(([127, 1, (n / 250) as u8, (n % 250) as u8], 80));
            zone.add_instance(service, &format!("n{n}"), at, &["zone=hall-a"]);
        }
        let mut query = MessageBuilder::new_vec().question();
        query
            .push((domain_name(service), Rtype::PTR))
            .expect("a vector grows as needed");
        let query = query.finish();
        let over_udp =
            Message::from_octets(zone.answer(&query, 1_232).expect("the query is valid"))
                .expect("the answer is a DNS message");
        assert!(over_udp.header().tc());
        let answer = zone.answer(&query, 65_535).expect("the query is valid");
        assert!(
            answer.len() < 65_536,
            "the answer fits in a TCP message of 65535 bytes, it has {}",
            answer.len()
        );
        let answer = Message::from_octets(answer).expect("the answer is a DNS message");
        assert_eq!(
            (answer.header().tc(), answer.header_counts().ancount()),
            (false, 2_000)
        );
    }
}
