//! Reports of the other gateways: their admitted rates, the times of their last usage reports, and the reported usage
//! of customers that this gateway does not track yet. Keeps state only.

use crate::customer::Customer;
use crate::decaying_sum::{DecayingSum, DEMAND_TIME_CONSTANT_US};
use crate::gossip::CellReport;
use crate::interface::{Micros, Settings};
use crate::quota::Quota;
use std::collections::{BTreeMap, BTreeSet};

/// Decayed number of reports that must be exceeded for the admitted rates of peers to be used.
const MIN_REPORT_COUNT: f64 = 0.1;

/// Age of reported usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UsageAge {
    /// The units were used since the reporting gateway's previous report.
    Current,
    /// The units may have been used before the customer's bucket was last full.
    PossiblyStale,
}

/// Reported usage of a customer that this gateway does not track.
pub(crate) struct UntrackedCustomerUsage {
    current_units: f64,
    possibly_stale_units: f64,
    first_reported_at: Micros,
}

impl UntrackedCustomerUsage {
    /// Returns the units in the customer's bucket at `now`, assuming that it was full before the first report. Possibly
    /// stale usage may precede the refills counted here: it empties the bucket but does not overdraw it.
    pub fn remaining_units(&self, quota: &Quota, now: Micros) -> f64 {
        let refilled = quota.rate_per_s * now.saturating_sub(self.first_reported_at) as f64 / 1e6;
        (quota.capacity - self.possibly_stale_units).max(0.0) - self.current_units + refilled
    }
}

/// The other gateways that a customer uses, by whether their usage reports are current.
struct ReportingPeers {
    /// Gateways without a valid usage report, and since when.
    silent: Vec<(u32, Micros)>,
    /// Earliest expiry of the valid usage reports; `None` if no other gateway has a valid report.
    reports_until: Option<Micros>,
}

/// The reports of all other gateways.
pub(crate) struct PeerReports {
    /// Sums of the admitted rates that gateways reported, by admission cell.
    admitted_rates: Vec<DecayingSum>,
    /// Number of reports summed in `admitted_rates`, with the same decay.
    report_count: DecayingSum,
    /// Time of each gateway's last usage report.
    usage_reported_at: BTreeMap<u32, Micros>,
    /// Gateways that are known to admit no requests.
    pub absent_gateways: BTreeSet<u32>,
    /// Reported usage of customers that this gateway does not track, by tag.
    untracked_customers: BTreeMap<u32, UntrackedCustomerUsage>,
}

impl PeerReports {
    pub fn new(cells: usize) -> Self {
        PeerReports {
            admitted_rates: vec![DecayingSum::default(); cells],
            report_count: DecayingSum::default(),
            usage_reported_at: BTreeMap::new(),
            absent_gateways: BTreeSet::new(),
            untracked_customers: BTreeMap::new(),
        }
    }

    /// Records the admitted rates that a peer reported.
    pub fn record_cell_reports(&mut self, now: Micros, reports: Vec<CellReport>) {
        self.report_count.add(now, DEMAND_TIME_CONSTANT_US, 1.0);
        for (rate, report) in self.admitted_rates.iter_mut().zip(reports) {
            rate.add(now, DEMAND_TIME_CONSTANT_US, report.admitted_per_s.max(0.0));
        }
    }

    /// Returns a function that estimates the requests per second that `others` gateways admit in a cell, extrapolated
    /// from those that reported recently.
    pub fn others_admitted_per_s(&self, now: Micros, others: u32) -> impl Fn(usize) -> f64 + '_ {
        let reports = self.report_count.at(now, DEMAND_TIME_CONSTANT_US);
        let gateways_per_report = if reports > MIN_REPORT_COUNT {
            f64::from(others) / reports
        } else {
            0.0
        };
        move |cell| self.admitted_rates[cell].at(now, DEMAND_TIME_CONSTANT_US) * gateways_per_report
    }

    /// Records the time of a gateway's usage report.
    pub fn record_usage_report(&mut self, now: Micros, from: u32) {
        self.usage_reported_at.insert(from, now);
    }

    /// Updates a customer from the state of the usage reports of the other gateways that it uses. While all reports are
    /// valid, the customer's level includes the usage at all gateways up to these reports. For each gateway whose
    /// report is missing or has expired, a share of the customer's bucket is reserved.
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
        let all_peers_report = peers.silent.is_empty();
        if !(all_peers_report && customer.shares.all_reachable()) {
            let is_level_from_counter =
                customer.is_synced(now) && !customer.follows_peer_reports(now);
            customer.shares.reassign(
                now,
                quota,
                customer.gateway_count,
                is_level_from_counter,
                &peers.silent,
                &mut customer.level,
            );
        }
        // If the customer's other gateways are all absent, no reports are needed, as this gateway knows the whole
        // usage.
        let until_without_peers =
            (peers.reports_until.is_none() && all_peers_report).then(|| now + ttl_us);
        let reports_until = peers.reports_until.or(until_without_peers);
        // With silent peers the counter is preferred, as it includes their usage.
        match reports_until.filter(|_| all_peers_report || !settings.has_counter) {
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
                // Up to the last refill, this gateway's level includes the silent gateway's share: only refills from
                // then on are reserved.
                let refilled_at = customer.refilled_at;
                silent.push((gateway, reported_at.unwrap_or(refilled_at).max(refilled_at)));
            }
        }
        ReportingPeers {
            silent,
            reports_until,
        }
    }

    /// Records reported usage of a customer that this gateway does not track. Drops it if such usage of `max_customers`
    /// customers is recorded already.
    pub fn record_untracked_customer(
        &mut self,
        now: Micros,
        max_customers: usize,
        tag: u32,
        units: f64,
        age: UsageAge,
    ) {
        if self.untracked_customers.len() >= max_customers {
            return;
        }
        let usage = self
            .untracked_customers
            .entry(tag)
            .or_insert(UntrackedCustomerUsage {
                current_units: 0.0,
                possibly_stale_units: 0.0,
                first_reported_at: now,
            });
        match age {
            UsageAge::Current => usage.current_units += units,
            UsageAge::PossiblyStale => usage.possibly_stale_units += units,
        }
    }

    /// Removes and returns the reported usage of a customer that this gateway starts to track.
    pub fn take_untracked_customer(&mut self, tag: u32) -> Option<UntrackedCustomerUsage> {
        self.untracked_customers.remove(&tag)
    }

    /// Forgets usage that was first reported `timeout_us` ago or earlier.
    pub fn forget_untracked_customers(&mut self, now: Micros, timeout_us: Micros) {
        self.untracked_customers
            .retain(|_, usage| now.saturating_sub(usage.first_reported_at) < timeout_us);
    }
}
