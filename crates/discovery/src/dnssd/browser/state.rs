//! The browser's state and its two entry points: [`Browser::handle`], which processes an input, and
//! [`Browser::next_wakeup_us`], which returns when the next call is due.

use super::cache::{Host, Instance};
use super::detail_queue::DetailQueue;
use super::events::{Input, Output};
use super::log_limiter::LogLimiter;
use super::loss_state::{RemovalState, SerialState};
use super::push_state::PushState;
use super::query::{BrowseRound, PendingQuery};
use super::ranking::{InstanceRanking, RankSummary};
use crate::dnssd::config::{DnsSdConfig, MAX_OUTSTANDING_QUERIES};
use crate::dnssd::wire::{split_first_label, Name};
use frosthatch_engine::Endpoint;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// How long missing records of an instance are awaited, in microseconds: before the first list is reported, or before
/// the instance is reported without its TXT record.
pub(super) const COMPLETION_TIMEOUT_US: u64 = 1_000_000;
/// Maximum time between two calls of [`Browser::handle`], in microseconds.
const MAX_WAKEUP_INTERVAL_US: u64 = 1_000_000;

/// State machine that browses a service; the module's documentation describes it. All times are in microseconds, on a
/// monotonic clock that starts at the Unix time of the process start.
pub struct Browser {
    pub(super) config: DnsSdConfig,
    /// The domain of the service, whose serial is queried.
    pub(super) domain: Name,
    pub(super) rng: Pcg64Mcg,
    /// Endpoints that were known before browsing began, by uid.
    pub(super) previous_endpoints: BTreeMap<String, Endpoint>,
    pub(super) queries: BTreeMap<u64, PendingQuery>,
    pub(super) last_query_id: u64,
    /// Index of the leading resolver in `config.resolvers`.
    pub(super) leading_resolver: usize,
    pub(super) consecutive_failed_rounds: u32,
    pub(super) round: Option<BrowseRound>,
    pub(super) next_round_at_us: u64,
    pub(super) serial: SerialState,
    pub(super) instances: BTreeMap<Name, Instance>,
    pub(super) hosts: BTreeMap<Name, Host>,
    pub(super) detail_queue: DetailQueue,
    /// When the first list was accepted; `None` before that.
    pub(super) first_list_at_us: Option<u64>,
    /// Whether the first list has been reported.
    pub(super) has_reported: bool,
    /// Since when answers have listed no instances, before the first list is accepted.
    pub(super) empty_since_us: Option<u64>,
    /// Each instance's endpoint as it was last reported.
    pub(super) reported_endpoints: BTreeMap<Name, Endpoint>,
    /// Instances whose endpoint may differ from the reported one.
    pub(super) changed_instances: BTreeSet<Name>,
    /// Instances with too few known records to be reported.
    pub(super) incomplete_instances: BTreeSet<Name>,
    /// Deadline after which each new instance is reported even if its TXT record is missing.
    pub(super) completion_deadlines: BTreeSet<(u64, Name)>,
    pub(super) ranking: InstanceRanking,
    /// The ranking's summary at the time of the last report.
    pub(super) reported_ranks: RankSummary,
    /// When each draining instance is forgotten.
    pub(super) forget_deadlines: BTreeSet<(u64, Name)>,
    pub(super) removals: RemovalState,
    pub(super) push: PushState,
    pub(super) dropped_datagrams: u64,
    pub(super) log_limiter: LogLimiter,
}

impl Browser {
    /// Creates a browser at the time `now_us`. `previous_endpoints` are the endpoints known before browsing begins;
    /// `seed` is the only source of randomness.
    pub fn new(
        config: DnsSdConfig,
        previous_endpoints: Vec<Endpoint>,
        seed: u64,
        now_us: u64,
    ) -> Self {
        // `config.base` has the form `_service._proto.domain`.
        let domain = split_first_label(&config.base)
            .and_then(|(_, rest)| split_first_label(rest))
            .map_or_else(|| "".into(), |(_, domain)| domain.into());
        let previous_endpoints = previous_endpoints.into_iter();
        Browser {
            domain,
            rng: Pcg64Mcg::seed_from_u64(seed),
            previous_endpoints: previous_endpoints.map(|e| (e.uid.clone(), e)).collect(),
            queries: BTreeMap::new(),
            last_query_id: 0,
            leading_resolver: 0,
            consecutive_failed_rounds: 0,
            round: None,
            next_round_at_us: now_us,
            serial: SerialState::new(now_us),
            instances: BTreeMap::new(),
            hosts: BTreeMap::new(),
            detail_queue: DetailQueue::new(now_us),
            first_list_at_us: None,
            has_reported: false,
            empty_since_us: None,
            reported_endpoints: BTreeMap::new(),
            changed_instances: BTreeSet::new(),
            incomplete_instances: BTreeSet::new(),
            completion_deadlines: BTreeSet::new(),
            ranking: InstanceRanking::default(),
            reported_ranks: RankSummary::default(),
            forget_deadlines: BTreeSet::new(),
            removals: RemovalState::default(),
            push: PushState::new(&config),
            dropped_datagrams: 0,
            log_limiter: LogLimiter::new(now_us),
            config,
        }
    }

    /// Handles an input, if there is one, then performs all work that is due and reports changed endpoints.
    pub fn handle(&mut self, now_us: u64, input: Option<Input>, out: &mut Vec<Output>) {
        match input {
            None => {}
            Some(Input::Datagram {
                query_id,
                from,
                bytes,
            }) => self.handle_datagram(now_us, query_id, from, bytes, out),
            Some(Input::Stream { query_id, bytes }) => {
                self.handle_stream(now_us, query_id, bytes, out);
            }
            Some(Input::QueryFailed { query_id }) => self.fail_query(now_us, query_id, out),
            Some(Input::PushOpened) => {
                self.step_push_session(now_us, out, |session, events| {
                    session.handle_opened(now_us, events);
                });
            }
            Some(Input::PushMessage(bytes)) => {
                self.step_push_session(now_us, out, |session, events| {
                    session.handle_message(now_us, bytes, events);
                });
            }
            Some(Input::PushClosed) => self.handle_push_closed(now_us, out),
        }
        self.perform_due_work(now_us, out);
        self.report_changes(now_us, out);
        self.log_limiter.flush(now_us, out);
    }

    /// Returns the latest time at which [`Browser::handle`] has to be called again, in microseconds.
    pub fn next_wakeup_us(&self, now_us: u64) -> u64 {
        let queries = self.queries.values().map(|query| query.deadline_us);
        let round = self.round.is_none().then_some(self.next_round_at_us);
        let detail = self
            .detail_queue
            .next_pop_at_us(f64::from(self.config.queries_per_s))
            .filter(|_| self.queries.len() < MAX_OUTSTANDING_QUERIES);
        let forget = self.forget_deadlines.first().map(|(at_us, _)| *at_us);
        let first_report = self
            .first_list_at_us
            .filter(|_| !self.has_reported)
            .map(|at_us| at_us + COMPLETION_TIMEOUT_US);
        let completion = self.completion_deadlines.first().map(|(at_us, _)| *at_us);
        let latest = now_us + MAX_WAKEUP_INTERVAL_US;
        queries
            .chain(round)
            .chain(detail)
            .chain(forget)
            .chain(first_report)
            .chain(completion)
            .chain(self.push.next_wakeup_us())
            .min()
            .unwrap_or(latest)
            .min(latest)
    }
}
