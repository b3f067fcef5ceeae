//! One session of DNS Push Notifications (RFC 8765) over DNS Stateful Operations (RFC 8490): what is subscribed, what
//! has been granted, and whether the other side is still there. No I/O.
//!
//! ```text
//!   closed --open--> open, nothing granted --every service granted--> in force --> closed
//!                      \__________ refused, silent, nonsense, retry delay __________/
//! ```

use super::wire::{self, Change, Kind, Name, Stateful};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A request without its response for so long ends the session.
const RESPONSE_US: u64 = 2_000_000;
/// Pauses between sessions: doubled each time none comes into force.
const PAUSE_LEAST_US: u64 = 500_000;
const PAUSE_MOST_US: u64 = 60_000_000;
/// Requests out at once at most.
const MOST_OUT: usize = 64;
/// The least that a server may set for the keepalive interval (RFC 8490 section 6.5.2).
const KEEPALIVE_LEAST_MS: u32 = 10_000;

/// What the session wants done or has heard.
#[derive(Debug, PartialEq, Eq)]
pub enum Heard {
    Write(Vec<u8>),
    Change(Change),
    /// Every service is subscribed to.
    InForce,
    /// Over, and why.
    Over(String),
}

enum Asked {
    Subscribed(Name, Kind),
    Keepalive,
}

pub struct Session {
    services: Vec<Name>,
    keepalive_us: u64,
    open: bool,
    out: BTreeMap<u16, (u64, Asked)>,
    next_id: u16,
    wanted: Vec<(Name, Kind)>,
    asked: BTreeSet<(Name, Kind)>,
    granted: BTreeSet<(Name, Kind)>,
    in_force: bool,
    keepalive_at: u64,
    /// No new session before that.
    pub not_before: u64,
    pause_us: u64,
}

impl Session {
    pub fn new(services: &[Name], keepalive: Duration) -> Self {
        Session {
            services: services.to_vec(),
            keepalive_us: keepalive.as_micros() as u64,
            open: false,
            out: BTreeMap::new(),
            next_id: 0,
            wanted: Vec::new(),
            asked: BTreeSet::new(),
            granted: BTreeSet::new(),
            in_force: false,
            keepalive_at: 0,
            not_before: 0,
            pause_us: PAUSE_LEAST_US,
        }
    }

    pub fn in_force(&self) -> bool {
        self.in_force
    }

    /// Whether changes of this name's records are told.
    pub fn covers(&self, name: &Name) -> bool {
        self.in_force && self.granted.contains(&(name.clone(), Kind::Any))
    }

    pub fn opened(&mut self, now: u64, heard: &mut Vec<Heard>) {
        self.open = true;
        self.keepalive_at = now + self.keepalive_us;
        self.want(self.services.clone().into_iter().map(|s| (s, Kind::Ptr)));
        self.ask(now, heard);
    }

    /// Changes of a name's records, whatever their types, are of interest.
    pub fn watch(&mut self, now: u64, name: &Name, heard: &mut Vec<Heard>) {
        if self.open {
            self.want([(name.clone(), Kind::Any)].into_iter());
            self.ask(now, heard);
        }
    }

    fn want(&mut self, names: impl Iterator<Item = (Name, Kind)>) {
        for one in names {
            if self.asked.insert(one.clone()) {
                self.wanted.push(one);
            }
        }
    }

    fn id(&mut self) -> u16 {
        loop {
            self.next_id = self.next_id.checked_add(1).unwrap_or(1);
            if !self.out.contains_key(&self.next_id) {
                return self.next_id;
            }
        }
    }

    fn ask(&mut self, now: u64, heard: &mut Vec<Heard>) {
        while self.open && self.out.len() < MOST_OUT {
            let Some((name, kind)) = self.wanted.pop() else {
                return;
            };
            let id = self.id();
            if let Some(message) = wire::subscribe(id, &name, kind) {
                self.out.insert(id, (now, Asked::Subscribed(name, kind)));
                heard.push(Heard::Write(message));
            }
        }
    }

    pub fn message(&mut self, now: u64, bytes: &[u8], heard: &mut Vec<Heard>) {
        if !self.open {
            return;
        }
        match wire::stateful(bytes) {
            None => self.over(now, "a message that makes no sense", heard),
            Some(Stateful::RetryDelay(ms)) => {
                self.over(now, "the server wants it to end", heard);
                self.not_before = self
                    .not_before
                    .max(now + u64::from(ms) * 1_000)
                    .min(now + PAUSE_MOST_US);
            }
            Some(Stateful::Push(changes)) => heard.extend(changes.into_iter().map(Heard::Change)),
            Some(Stateful::Response {
                id,
                code,
                keepalive_ms,
            }) => match self.out.remove(&id) {
                // RFC 8490 section 5.4.1: a response to nothing is fatal.
                None => self.over(now, "a response to nothing", heard),
                Some((_, Asked::Keepalive)) => {
                    if let Some(ms) = keepalive_ms.filter(|&ms| ms >= KEEPALIVE_LEAST_MS) {
                        self.keepalive_us = self.keepalive_us.min(u64::from(ms) * 1_000);
                    }
                }
                Some((_, Asked::Subscribed(name, kind))) if code == 0 => {
                    self.granted.insert((name, kind));
                    let all = self
                        .services
                        .iter()
                        .all(|s| self.granted.contains(&(s.clone(), Kind::Ptr)));
                    if all && !std::mem::replace(&mut self.in_force, all) {
                        self.pause_us = PAUSE_LEAST_US;
                        heard.push(Heard::InForce);
                    }
                    self.ask(now, heard);
                }
                Some((_, Asked::Subscribed(_, Kind::Ptr))) => {
                    self.over(
                        now,
                        &format!("a subscription was refused, code {code}"),
                        heard,
                    );
                }
                // Its records are asked for as without push.
                Some((_, Asked::Subscribed(..))) => self.ask(now, heard),
            },
            Some(Stateful::Other) => {}
        }
    }

    /// When something is due.
    pub fn next(&self) -> Option<u64> {
        let oldest = self.out.values().map(|(at, _)| at + RESPONSE_US);
        self.open
            .then(|| oldest.chain([self.keepalive_at]).min())
            .flatten()
    }

    pub fn tick(&mut self, now: u64, heard: &mut Vec<Heard>) {
        if !self.open {
            return;
        }
        if self.out.values().any(|(at, _)| at + RESPONSE_US <= now) {
            return self.over(now, "it has fallen silent", heard);
        }
        if self.keepalive_at <= now {
            self.keepalive_at = now + self.keepalive_us;
            let id = self.id();
            self.out.insert(id, (now, Asked::Keepalive));
            heard.push(Heard::Write(wire::keepalive(
                id,
                (self.keepalive_us / 1_000) as u32,
            )));
        }
    }

    /// The session ended, or has to; nothing it granted holds any more.
    pub fn over(&mut self, now: u64, why: &str, heard: &mut Vec<Heard>) {
        let was = (self.open, self.in_force);
        self.closed(now);
        if was.0 {
            heard.push(Heard::Over(why.into()));
        }
    }

    /// Also where it did not even open.
    pub fn closed(&mut self, now: u64) {
        self.not_before = now + self.pause_us;
        self.pause_us = (self.pause_us * 2).min(PAUSE_MOST_US);
        (self.open, self.in_force) = (false, false);
        self.out.clear();
        self.wanted.clear();
        self.asked.clear();
        self.granted.clear();
    }
}

#[cfg(test)]
mod tests;
