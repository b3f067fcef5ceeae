//! Failure detection by SWIM (Das, Gupta, Motivala, DSN 2002) with the extensions of Lifeguard (Dadgar, Phillips,
//! Currey, 2017): a local health score, and suspicion timeouts that shrink with each member that confirms the
//! suspicion. A member from which a datagram was received recently is not probed.
//!
//! Times are in microseconds of running time, which hardly advances while this process does not run, so that a pause
//! of this process is no evidence that other members failed.

use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Number of members that have to suspect a member, in addition to the first one, for the shortest suspicion timeout.
pub const MAX_CONFIRMATIONS: usize = 3;

/// Upper bound of the local health score; a score of 0 is healthy.
const MAX_HEALTH_SCORE: u32 = 8;
/// Number of retries of a direct probe, one per tick, since a probe or its acknowledgement may be lost.
const PING_RETRIES: u32 = 2;
/// Upper bound, in probe intervals, of the time without a datagram from a member after which the member may be probed.
const MAX_SILENCE_THRESHOLD_INTERVALS: u64 = 3;
/// Number of other members that are requested to probe a target that does not answer.
const INDIRECT_PINGS: usize = 3;
/// Shortest suspicion timeout in probe intervals, per decimal logarithm of the number of members.
const MIN_SUSPICION_INTERVALS: f64 = 4.0;
/// Longest suspicion timeout, as a multiple of the shortest one.
const MAX_SUSPICION_FACTOR: f64 = 6.0;
/// Number of random candidates for every second probe; the one from which nothing was received for longest is probed.
const PROBE_CANDIDATES: usize = 8;

/// An action that the caller has to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DetectorAction {
    /// Send a probe to a member.
    Ping {
        /// Name of the member.
        target: String,
        /// Number of the probe, to be passed to [`FailureDetector::acknowledge`].
        ping: u32,
    },
    /// Request other members to probe the target on behalf of this one.
    IndirectPing {
        /// Names of the members that receive the request.
        via: Vec<String>,
        /// Name of the member to probe.
        target: String,
        /// Number of the probe, the same as in the preceding [`DetectorAction::Ping`].
        ping: u32,
    },
    /// Mark a member as suspect, since it did not answer a probe.
    Suspect(String),
    /// Declare a suspected member dead, since its suspicion timed out.
    DeclareDead(String),
    /// Notify a member that it is suspected although datagrams from it arrive, so that it refutes the suspicion.
    NotifySuspect(String),
}

/// The probe in flight.
struct Probe {
    target: String,
    ping: u32,
    sent_at_us: u64,
    retries: u32,
    is_indirect: bool,
}

/// A suspicion of one incarnation of a member that has neither been refuted nor timed out.
struct Suspicion {
    incarnation: u64,
    since_us: u64,
    suspectors: usize,
}

/// The failure detector of one member.
pub struct FailureDetector {
    probe_interval_us: u64,
    rng: Pcg64Mcg,
    /// Lifeguard's local health multiplier. Each refutation, and each probe that fails while no datagrams arrive from
    /// any other member, adds one; each acknowledgement subtracts one; a pause of this process sets the maximum.
    health_score: u32,
    /// Remaining targets of the current round of probes in random order; the last element is probed next.
    probe_order: Vec<String>,
    prefers_longest_silent: bool,
    probe: Option<Probe>,
    next_probe_at_us: u64,
    last_ping: u32,
    suspicions: BTreeMap<String, Suspicion>,
}

impl FailureDetector {
    /// Creates a detector without suspicions. `seed` determines the random choice of probe targets and helpers.
    pub fn new(probe_interval_us: u64, seed: u64) -> FailureDetector {
        FailureDetector {
            probe_interval_us,
            rng: Pcg64Mcg::seed_from_u64(seed),
            health_score: 0,
            probe_order: Vec::new(),
            prefers_longest_silent: false,
            probe: None,
            next_probe_at_us: 0,
            last_ping: 0,
            suspicions: BTreeMap::new(),
        }
    }

    /// Raises the local health score by one, since this process rather than other members seems to be slow.
    pub fn worsen_health(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// Handles the end of a pause of this process: abandons the probe in flight, sets the local health score to
    /// [`MAX_HEALTH_SCORE`], and suspends probing for one interval stretched by that score.
    pub fn resume_after_pause(&mut self, now_us: u64) {
        self.probe = None;
        self.health_score = MAX_HEALTH_SCORE;
        self.next_probe_at_us = now_us + self.scaled_interval_us();
    }

    /// Returns a new probe number, which is never 0. Probes sent on behalf of other members take their numbers here
    /// as well.
    pub fn next_ping(&mut self) -> u32 {
        self.last_ping = self.last_ping.wrapping_add(1).max(1);
        self.last_ping
    }

    /// Records the acknowledgement of the probe numbered `ping`.
    pub fn acknowledge(&mut self, ping: u32) {
        if self.probe.as_ref().is_some_and(|p| p.ping == ping) {
            self.probe = None;
            self.improve_health();
        }
    }

    /// Records that `suspectors` members suspect the given incarnation of a member. The count includes this member if
    /// it suspects the member itself.
    pub fn record_suspicion(
        &mut self,
        now_us: u64,
        name: &str,
        incarnation: u64,
        suspectors: usize,
    ) {
        let started = || Suspicion {
            incarnation,
            since_us: now_us,
            suspectors,
        };
        let suspicion = self.suspicions.entry(name.into()).or_insert_with(started);
        if suspicion.incarnation != incarnation {
            *suspicion = started();
        }
        suspicion.suspectors = suspicion.suspectors.max(suspectors);
    }

    /// Removes the suspicion and abandons the probe of a member that is known to be running or gone.
    pub fn clear_suspicion(&mut self, name: &str) {
        self.suspicions.remove(name);
        if self.probe.as_ref().is_some_and(|p| p.target == name) {
            self.probe = None;
        }
    }

    /// Expires suspicions, advances the probe in flight, starts a probe if one is due, and appends the resulting
    /// actions to `actions`.
    ///
    /// `others`: names of all other present members, sorted; `last_received_at`: when a datagram was last received
    /// directly from a member, in microseconds, or 0 for never; `update_interval_us`: interval at which members send
    /// each other updates.
    pub fn tick(
        &mut self,
        now_us: u64,
        update_interval_us: u64,
        others: &[&str],
        last_received_at: impl Fn(&str) -> u64,
        actions: &mut Vec<DetectorAction>,
    ) {
        self.expire_suspicions(now_us, others.len() + 1, &last_received_at, actions);
        self.continue_probe(now_us, others, &last_received_at, actions);
        if now_us < self.next_probe_at_us {
            return;
        }
        self.next_probe_at_us = now_us + self.scaled_interval_us();
        self.fail_probe(others, &last_received_at, actions);
        if let Some(target) =
            self.choose_target(now_us, update_interval_us, others, &last_received_at)
        {
            let ping = self.next_ping();
            self.probe = Some(Probe {
                target: target.clone(),
                ping,
                sent_at_us: now_us,
                retries: 0,
                is_indirect: false,
            });
            actions.push(DetectorAction::Ping { target, ping });
        }
    }

    /// Returns how long a member may remain suspect before it is declared dead, in microseconds, in a cluster of
    /// `members` of which `suspectors` suspect the member.
    fn suspicion_timeout_us(&self, members: usize, suspectors: usize) -> u64 {
        let size_factor = (members.max(10) as f64).log10();
        let shortest = MIN_SUSPICION_INTERVALS * size_factor * self.probe_interval_us as f64;
        let max_confirmations = MAX_CONFIRMATIONS.min(members.saturating_sub(2));
        let confirmed_share = if max_confirmations == 0 {
            1.0
        } else {
            let confirmed = (suspectors.max(1) as f64).ln();
            (confirmed / (max_confirmations as f64 + 1.0).ln()).min(1.0)
        };
        let health_factor = 1.0 + f64::from(self.health_score) / 4.0;
        let unconfirmed_share = 1.0 - confirmed_share;
        let timeout = shortest + (MAX_SUSPICION_FACTOR - 1.0) * shortest * unconfirmed_share;
        (timeout * health_factor) as u64
    }

    /// Handles suspicions that have timed out: restarts the timeout and notifies the suspect if a datagram arrived
    /// from it since the suspicion began; otherwise declares the suspect dead.
    fn expire_suspicions(
        &mut self,
        now_us: u64,
        members: usize,
        last_received_at: &impl Fn(&str) -> u64,
        actions: &mut Vec<DetectorAction>,
    ) {
        let is_expired = |s: &Suspicion| {
            let timeout_us = self.suspicion_timeout_us(members, s.suspectors);
            now_us.saturating_sub(s.since_us) >= timeout_us
        };
        let expired: Vec<String> = self
            .suspicions
            .iter()
            .filter(|(_, s)| is_expired(s))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            let Some(suspicion) = self.suspicions.get_mut(&name) else {
                continue;
            };
            if last_received_at(&name) > suspicion.since_us {
                // A datagram arrived from the suspect after it was suspected, so it is running.
                suspicion.since_us = now_us;
                actions.push(DetectorAction::NotifySuspect(name));
            } else {
                self.suspicions.remove(&name);
                actions.push(DetectorAction::DeclareDead(name));
            }
        }
    }

    /// Ends the probe in flight if a datagram arrived from its target; otherwise retries it or requests indirect
    /// probes.
    fn continue_probe(
        &mut self,
        now_us: u64,
        others: &[&str],
        last_received_at: &impl Fn(&str) -> u64,
        actions: &mut Vec<DetectorAction>,
    ) {
        let indirect_after_us = (self.probe_interval_us / 2) * u64::from(1 + self.health_score);
        let Some(probe) = &mut self.probe else {
            return;
        };
        // Any datagram from the target counts as an acknowledgement.
        if last_received_at(&probe.target) >= probe.sent_at_us {
            self.probe = None;
            self.improve_health();
        } else if probe.retries < PING_RETRIES {
            probe.retries += 1;
            actions.push(DetectorAction::Ping {
                target: probe.target.clone(),
                ping: probe.ping,
            });
        } else if !probe.is_indirect && now_us >= probe.sent_at_us + indirect_after_us {
            probe.is_indirect = true;
            let target = probe.target.clone();
            let ping = probe.ping;
            let via = self.draw(others, INDIRECT_PINGS, &target);
            actions.push(DetectorAction::IndirectPing { via, target, ping });
        }
    }

    /// Suspects the target of the probe in flight, if there is one, since it was not acknowledged in time.
    fn fail_probe(
        &mut self,
        others: &[&str],
        last_received_at: &impl Fn(&str) -> u64,
        actions: &mut Vec<DetectorAction>,
    ) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        // Lifeguard: if no datagrams arrive from the other members either, this process is as likely to be the slow
        // one.
        let has_received_any = others
            .iter()
            .any(|name| last_received_at(name) >= probe.sent_at_us);
        if others.len() > 1 && !has_received_any {
            self.worsen_health();
        }
        actions.push(DetectorAction::Suspect(probe.target));
    }

    /// Returns the next probe target, among the members from which nothing was received for two update intervals (but
    /// at least one and at most [`MAX_SILENCE_THRESHOLD_INTERVALS`] probe intervals). The choice alternates between
    /// the longest silent one of a few random candidates that are not suspected, and the next one of a round in
    /// random order.
    fn choose_target(
        &mut self,
        now_us: u64,
        update_interval_us: u64,
        others: &[&str],
        last_received_at: &impl Fn(&str) -> u64,
    ) -> Option<String> {
        // At long update intervals, the loss of a single update must not cause a probe.
        let max_silence_threshold_us = MAX_SILENCE_THRESHOLD_INTERVALS * self.probe_interval_us;
        let silence_threshold_us =
            (2 * update_interval_us).clamp(self.probe_interval_us, max_silence_threshold_us);
        let is_silent =
            |name: &str| now_us.saturating_sub(last_received_at(name)) >= silence_threshold_us;
        self.prefers_longest_silent = !self.prefers_longest_silent;
        if self.prefers_longest_silent {
            let candidates = self.draw(others, PROBE_CANDIDATES, "");
            let longest_silent = candidates
                .into_iter()
                .filter(|name| !self.suspicions.contains_key(name))
                .min_by_key(|name| last_received_at(name));
            if let Some(name) = longest_silent.filter(|name| is_silent(name)) {
                return Some(name);
            }
        }
        for _ in 0..others.len() {
            if self.probe_order.is_empty() {
                self.probe_order = self.draw(others, others.len(), "");
            }
            let name = self.probe_order.pop()?;
            if others.binary_search(&&*name).is_ok() && is_silent(&name) {
                return Some(name);
            }
        }
        None
    }

    /// Returns up to `count` distinct names other than `excluded`, in random order.
    fn draw(&mut self, names: &[&str], count: usize, excluded: &str) -> Vec<String> {
        let mut pool: Vec<&str> = names.iter().copied().filter(|n| *n != excluded).collect();
        let count = count.min(pool.len());
        for k in 0..count {
            let other = k + self.rng.next_u32() as usize % (pool.len() - k);
            pool.swap(k, other);
        }
        pool[..count].iter().map(ToString::to_string).collect()
    }

    /// Returns the probe interval in microseconds, stretched by the local health score.
    fn scaled_interval_us(&self) -> u64 {
        self.probe_interval_us * u64::from(1 + self.health_score)
    }

    fn improve_health(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }
}
