//! Failure detection: SWIM (Das, Gupta, Motivala, DSN 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey, 2017):
//! a score of the local health, and suspicion timeouts that shrink with each member that suspects. A member that was heard
//! directly of late is not probed.
//!
//! Times are in microseconds of a clock that stands still while this process does not run, so that silence during a stop is no
//! evidence against others.

use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Members beside the first one that suspect, after which a suspicion has its shortest timeout.
pub const MAX_CONFIRMATIONS: usize = 3;

/// Upper bound of the local health score; 0 is healthy.
const MAX_HEALTH_SCORE: u32 = 8;
/// Times that a probe is repeated, one a tick: acknowledgements are lost as well.
const PING_RETRIES: u32 = 2;
/// A member heard within this many probe intervals is not probed in any case.
const MAX_QUIET_INTERVALS: u64 = 3;
/// Members that are asked to probe a target that does not answer.
const INDIRECT_PINGS: usize = 3;
/// Shortest suspicion timeout, in probe intervals for each power of ten of members.
const MIN_SUSPICION_INTERVALS: f64 = 4.0;
/// Longest suspicion timeout as a multiple of the shortest one.
const MAX_SUSPICION_FACTOR: f64 = 6.0;
/// Members drawn for every second probe, which goes to the one of them that was not heard for longest.
const PROBE_CANDIDATES: usize = 8;

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DetectorAction {
    /// Probe a member.
    Ping {
        /// Name of the member.
        target: String,
        /// Number of the probe, to be passed to [`FailureDetector::acknowledge`].
        ping: u32,
    },
    /// Ask other members to probe one.
    IndirectPing {
        /// Names of the members to ask.
        via: Vec<String>,
        /// Name of the member to probe.
        target: String,
        /// Number of the probe.
        ping: u32,
    },
    /// Suspect a member, which did not answer.
    Suspect(String),
    /// Confirm that a suspected member is dead.
    ConfirmDead(String),
    /// Notify a member that it is suspected although it is heard, so that it refutes.
    NotifySuspect(String),
}

struct Probe {
    target: String,
    ping: u32,
    sent_at_us: u64,
    retries: u32,
    is_indirect: bool,
}

struct Suspicion {
    incarnation: u64,
    since_us: u64,
    suspectors: usize,
}

/// State of the failure detector of one member.
pub struct FailureDetector {
    probe_interval_us: u64,
    rng: Pcg64Mcg,
    /// Lifeguard's local health multiplier: each failed probe while nobody is heard and each refutation adds one, each
    /// acknowledgement takes one away.
    health_score: u32,
    /// The rest of the current round of probes, in random order; the next one last.
    probe_order: Vec<String>,
    prefers_longest_unheard: bool,
    probe: Option<Probe>,
    next_probe_at_us: u64,
    last_ping: u32,
    suspicions: BTreeMap<String, Suspicion>,
}

impl FailureDetector {
    /// A detector without suspicions. `seed` determines whom it probes and asks.
    pub fn new(probe_interval_us: u64, seed: u64) -> FailureDetector {
        FailureDetector {
            probe_interval_us,
            rng: Pcg64Mcg::seed_from_u64(seed),
            health_score: 0,
            probe_order: Vec::new(),
            prefers_longest_unheard: false,
            probe: None,
            next_probe_at_us: 0,
            last_ping: 0,
            suspicions: BTreeMap::new(),
        }
    }

    /// Raises the score of the local health: this process rather than others seems to be slow.
    pub fn worsen_health(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// This process did not run for a while: abandons the probe in flight and suspects nobody for one interval.
    pub fn resume_after_pause(&mut self, now_us: u64) {
        self.probe = None;
        self.health_score = MAX_HEALTH_SCORE;
        self.next_probe_at_us = now_us + self.scaled_interval_us();
    }

    /// A new number for a probe, also for those made on behalf of other members. Never 0.
    pub fn next_ping(&mut self) -> u32 {
        self.last_ping = self.last_ping.wrapping_add(1).max(1);
        self.last_ping
    }

    /// Records the acknowledgement of a probe.
    pub fn acknowledge(&mut self, ping: u32) {
        if self.probe.as_ref().is_some_and(|p| p.ping == ping) {
            self.probe = None;
            self.improve_health();
        }
    }

    /// Records that `suspectors` members, this one included if it does, suspect a member in an incarnation.
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

    /// Ends the suspicion and the probe of a member that is known to run or to be gone.
    pub fn clear_suspicion(&mut self, name: &str) {
        self.suspicions.remove(name);
        if self.probe.as_ref().is_some_and(|p| p.target == name) {
            self.probe = None;
        }
    }

    /// Does what is due and appends it to `actions`.
    ///
    /// `others`: names of all other members that are present, sorted; `heard_at`: when a member was last heard itself, 0 for
    /// never; `update_interval_us`: how often each other member is sent a datagram in any case.
    pub fn tick(
        &mut self,
        now_us: u64,
        update_interval_us: u64,
        others: &[&str],
        heard_at: impl Fn(&str) -> u64,
        actions: &mut Vec<DetectorAction>,
    ) {
        self.expire_suspicions(now_us, others.len() + 1, &heard_at, actions);
        self.continue_probe(now_us, others, &heard_at, actions);
        if now_us < self.next_probe_at_us {
            return;
        }
        self.next_probe_at_us = now_us + self.scaled_interval_us();
        self.fail_probe(others, &heard_at, actions);
        if let Some(target) = self.choose_target(now_us, update_interval_us, others, &heard_at) {
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

    /// How long a suspicion lasts in a cluster of this size before it is confirmed.
    fn suspicion_timeout_us(&self, members: usize, suspectors: usize) -> u64 {
        let size_factor = (members.max(10) as f64).log10();
        let shortest = MIN_SUSPICION_INTERVALS * size_factor * self.probe_interval_us as f64;
        let most_confirmations = MAX_CONFIRMATIONS.min(members.saturating_sub(2));
        let confirmed_share = if most_confirmations == 0 {
            1.0
        } else {
            let confirmed = (suspectors.max(1) as f64).ln();
            (confirmed / (most_confirmations as f64 + 1.0).ln()).min(1.0)
        };
        let health_factor = 1.0 + f64::from(self.health_score) / 4.0;
        let unconfirmed_share = 1.0 - confirmed_share;
        let timeout = shortest + (MAX_SUSPICION_FACTOR - 1.0) * shortest * unconfirmed_share;
        (timeout * health_factor) as u64
    }

    fn expire_suspicions(
        &mut self,
        now_us: u64,
        members: usize,
        heard_at: &impl Fn(&str) -> u64,
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
            if heard_at(&name) > suspicion.since_us {
                // It was heard since it was suspected, so it runs.
                suspicion.since_us = now_us;
                actions.push(DetectorAction::NotifySuspect(name));
            } else {
                self.suspicions.remove(&name);
                actions.push(DetectorAction::ConfirmDead(name));
            }
        }
    }

    /// Ends the probe if its target was heard, else repeats it or asks others to probe.
    fn continue_probe(
        &mut self,
        now_us: u64,
        others: &[&str],
        heard_at: &impl Fn(&str) -> u64,
        actions: &mut Vec<DetectorAction>,
    ) {
        let indirect_after_us = (self.probe_interval_us / 2) * u64::from(1 + self.health_score);
        let Some(probe) = &mut self.probe else {
            return;
        };
        // Any datagram of the target is as good as an acknowledgement.
        if heard_at(&probe.target) >= probe.sent_at_us {
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

    /// Suspects the target of the probe that was not acknowledged, if there is one.
    fn fail_probe(
        &mut self,
        others: &[&str],
        heard_at: &impl Fn(&str) -> u64,
        actions: &mut Vec<DetectorAction>,
    ) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        // Lifeguard: where nobody else is heard either, it is as likely that this process is slow.
        let is_any_heard = others.iter().any(|name| heard_at(name) >= probe.sent_at_us);
        if others.len() > 1 && !is_any_heard {
            self.worsen_health();
        }
        actions.push(DetectorAction::Suspect(probe.target));
    }

    /// A member that was not heard for a while: alternately the one of a few drawn ones that was not heard for longest, and the
    /// next one of a round in random order.
    fn choose_target(
        &mut self,
        now_us: u64,
        update_interval_us: u64,
        others: &[&str],
        heard_at: &impl Fn(&str) -> u64,
    ) -> Option<String> {
        // Where updates are rare, the loss of a single one must not cause a probe.
        let max_quiet_us = MAX_QUIET_INTERVALS * self.probe_interval_us;
        let quiet_us = (2 * update_interval_us).clamp(self.probe_interval_us, max_quiet_us);
        let is_quiet = |name: &str| now_us.saturating_sub(heard_at(name)) >= quiet_us;
        self.prefers_longest_unheard = !self.prefers_longest_unheard;
        if self.prefers_longest_unheard {
            let candidates = self.draw(others, PROBE_CANDIDATES, "");
            let longest_unheard = candidates
                .into_iter()
                .filter(|name| !self.suspicions.contains_key(name))
                .min_by_key(|name| heard_at(name));
            if let Some(name) = longest_unheard.filter(|name| is_quiet(name)) {
                return Some(name);
            }
        }
        for _ in 0..others.len() {
            if self.probe_order.is_empty() {
                self.probe_order = self.draw(others, others.len(), "");
            }
            let name = self.probe_order.pop()?;
            if others.binary_search(&&*name).is_ok() && is_quiet(&name) {
                return Some(name);
            }
        }
        None
    }

    /// Up to `count` different names but `excluded`, in random order.
    fn draw(&mut self, names: &[&str], count: usize, excluded: &str) -> Vec<String> {
        let mut pool: Vec<&str> = names.iter().copied().filter(|n| *n != excluded).collect();
        let count = count.min(pool.len());
        for k in 0..count {
            let other = k + self.rng.next_u32() as usize % (pool.len() - k);
            pool.swap(k, other);
        }
        pool[..count].iter().map(ToString::to_string).collect()
    }

    fn scaled_interval_us(&self) -> u64 {
        self.probe_interval_us * u64::from(1 + self.health_score)
    }

    fn improve_health(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }
}
