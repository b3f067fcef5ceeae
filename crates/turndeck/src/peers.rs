//! What the other gateways told: their fractions and rates, when they last told their use, and use of customers that are
//! not known here yet. Knowledge only.

use crate::customer::{Customer, RATE_TAU_US};
use crate::decayed::Decayed;
use crate::gossip::CellNews;
use crate::interface::{Micros, Settings};
use std::collections::BTreeMap;

pub(crate) struct Peers {
    rates: Vec<Decayed>,                      // admitted rates told, by cell
    news: Decayed,                            // how many told them
    told_at: BTreeMap<u32, Micros>,           // gateways that tell their use, and when they last did
    pub unseen: BTreeMap<u32, (f64, Micros)>, // use that others told of customers not known here, and since when
}

impl Peers {
    pub fn new(cells: usize) -> Self {
        let rates = vec![Decayed::default(); cells];
        Peers { rates, news: Decayed::default(), told_at: BTreeMap::new(), unseen: BTreeMap::new() }
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
        let each = if told > 0.1 { f64::from(others) / told } else { 0.0 };
        move |cell| self.rates[cell].at(now, RATE_TAU_US) * each
    }

    pub fn told(&mut self, now: Micros, from: u32) {
        self.told_at.insert(from, now);
    }

    /// Till when the word of all others of a set of gateways counts; 0: some have not told.
    pub fn told_till(&self, set: &Settings, first: u32, width: u32) -> Micros {
        if set.told_us == 0 {
            return 0;
        }
        let others = (0..width).map(|k| (first + k) % set.gateways).filter(|g| *g != set.me);
        let told = others.map(|g| self.told_at.get(&g).copied()).min().flatten();
        told.map_or(0, |at| at + set.told_us)
    }

    /// The others of a customer's set may have told again: what was let through until then they know.
    pub fn tell(&self, set: &Settings, c: &mut Customer) {
        c.told(self.told_till(set, c.first, c.width), set.told_us);
    }

    /// Of a customer that is not known here somebody told use; of at most so many of them.
    pub fn unseen(&mut self, now: Micros, most: usize, customer: u32, units: f64) {
        if self.unseen.len() < most {
            self.unseen.entry(customer).or_insert((0.0, now)).0 += units;
        }
    }
}
