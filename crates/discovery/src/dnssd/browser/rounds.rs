//! Browsing rounds: collects their replies, schedules the next round, fails over between resolvers, and adds the
//! instances of a complete round. `loss` decides which instances a round removes.

use super::cache::Instance;
use super::events::Output;
use super::query::BrowseRound;
use super::state::Browser;
use crate::dnssd::wire::Name;
use std::time::Duration;

/// Number of consecutive failed rounds after which the next resolver takes the lead.
const MAX_FAILED_ROUNDS: u32 = 2;
/// Time from a completed round without a serial to the next serial query, in microseconds. Every round without a
/// serial restarts it, including a round that sent no serial query.
const SERIAL_RETRY_INTERVAL_US: u64 = 30_000_000;

impl Browser {
    /// Records the reply or the failure of one of the round's queries, and completes the round after the last one.
    pub(super) fn record_round_reply(
        &mut self,
        now_us: u64,
        out: &mut Vec<Output>,
        record: impl FnOnce(&mut BrowseRound),
    ) {
        let Some(round) = &mut self.round else { return };
        record(round);
        round.outstanding_queries = round.outstanding_queries.saturating_sub(1);
        if round.outstanding_queries > 0 {
            return;
        }
        if let Some(round) = self.round.take() {
            self.complete_round(now_us, round, out);
        }
    }

    /// Schedules the next round, and applies the completed one unless it failed.
    fn complete_round(&mut self, now_us: u64, round: BrowseRound, out: &mut Vec<Output>) {
        let interval_us = self.round_interval(&round).as_micros() as u64;
        self.next_round_at_us = now_us.max(round.started_at_us + interval_us);
        if round.has_failed {
            self.handle_failed_round(now_us, out);
            return;
        }
        if round.serial.is_none() {
            self.serial.next_query_at_us = now_us + SERIAL_RETRY_INTERVAL_US;
        }
        if std::mem::take(&mut self.consecutive_failed_rounds) >= MAX_FAILED_ROUNDS {
            self.log_limiter.log(
                now_us,
                "dns-sd: receiving complete answers from a resolver again".into(),
                out,
            );
        }
        self.apply_round(now_us, round, out);
    }

    /// Returns the time between the start of a round and the start of the next.
    fn round_interval(&self, round: &BrowseRound) -> Duration {
        let push = self.config.push.as_ref();
        if let Some(push) = push.filter(|_| self.push.is_established()) {
            return push.check_interval;
        }
        // A TTL may be anything from 0 to 2^31 (RFC 2181 section 8).
        let ttl = Duration::from_secs(u64::from(round.min_ttl_s));
        ttl.clamp(self.config.min_poll_interval, self.config.max_poll_interval)
    }

    /// Counts a failed round, and changes the leading resolver after every [`MAX_FAILED_ROUNDS`] of them.
    fn handle_failed_round(&mut self, now_us: u64, out: &mut Vec<Output>) {
        self.consecutive_failed_rounds += 1;
        let latest_us = now_us + self.config.max_poll_interval.as_micros() as u64;
        self.next_round_at_us = self.next_round_at_us.min(latest_us);
        if !self
            .consecutive_failed_rounds
            .is_multiple_of(MAX_FAILED_ROUNDS)
        {
            return;
        }
        let resolver = self.leading_resolver();
        if self.consecutive_failed_rounds == MAX_FAILED_ROUNDS {
            let line = format!(
                "dns-sd: no complete answer from resolver {resolver}; keeping the last list"
            );
            self.log_limiter.log(now_us, line, out);
        }
        if self.config.resolvers.len() > 1 {
            self.leading_resolver = (self.leading_resolver + 1) % self.config.resolvers.len();
            self.removals.must_confirm = self.has_reported;
            self.serial.next_query_at_us = now_us;
        }
    }

    /// Adds, updates and removes instances according to a complete round.
    fn apply_round(&mut self, now_us: u64, mut round: BrowseRound, out: &mut Vec<Output>) {
        if !self.accept_serial(now_us, round.serial, out) {
            return;
        }
        let is_first = self.first_list_at_us.is_none();
        if is_first && round.instance_names.is_empty() && !self.is_empty_start_confirmed(now_us) {
            return;
        }
        self.empty_since_us = None;
        self.first_list_at_us = self.first_list_at_us.or(Some(now_us));
        self.add_new_instances(now_us, &round, is_first, out);
        let additional = std::mem::take(&mut round.additional_records);
        self.store_records(now_us, additional);
        let names: Vec<Name> = self.instances.keys().cloned().collect();
        for name in &names {
            self.refresh_instance(now_us, name);
        }
        self.handle_missing_instances(now_us, &round, out);
    }

    /// Returns whether an empty first list is used: empty lists have to persist for `confirmation_time`, or for
    /// `mass_loss_hold` if that is longer and endpoints were known before browsing began.
    fn is_empty_start_confirmed(&mut self, now_us: u64) -> bool {
        let hold = if self.previous_endpoints.is_empty() {
            Duration::ZERO
        } else {
            self.config.mass_loss_hold
        };
        let wait_us = self.config.confirmation_time.max(hold).as_micros() as u64;
        now_us - *self.empty_since_us.get_or_insert(now_us) >= wait_us
    }

    fn add_new_instances(
        &mut self,
        now_us: u64,
        round: &BrowseRound,
        is_first: bool,
        out: &mut Vec<Output>,
    ) {
        // A change that was pushed after the round began is newer than the round.
        let is_current = |instance: &Instance| {
            instance.is_present() || instance.pushed_at_us >= round.started_at_us
        };
        for name in &round.instance_names {
            if !self.instances.get(name).is_some_and(is_current) {
                self.add_instance(now_us, name, is_first, out);
                self.expect_pushed_change(now_us, name);
            }
        }
    }
}
