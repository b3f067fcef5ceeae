//! What has been told of the servers, and how one source takes over from another. No I/O.

use frosthatch_engine::{Endpoint, EndpointState};
use frosthatch_traffic_control::ListKind;
use std::collections::{HashMap, HashSet};

/// A server that the new source does not name finishes what it has for so long, in microseconds: longer than any
/// request lives.
const LINGER_US: u64 = 10_000_000;

/// Marks of operators that are kept at most: those of servers long gone make room.
const MOST_MARKS: usize = 4_096;

/// What an operator has done to a server by hand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperatorMark {
    /// When it was taken out, Unix time in milliseconds.
    pub out_ms: u64,
    /// When it was put back; none: it is out.
    pub back_ms: Option<u64>,
}

#[derive(Default)]
pub struct EndpointTable {
    told: HashMap<String, Endpoint>,
    marks: HashMap<String, OperatorMark>,
    /// The next whole list is the first of another source.
    taking_over: bool,
    /// Not named by the new source: gone at that time.
    leaving: Vec<(u64, String)>,
}

impl EndpointTable {
    /// The next whole list comes from elsewhere, where the old one's silence on a server means nothing yet.
    pub fn take_over(&mut self) {
        self.taking_over = !self.told.is_empty();
    }

    /// All that is known and not gone, as sources tell it.
    pub fn known(&self) -> impl Iterator<Item = &Endpoint> {
        self.told.values()
    }

    /// The same as the engine hears of it.
    pub fn heard(&self) -> impl Iterator<Item = Endpoint> + '_ {
        self.told.values().map(|m| self.marked(m.clone()))
    }

    /// Takes a server out until it is put back, whatever sources say of it; what to tell the engine, or none if no such
    /// server is known.
    pub fn take_out(&mut self, now: u64, uid: &str) -> Option<Vec<Endpoint>> {
        let known = self.told.contains_key(uid);
        let out = self.marks.get(uid).is_some_and(|m| m.back_ms.is_none());
        if !known && !out {
            return None;
        }
        Some(match out {
            true => self.heard_of(uid),
            false => self.set_mark(
                uid,
                OperatorMark {
                    out_ms: now / 1_000,
                    back_ms: None,
                },
            ),
        })
    }

    /// Puts a server back, however often it was taken out.
    pub fn put_back(&mut self, now: u64, uid: &str) -> Option<Vec<Endpoint>> {
        match self.marks.get_mut(uid).filter(|m| m.back_ms.is_none()) {
            Some(mark) => mark.back_ms = Some(now / 1_000),
            None if !self.told.contains_key(uid) => return None,
            None => {}
        }
        Some(self.heard_of(uid))
    }

    pub fn mark(&self, uid: &str) -> Option<OperatorMark> {
        self.marks.get(uid).copied()
    }

    pub fn marks(&self) -> impl Iterator<Item = (&String, &OperatorMark)> {
        self.marks.iter()
    }

    /// A mark made elsewhere under the same name; what to tell the engine.
    pub fn set_mark(&mut self, uid: &str, mark: OperatorMark) -> Vec<Endpoint> {
        if !self.marks.contains_key(uid) {
            self.forget_marks();
        }
        self.marks.insert(uid.into(), mark);
        self.heard_of(uid)
    }

    /// One server, if it is listed, as the engine hears of it.
    fn heard_of(&self, uid: &str) -> Vec<Endpoint> {
        self.told
            .get(uid)
            .map(|m| self.marked(m.clone()))
            .into_iter()
            .collect()
    }

    /// Bounds the marks: those that say nothing any more go first, then those of servers that nobody lists.
    fn forget_marks(&mut self) {
        if self.marks.len() < MOST_MARKS {
            return;
        }
        let told = &self.told;
        self.marks
            .retain(|uid, m| m.back_ms.is_none() || told.contains_key(uid));
        while self.marks.len() >= MOST_MARKS {
            let oldest = self
                .marks
                .iter()
                .min_by_key(|(uid, m)| (told.contains_key(*uid), m.out_ms));
            let Some(oldest) = oldest.map(|(uid, _)| uid.clone()) else {
                return;
            };
            self.marks.remove(&oldest);
        }
    }

    /// A server as the operators' marks have it.
    fn marked(&self, mut m: Endpoint) -> Endpoint {
        match self.marks.get(&m.uid) {
            Some(OperatorMark { back_ms: None, .. }) if m.state == EndpointState::Ready => {
                m.state = EndpointState::Draining
            }
            // Guards against pushing over a server that was restarted while it was out, of which the list tells later.
            Some(OperatorMark {
                out_ms,
                back_ms: Some(back_ms),
            }) if m.started_ms < *out_ms => m.started_ms = *back_ms,
            _ => {}
        }
        m
    }

    /// What to tell the engine for news from the present source.
    pub fn hear(&mut self, now: u64, kind: ListKind, mut members: Vec<Endpoint>) -> Vec<Endpoint> {
        let whole = kind != ListKind::Partial;
        if whole {
            let named: HashSet<&str> = members.iter().map(|m| m.uid.as_str()).collect();
            let mut left: Vec<Endpoint> = self
                .told
                .values()
                .filter(|m| !named.contains(m.uid.as_str()))
                .cloned()
                .collect();
            if std::mem::take(&mut self.taking_over) {
                // Guards against cutting off what is out at servers that the two sources call by other names.
                left.iter_mut()
                    .for_each(|m| m.state = EndpointState::Draining);
                self.leaving
                    .extend(left.iter().map(|m| (now + LINGER_US, m.uid.clone())));
                members.extend(left);
            }
            self.told.clear();
        }
        for m in &members {
            match m.state {
                EndpointState::Gone => drop(self.told.remove(&m.uid)),
                _ => drop(self.told.insert(m.uid.clone(), m.clone())),
            }
        }
        // Named again by the new source: it stays.
        let told = &self.told;
        self.leaving.retain(|(_, uid)| {
            told.get(uid)
                .is_some_and(|m| m.state == EndpointState::Draining)
        });
        members.into_iter().map(|m| self.marked(m)).collect()
    }

    /// Those whose time to finish is over.
    pub fn due(&mut self, now: u64) -> Vec<Endpoint> {
        let gone: Vec<String> = self
            .leaving
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, uid)| uid.clone())
            .collect();
        self.leaving.retain(|(at, _)| *at > now);
        let gone = gone.into_iter().filter_map(|uid| self.told.remove(&uid));
        gone.map(|m| Endpoint {
            state: EndpointState::Gone,
            ..m
        })
        .collect()
    }
}

#[cfg(test)]
mod tests;
