//! One gateway's state. What it decides stands in `policy`.

use crate::counter_calls::CallsInFlight;
use crate::counter_rate_limit::{CounterRateLimiter, MAX_SMALL_FLEET_GATEWAYS};
use crate::counter_window::CounterClock;
use crate::customer::{Customer, Quota};
use crate::decaying_sum::DecayingSum;
use crate::fleet::ServerFleet;
use crate::interface::{LeaseState, Micros, RequestId, Settings, SettingsError};
use crate::ledger::CounterMonitor;
use crate::peer_reports::PeerReports;
use crate::pending_request::PendingRequest;
use crate::server_latency::ServerLatency;
use crate::subset::Subset;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// A class of one plan: what the paper calls a service.
#[derive(Clone, Default)]
pub(crate) struct AdmissionCell {
    pub fraction: f64,
    pub arrivals: f64,
    pub admitted: f64,
    pub admitted_per_s: f64, // admitted a second in the last interval, as peers are told
}

/// One gateway's whole state.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: Micros,
    pub(crate) cells: Vec<AdmissionCell>,
    pub(crate) server_latency: ServerLatency,
    pub(crate) customers: BTreeMap<u32, Customer>,
    pub(crate) counter_limiter: CounterRateLimiter,
    pub(crate) query_results: Vec<[DecayingSum; 2]>, // by plan: asks answered of late without room, and with
    pub(crate) quotas: Vec<Quota>,
    pub(crate) counter_calls: CallsInFlight,
    pub(crate) counter_clock: CounterClock,
    pub(crate) counter_monitor: CounterMonitor,
    pub(crate) peer_reports: PeerReports,
    pub(crate) fleet: ServerFleet,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    pub(crate) waiting_requests: BTreeSet<RequestId>,
    pub(crate) retry_tokens: f64,
    pub(crate) lease_state: LeaseState,
    pub(crate) transition_until: Option<Micros>, // till then the smaller of two terms holds
    pub(crate) started_at: Option<Micros>,
}

impl Gateway {
    /// A gateway with nothing known yet. `seed` is its only source of chance.
    /// # Errors
    /// Settings that make no sense; the text says what to correct.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.validate()?;
        let cells = vec![
            AdmissionCell {
                fraction: 1.0,
                ..AdmissionCell::default()
            };
            set.classes.len() * set.plans.len()
        ];
        let pace = ServerLatency::new(&set.classes);
        Ok(Gateway {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            quotas: Quota::for_plans(&set, pace.attempt_s, MAX_SMALL_FLEET_GATEWAYS),
            query_results: vec![Default::default(); set.plans.len()],
            counter_limiter: CounterRateLimiter::new(set.gateways, set.usage_report_ttl_us == 0),
            peer_reports: PeerReports::new(cells.len()),
            fleet: ServerFleet::new(Subset::new(set.me, set.gateways)),
            cells,
            server_latency: pace,
            customers: BTreeMap::new(),
            counter_calls: CallsInFlight::default(),
            counter_clock: CounterClock::default(),
            counter_monitor: CounterMonitor::default(),
            requests: BTreeMap::new(),
            waiting_requests: BTreeSet::new(),
            retry_tokens: set.retries.max_saved,
            lease_state: LeaseState::Held,
            transition_until: None,
            started_at: None,
            settings: set,
        })
    }
}
