//! The state of one gateway. The decisions on it are in `policy`.

use crate::counter::{
    CallsInFlight, CounterClock, CounterMonitor, CounterRateLimiter, MAX_SMALL_FLEET_GATEWAYS,
};
use crate::customer::Customer;
use crate::decaying_sum::DecayingSum;
use crate::fleet::ServerFleet;
use crate::interface::{LeaseState, Micros, RequestId, Settings, SettingsError};
use crate::peer_reports::PeerReports;
use crate::pending_request::PendingRequest;
use crate::quota::Quota;
use crate::server_latency::ServerLatency;
use crate::subset::Subset;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Admission state of one pair of class and plan. Lin, Ghosh and Das call such a pair a service; the `services` of the
/// settings document are classes.
#[derive(Clone, Default)]
pub(crate) struct AdmissionCell {
    /// Share of the cell's requests that are admitted, from 0 to 1.
    pub fraction: f64,
    /// Requests that arrived in this interval.
    pub arrivals: f64,
    /// Requests that were admitted in this interval.
    pub admitted: f64,
    /// Admitted requests per second in the last interval, which is reported to peers.
    pub admitted_per_s: f64,
}

/// Recent quota queries for the customers of one plan, by result.
#[derive(Clone, Default)]
pub(crate) struct QueryResults {
    /// Queries that found too little left in the quota.
    pub without_capacity: DecayingSum,
    /// Queries that found enough left in the quota.
    pub with_capacity: DecayingSum,
}

/// A gateway: its settings, its state and the decisions on them.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: Micros,
    /// Time of the first event; `None` before it.
    pub(crate) started_at: Option<Micros>,
    /// Admission cells, ordered by class, and by plan within each class.
    pub(crate) cells: Vec<AdmissionCell>,
    pub(crate) server_latency: ServerLatency,
    pub(crate) fleet: ServerFleet,
    /// Customers by tag.
    pub(crate) customers: BTreeMap<u32, Customer>,
    /// Quotas by index of the plan.
    pub(crate) quotas: Vec<Quota>,
    /// Results of quota queries by index of the plan.
    pub(crate) query_results: Vec<QueryResults>,
    pub(crate) counter_limiter: CounterRateLimiter,
    pub(crate) counter_calls: CallsInFlight,
    pub(crate) counter_clock: CounterClock,
    pub(crate) counter_monitor: CounterMonitor,
    pub(crate) peer_reports: PeerReports,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait for an available server or for the lease.
    pub(crate) waiting_requests: BTreeSet<RequestId>,
    pub(crate) retry_tokens: f64,
    pub(crate) lease_state: LeaseState,
    /// End of the transition after a policy change, during which the stricter of the two policies' limits apply.
    pub(crate) transition_until: Option<Micros>,
}

impl Gateway {
    /// Creates a gateway without servers or customers. `seed` is its only source of randomness.
    ///
    /// # Errors
    /// Returns the first mistake in `settings`; the text says what to correct.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let fully_open_cell = AdmissionCell {
            fraction: 1.0,
            ..AdmissionCell::default()
        };
        let cells = vec![fully_open_cell; settings.classes.len() * settings.plans.len()];
        let server_latency = ServerLatency::new(&settings.classes);
        let quotas = Quota::for_plans(
            &settings,
            server_latency.attempt_s,
            MAX_SMALL_FLEET_GATEWAYS,
        );
        let is_without_usage_reports = settings.usage_report_ttl_us == 0;
        Ok(Gateway {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            started_at: None,
            peer_reports: PeerReports::new(cells.len()),
            cells,
            server_latency,
            fleet: ServerFleet::new(Subset::new(settings.gateway_index, settings.gateways)),
            customers: BTreeMap::new(),
            quotas,
            query_results: vec![QueryResults::default(); settings.plans.len()],
            counter_limiter: CounterRateLimiter::new(settings.gateways, is_without_usage_reports),
            counter_calls: CallsInFlight::default(),
            counter_clock: CounterClock::default(),
            counter_monitor: CounterMonitor::default(),
            requests: BTreeMap::new(),
            waiting_requests: BTreeSet::new(),
            retry_tokens: settings.retries.max_saved,
            lease_state: LeaseState::Held,
            transition_until: None,
            settings,
        })
    }
}
