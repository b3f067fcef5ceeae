//! What the other gateways told: their fractions and rates, when they last told their use, and use of customers that are
//! not known here yet. Knowledge only.

use crate::customer::{Customer, Quota, DEMAND_TAU_US};
use crate::decaying_sum::DecayingSum;
use crate::gossip::CellReport;
use crate::interface::{Micros, Settings};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) struct PeerReports {
    admitted_rates: Vec<DecayingSum>, // admitted rates told, by cell
    report_count: DecayingSum,        // how many told them
    usage_reported_at: BTreeMap<u32, Micros>, // gateways that tell their use, and when they last did
    pub absent_gateways: BTreeSet<u32>,       // gateways through which nothing comes
    pub unknown_customers: BTreeMap<u32, UnknownCustomerUsage>, // use that others told of customers not known here
}

/// What others told of a customer's use, since when; and what is of before that.
pub(crate) struct UnknownCustomerUsage {
    used_units: f64,
    possibly_stale_units: f64,
    pub since: Micros,
}

impl UnknownCustomerUsage {
    /// What a store holds now that was full, as far as is known. What is past may be older than what has come in since: it
    /// empties the store and no more.
    pub fn remaining_units(&self, q: &Quota, now: Micros) -> f64 {
        let filled = q.rate_per_s * now.saturating_sub(self.since) as f64 / 1e6;
        (q.capacity - self.possibly_stale_units).max(0.0) - self.used_units + filled
    }
}

impl PeerReports {
    pub fn new(cells: usize) -> Self {
        let rates = vec![DecayingSum::default(); cells];
        PeerReports {
            admitted_rates: rates,
            report_count: DecayingSum::default(),
            usage_reported_at: BTreeMap::new(),
            absent_gateways: BTreeSet::new(),
            unknown_customers: BTreeMap::new(),
        }
    }

    pub fn record_cell_reports(&mut self, now: Micros, cells: Vec<CellReport>) {
        self.report_count.add(now, DEMAND_TAU_US, 1.0);
        for (heard, c) in self.admitted_rates.iter_mut().zip(cells) {
            heard.add(now, DEMAND_TAU_US, c.admitted_per_s.max(0.0));
        }
    }

    /// What all of the others admit a second, by what some of them told.
    pub fn others_admitted_per_s(&self, now: Micros, others: u32) -> impl Fn(usize) -> f64 + '_ {
        let told = self.report_count.at(now, DEMAND_TAU_US);
        let each = if told > 0.1 {
            f64::from(others) / told
        } else {
            0.0
        };
        move |cell| self.admitted_rates[cell].at(now, DEMAND_TAU_US) * each
    }

    pub fn record_usage_report(&mut self, now: Micros, from: u32) {
        self.usage_reported_at.insert(from, now);
    }

    /// The others of a customer's set may have told again, or fallen silent: what was let through until then they know, and of
    /// those that are silent a part of the store is set aside.
    pub fn update_customer(&self, now: Micros, set: &Settings, q: &Quota, c: &mut Customer) {
        if set.usage_report_ttl_us == 0 || q.limits_concurrency || c.width <= 1 {
            return;
        }
        let mut silent = Vec::new();
        let mut till = Micros::MAX;
        for k in 0..c.width {
            let g = (c.first_gateway + k) % set.gateways;
            match self.usage_reported_at.get(&g).copied() {
                _ if g == set.me || self.absent_gateways.contains(&g) => {}
                Some(at) if at + set.usage_report_ttl_us > now => {
                    till = till.min(at + set.usage_report_ttl_us)
                }
                // Until the last refill its part came in here: no more of that is set aside.
                told => silent.push((g, told.unwrap_or(c.refilled_at).max(c.refilled_at))),
            }
        }
        if !(silent.is_empty() && c.shares.all_reachable()) {
            let counted = c.is_synced(now) && !c.follows_peer_reports(now);
            c.shares
                .reassign(now, q, c.width, counted, &silent, &mut c.level);
        }
        // Where nobody else is there, nobody has to tell.
        if till == Micros::MAX && silent.is_empty() {
            till = now + set.usage_report_ttl_us;
        }
        // Where all that are not silent are heard that does, unless there is a counter that knows of all.
        match till < Micros::MAX && (silent.is_empty() || !set.counter) {
            true => c.extend_peer_reports(till),
            false => c.used_since_reports = 0.0,
        }
    }

    /// Of a customer that is not known here somebody told use; of at most so many of them. `past`: it may be
    /// old.
    pub fn record_unknown_customer(
        &mut self,
        now: Micros,
        most: usize,
        customer: u32,
        units: f64,
        past: bool,
    ) {
        if self.unknown_customers.len() < most {
            let unseen = self
                .unknown_customers
                .entry(customer)
                .or_insert(UnknownCustomerUsage {
                    used_units: 0.0,
                    possibly_stale_units: 0.0,
                    since: now,
                });
            *if past {
                &mut unseen.possibly_stale_units
            } else {
                &mut unseen.used_units
            } += units;
        }
    }
}
