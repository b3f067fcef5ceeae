//! What a datagram says. Its form is postcard's (postcard.jamesmunns.com/wire-format): numbers take as many bytes as they need.

use crate::gauges::Gauge;
use crate::record::MemberRecord;
use crate::seal::{AROUND, MOST_BYTES};
use crate::usage_counters::UsageKey;
use serde::{Deserialize, Serialize};

/// Gateways that may be asked for at once.
pub const MOST_WANTED: usize = 32;
/// Answers and requests to probe in one datagram.
pub const MOST_PROBES: usize = 16;
/// Room for the lengths of lists.
const SLACK: usize = 16;

/// Who says it, to whom, and the small things.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DatagramHeader {
    pub from: String,
    pub life: u64,
    pub incarnation: u64,
    /// The life that it is meant for; 0: not known yet.
    pub to: u64,
    /// Grows with each datagram to the same member.
    pub number: u64,
    /// To be answered; 0: nothing.
    pub ping: u32,
    pub acks: Vec<u32>,
    /// Members that the receiver is to probe, each with the number to answer by.
    pub asks: Vec<(String, u32)>,
    /// Digests of the parts of the sender's table; the receiver tells what differs. `back`: its own go back the same way.
    pub buckets: Vec<u32>,
    pub back: bool,
    /// Of the sender's changes of use, those after `base` up to `upto` are in it; all that it let through, if `complete`.
    pub base: u64,
    pub upto: u64,
    pub complete: bool,
    /// Of the receiver's changes, all up to `have` have come.
    pub have: u64,
    /// Gateways that the sender does not hear itself.
    pub wanted: Vec<u16>,
    /// Of the receiver's figures, the version that has come.
    pub facts_have: u64,
}

/// One member as the sender knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub record: MemberRecord,
    /// Seconds since it was gone, if it is.
    pub age_s: u32,
    /// Short names of who suspects it.
    pub by: Vec<u32>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DatagramBody {
    pub head: DatagramHeader,
    pub members: Vec<MemberUpdate>,
    pub uses: Vec<(UsageKey, Vec<(u32, u64)>)>,
    /// Version and figures of the sender; 0: none.
    pub facts: (u64, Vec<Gauge>),
    /// A letter that is not for this package; empty: none.
    pub post: Vec<u8>,
}

impl DatagramBody {
    /// None: it is none of ours.
    pub fn read(bytes: &[u8]) -> Option<DatagramBody> {
        let (body, rest) = postcard::take_from_bytes::<DatagramBody>(bytes).ok()?;
        let h = &body.head;
        let fits = h.wanted.len() <= MOST_WANTED
            && h.acks.len() <= MOST_PROBES
            && h.asks.len() <= MOST_PROBES;
        (rest.is_empty() && fits).then_some(body)
    }
}

fn size(of: &impl Serialize) -> usize {
    postcard::to_allocvec(of).map_or(MOST_BYTES, |v| v.len())
}

/// Bytes of a number (LEB128).
fn varint(n: u64) -> usize {
    (64 - (n | 1).leading_zeros() as usize).div_ceil(7)
}

/// Fills a datagram, most important first, until it is full.
pub struct DatagramWriter {
    room: usize,
    members: Vec<MemberUpdate>,
    uses: Vec<(UsageKey, Vec<(u32, u64)>)>,
    facts: (u64, Vec<Gauge>),
    post: Vec<u8>,
}

impl DatagramWriter {
    /// `head`: as it will be, but for what of use is in it.
    pub fn new(head: &DatagramHeader) -> DatagramWriter {
        let widest = DatagramHeader {
            base: u64::MAX,
            upto: u64::MAX,
            ..head.clone()
        };
        let room = MOST_BYTES.saturating_sub(AROUND + size(&widest) + SLACK);
        DatagramWriter {
            room,
            members: Vec::new(),
            uses: Vec::new(),
            facts: (0, Vec::new()),
            post: Vec::new(),
        }
    }

    fn takes(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.room;
        self.room -= if fits { bytes } else { 0 };
        fits
    }

    /// Whether it fitted, and left so much room.
    pub fn member(&mut self, told: MemberUpdate, leave: usize) -> bool {
        let bytes = size(&told);
        let fits = bytes + leave <= self.room && self.takes(bytes);
        if fits {
            self.members.push(told);
        }
        fits
    }

    pub fn usage(&mut self, slot: UsageKey, tag: u32, total: u64) -> bool {
        let bytes = varint(u64::from(tag)) + varint(total);
        let of = self
            .uses
            .last()
            .is_some_and(|(s, all)| *s == slot && all.len() < 127);
        let group = varint(u64::from(slot.gateway))
            + varint(slot.life)
            + varint(u64::from(slot.window))
            + 1;
        if !self.takes(bytes + if of { 0 } else { group }) {
            return false;
        }
        if !of {
            self.uses.push((slot, Vec::new()));
        }
        if let Some((_, all)) = self.uses.last_mut() {
            all.push((tag, total));
        }
        true
    }

    /// All of them, or none.
    pub fn facts(&mut self, version: u64, facts: Vec<Gauge>) -> bool {
        let fits = self.takes(size(&facts) + 10);
        if fits {
            self.facts = (version, facts);
        }
        fits
    }

    /// Whether the letter fitted; it goes in first.
    pub fn post(&mut self, bytes: Vec<u8>) -> bool {
        let fits = self.takes(bytes.len() + 2);
        if fits {
            self.post = bytes;
        }
        fits
    }

    /// The body's bytes.
    pub fn finish(self, head: DatagramHeader) -> Vec<u8> {
        let (members, uses, facts, post) = (self.members, self.uses, self.facts, self.post);
        let body = DatagramBody {
            head,
            members,
            uses,
            facts,
            post,
        };
        // It is made of plain values: nothing in it fails.
        postcard::to_allocvec(&body).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::tests::record;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn what_is_written_is_read_and_fits(
            numbers in prop::collection::vec(any::<u64>(), 6),
            wanted in prop::collection::vec(any::<u16>(), 0..MOST_WANTED),
            entries in prop::collection::vec((0u16..3, any::<u64>(), 0u32..3, any::<u32>(), any::<u64>()), 0..200),
            members in 0usize..30,
            complete: bool,
            post in prop::collection::vec(any::<u8>(), 0..900),
        ) {
            let head = DatagramHeader {
                from: "n3".into(), life: numbers[0], incarnation: numbers[1], to: numbers[2], number: numbers[3],
                base: numbers[4], upto: numbers[5], complete, wanted, acks: vec![7; MOST_PROBES], buckets: vec![u32::MAX; 16],
                ..DatagramHeader::default()
            };
            let mut writer = DatagramWriter::new(&head);
            let posted = writer.post(post.clone());
            let mut there = Vec::new();
            for n in 0..members {
                let told = MemberUpdate { record: record(&format!("n{n}"), u64::MAX), age_s: 5, by: vec![1, u32::MAX] };
                if writer.member(told.clone(), 300) {
                    there.push(told);
                }
            }
            for (gateway, life, window, tag, total) in entries {
                writer.usage(UsageKey { gateway, life, window }, tag, total);
            }
            let facts = vec![Gauge { name: "strain".into(), value: 0.5, age_ms: 9 }];
            let told = writer.facts(3, facts.clone());
            let bytes = writer.finish(head.clone());
            prop_assert!(bytes.len() + AROUND <= MOST_BYTES, "{}", bytes.len());
            let read = DatagramBody::read(&bytes).expect("it is read");
            prop_assert_eq!((read.head, read.members), (head, there));
            prop_assert_eq!(read.post, if posted { post } else { Vec::new() });
            prop_assert_eq!(read.facts, if told { (3, facts) } else { (0, Vec::new()) });
        }

        #[test]
        fn arbitrary_bytes_are_no_body_or_one_in_bounds(bytes in prop::collection::vec(any::<u8>(), 0..MOST_BYTES)) {
            if let Some(body) = DatagramBody::read(&bytes) {
                prop_assert!(body.members.len() <= bytes.len());
            }
        }
    }
}
