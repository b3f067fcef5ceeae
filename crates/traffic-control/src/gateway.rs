//! One gateway's state. Its decisions are in `policy`.

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

/// A class of one plan: what the paper calls a service.
#[derive(Clone, Default)]
pub(crate) struct AdmissionCell {
    /// Share of its requests that are admitted.
    pub fraction: f64,
    /// Requests in this interval.
    pub arrivals: f64,
    /// Admitted ones of them.
    pub admitted: f64,
    /// Rate of the last interval, as it is reported to peers.
    pub admitted_per_s: f64,
}

/// Recent queries of a plan's customers, by what they found.
#[derive(Clone, Default)]
pub(crate) struct QueryResults {
    pub without_capacity: DecayingSum,
    pub with_capacity: DecayingSum,
}

/// One gateway's whole state.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: Micros,
    /// When the first event came.
    pub(crate) started_at: Option<Micros>,
    /// By class, and in each by plan.
    pub(crate) cells: Vec<AdmissionCell>,
    pub(crate) server_latency: ServerLatency,
    pub(crate) fleet: ServerFleet,
    /// By tag.
    pub(crate) customers: BTreeMap<u32, Customer>,
    /// By plan.
    pub(crate) quotas: Vec<Quota>,
    /// By plan.
    pub(crate) query_results: Vec<QueryResults>,
    pub(crate) counter_limiter: CounterRateLimiter,
    pub(crate) counter_calls: CallsInFlight,
    pub(crate) counter_clock: CounterClock,
    pub(crate) counter_monitor: CounterMonitor,
    pub(crate) peer_reports: PeerReports,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait for a server.
    pub(crate) waiting_requests: BTreeSet<RequestId>,
    pub(crate) retry_tokens: f64,
    pub(crate) lease_state: LeaseState,
    /// Until when the smaller of two policies holds.
    pub(crate) transition_until: Option<Micros>,
}

impl Gateway {
    /// A gateway with nothing known yet. `seed` is its only source of randomness.
    ///
    /// # Errors
    /// Settings that make no sense; the text says what to correct.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let open_cell = AdmissionCell {
            fraction: 1.0,
            ..AdmissionCell::default()
        };
        let cells = vec![open_cell; settings.classes.len() * settings.plans.len()];
        let server_latency = ServerLatency::new(&settings.classes);
        let quotas = Quota::for_plans(
            &settings,
            server_latency.attempt_s,
            MAX_SMALL_FLEET_GATEWAYS,
        );
        let has_only_counter = settings.usage_report_ttl_us == 0;
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
            counter_limiter: CounterRateLimiter::new(settings.gateways, has_only_counter),
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
