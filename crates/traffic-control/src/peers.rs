//! What the other gateways told: their fractions and rates, when they last told their use, and use of customers that are
//! not known here yet. Knowledge only.

use crate::customer::{Customer, Quota, RATE_TAU_US};
use crate::decayed::Decayed;
use crate::gossip::CellNews;
use crate::interface::{Micros, Settings};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) struct Peers {
    rates: Vec<Decayed>,               // admitted rates told, by cell
    news: Decayed,                     // how many told them
    told_at: BTreeMap<u32, Micros>,    // gateways that tell their use, and when they last did
    pub absent: BTreeSet<u32>,         // gateways through which nothing comes
    pub unseen: BTreeMap<u32, Unseen>, // use that others told of customers not known here
}

/// What others told of a customer's use, since when; and what is of before that.
pub(crate) struct Unseen {
    used: f64,
    past: f64,
    pub since: Micros,
}

impl Unseen {
    /// What a store holds now that was full, as far as is known. What is past may be older than what has come in since: it
    /// empties the store and no more.
    pub fn left(&self, q: &Quota, now: Micros) -> f64 {
        let filled = q.rate * now.saturating_sub(self.since) as f64 / 1e6;
        (q.most - self.past).max(0.0) - self.used + filled
    }
}

impl Peers {
    pub fn new(cells: usize) -> Self {
        let rates = vec![Decayed::default(); cells];
        Peers {
            rates,
            news: Decayed::default(),
            told_at: BTreeMap::new(),
            absent: BTreeSet::new(),
            unseen: BTreeMap::new(),
        }
    }

    pub fn news(&mut self, now: Micros, cells: Vec<CellNews>) {
        self.news.add(now, RATE_TAU_US, 1.0);
        for (heard, c) in self.rates.iter_mut().zip(cells) {
            heard.add(now, RATE_TAU_US, c.admitted.max(0.0));
        }
    }

    /// What all of the others admit a second, by what some of them told.
    pub fn admitted(&self, now: Micros, others: u32) -> impl Fn(usize) -> f64 + '_ {
        let told = self.news.at(now, RATE_TAU_US);
        let each = if told > 0.1 {
            f64::from(others) / told
        } else {
            0.0
        };
        move |cell| self.rates[cell].at(now, RATE_TAU_US) * each
    }

    pub fn told(&mut self, now: Micros, from: u32) {
        self.told_at.insert(from, now);
    }

    /// The others of a customer's set may have told again, or fallen silent: what was let through until then they know, and of
    /// those that are silent a part of the store is set aside.
    pub fn tell(&self, now: Micros, set: &Settings, q: &Quota, c: &mut Customer) {
        if set.usage_report_ttl_us == 0 || q.places || c.width <= 1 {
            return;
        }
        let mut silent = Vec::new();
        let mut till = Micros::MAX;
        for k in 0..c.width {
            let g = (c.first + k) % set.gateways;
            match self.told_at.get(&g).copied() {
                _ if g == set.me || self.absent.contains(&g) => {}
                Some(at) if at + set.usage_report_ttl_us > now => {
                    till = till.min(at + set.usage_report_ttl_us)
                }
                // Until the last refill its part came in here: no more of that is set aside.
                told => silent.push((g, told.unwrap_or(c.at).max(c.at))),
            }
        }
        if !(silent.is_empty() && c.shares.all_heard()) {
            let counted = c.heard(now) && !c.by_peers(now);
            c.shares
                .look(now, q, c.width, counted, &silent, &mut c.level);
        }
        // Where nobody else is there, nobody has to tell.
        if till == Micros::MAX && silent.is_empty() {
            till = now + set.usage_report_ttl_us;
        }
        // Where all that are not silent are heard that does, unless there is a counter that knows of all.
        match till < Micros::MAX && (silent.is_empty() || !set.counter) {
            true => c.told(till),
            false => c.spent = 0.0,
        }
    }

    /// Of a customer that is not known here somebody told use; of at most so many of them. `past`: it may be
    /// old.
    pub fn unseen(&mut self, now: Micros, most: usize, customer: u32, units: f64, past: bool) {
        if self.unseen.len() < most {
            let unseen = self.unseen.entry(customer).or_insert(Unseen {
                used: 0.0,
                past: 0.0,
                since: now,
            });
            *if past {
                &mut unseen.past
            } else {
                &mut unseen.used
            } += units;
        }
    }
}
