//! What the other gateways reported: their admission rates, when they last reported their use, and use of customers that
//! are not known here yet. State only.

use crate::customer::Customer;
use crate::decaying_sum::{DecayingSum, DEMAND_TAU_US};
use crate::gossip::CellReport;
use crate::interface::{Micros, Settings};
use crate::quota::Quota;
use std::collections::{BTreeMap, BTreeSet};

/// Fewer reports than this are too few to go by.
const MIN_REPORT_COUNT: f64 = 0.1;

/// How old reported use is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UsageAge {
    Current,
    /// It may be from before the store was last full.
    PossiblyStale,
}

/// Reported use of a customer that is not known here.
pub(crate) struct UnknownCustomerUsage {
    used_units: f64,
    possibly_stale_units: f64,
    since: Micros,
}

impl UnknownCustomerUsage {
    /// What a store holds now that was full before, as far as is known. Possibly stale use may be older than what has
    /// filled in since: it empties the store and no more.
    pub fn remaining_units(&self, quota: &Quota, now: Micros) -> f64 {
        let filled = quota.rate_per_s * now.saturating_sub(self.since) as f64 / 1e6;
        (quota.capacity - self.possibly_stale_units).max(0.0) - self.used_units + filled
    }
}

/// The gateways of a customer's set that are to report their use.
struct ReportingPeers {
    /// Silent ones, and since when.
    silent: Vec<(u32, Micros)>,
    /// Until when the reports of the others count; `None` where there are no others.
    reports_until: Option<Micros>,
}

/// The reports of all other gateways.
pub(crate) struct PeerReports {
    /// Admitted rates that were reported, by cell.
    admitted_rates: Vec<DecayingSum>,
    /// How many gateways reported them.
    report_count: DecayingSum,
    /// When each gateway last reported its use.
    usage_reported_at: BTreeMap<u32, Micros>,
    /// Gateways through which nothing comes.
    pub absent_gateways: BTreeSet<u32>,
    /// Use of customers that are not known here, by tag.
    unknown_customers: BTreeMap<u32, UnknownCustomerUsage>,
}

impl PeerReports {
    pub fn new(cells: usize) -> Self {
        PeerReports {
            admitted_rates: vec![DecayingSum::default(); cells],
            report_count: DecayingSum::default(),
            usage_reported_at: BTreeMap::new(),
            absent_gateways: BTreeSet::new(),
            unknown_customers: BTreeMap::new(),
        }
    }

    /// Records the admitted rates of a peer.
    pub fn record_cell_reports(&mut self, now: Micros, reports: Vec<CellReport>) {
        self.report_count.add(now, DEMAND_TAU_US, 1.0);
        for (rate, report) in self.admitted_rates.iter_mut().zip(reports) {
            rate.add(now, DEMAND_TAU_US, report.admitted_per_s.max(0.0));
        }
    }

    /// What all `others` admit a second in a cell, by what some of them reported.
    pub fn others_admitted_per_s(&self, now: Micros, others: u32) -> impl Fn(usize) -> f64 + '_ {
        let reports = self.report_count.at(now, DEMAND_TAU_US);
        let gateways_per_report = if reports > MIN_REPORT_COUNT {
            f64::from(others) / reports
        } else {
            0.0
        };
        move |cell| self.admitted_rates[cell].at(now, DEMAND_TAU_US) * gateways_per_report
    }

    /// Records that a gateway reported its use.
    pub fn record_usage_report(&mut self, now: Micros, from: u32) {
        self.usage_reported_at.insert(from, now);
    }

    /// Updates a customer by which gateways of its set have reported again or fallen silent: what was let through until
    /// then the others know, and for the silent ones a share of the store is set aside.
    pub fn update_customer(
        &self,
        now: Micros,
        settings: &Settings,
        quota: &Quota,
        customer: &mut Customer,
    ) {
        let ttl_us = settings.usage_report_ttl_us;
        if ttl_us == 0 || quota.limits_concurrency || customer.gateway_count <= 1 {
            return;
        }
        let peers = self.reporting_peers(now, settings, customer);
        let all_report = peers.silent.is_empty();
        if !(all_report && customer.shares.all_reachable()) {
            let is_counted = customer.is_synced(now) && !customer.follows_peer_reports(now);
            customer.shares.reassign(
                now,
                quota,
                customer.gateway_count,
                is_counted,
                &peers.silent,
                &mut customer.level,
            );
        }
        // Where no other gateway is there, none has to report.
        let nobody_else = (peers.reports_until.is_none() && all_report).then(|| now + ttl_us);
        let reports_until = peers.reports_until.or(nobody_else);
        // A counter knows of all use, also of the silent ones'.
        match reports_until.filter(|_| all_report || !settings.has_counter) {
            Some(until) => customer.extend_peer_reports(until),
            None => customer.used_since_reports = 0.0,
        }
    }

    fn reporting_peers(
        &self,
        now: Micros,
        settings: &Settings,
        customer: &Customer,
    ) -> ReportingPeers {
        let mut silent = Vec::new();
        let mut reports_until: Option<Micros> = None;
        for offset in 0..customer.gateway_count {
            let gateway = (customer.first_gateway + offset) % settings.gateways;
            if gateway == settings.gateway_index || self.absent_gateways.contains(&gateway) {
                continue;
            }
            let reported_at = self.usage_reported_at.get(&gateway).copied();
            let expires_at = reported_at.map(|at| at + settings.usage_report_ttl_us);
            if let Some(expires_at) = expires_at.filter(|at| *at > now) {
                reports_until =
                    Some(reports_until.map_or(expires_at, |until| until.min(expires_at)));
            } else {
                // Until the last refill its share came in here: no more of that is set aside.
                let refilled_at = customer.refilled_at;
                silent.push((gateway, reported_at.unwrap_or(refilled_at).max(refilled_at)));
            }
        }
        ReportingPeers {
            silent,
            reports_until,
        }
    }

    /// Records use of a customer that is not known here, of at most `max_customers`.
    pub fn record_unknown_customer(
        &mut self,
        now: Micros,
        max_customers: usize,
        tag: u32,
        units: f64,
        age: UsageAge,
    ) {
        if self.unknown_customers.len() >= max_customers {
            return;
        }
        let usage = self
            .unknown_customers
            .entry(tag)
            .or_insert(UnknownCustomerUsage {
                used_units: 0.0,
                possibly_stale_units: 0.0,
                since: now,
            });
        match age {
            UsageAge::Current => usage.used_units += units,
            UsageAge::PossiblyStale => usage.possibly_stale_units += units,
        }
    }

    /// Takes out the reported use of a customer that becomes known here.
    pub fn take_unknown_customer(&mut self, tag: u32) -> Option<UnknownCustomerUsage> {
        self.unknown_customers.remove(&tag)
    }

    /// Forgets use that was first reported longer ago than `timeout_us`.
    pub fn forget_unknown_customers(&mut self, now: Micros, timeout_us: Micros) {
        self.unknown_customers
            .retain(|_, usage| now.saturating_sub(usage.since) < timeout_us);
    }
}
