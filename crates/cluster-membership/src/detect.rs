//! Who is probed, suspected and held to be dead: SWIM (Das, Gupta, Motivala, DSN 2002) with Lifeguard's measure of one's own health
//! and its suspicions that shrink with each accuser (Dadgar, Phillips, Currey, 2017). Whoever was heard directly of late needs no
//! probe. Times are those of a clock that stands still while this process does not run: what it did not see is no evidence.

use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// One's own health: 0 is well; each probe that fails while nobody is heard and each refutation adds one, each answer takes
/// one away.
const MOST_ILL: u32 = 8;
/// A probe is repeated at the next ticks, so often.
const AGAIN: u32 = 2;
/// Whoever was heard within so many probes' time needs none in any case.
const QUIET: u64 = 3;
/// Others that are asked to probe where no answer came.
const ASKED: usize = 3;
/// Accusers beside the first after which a suspicion has its shortest time.
pub const ACCUSERS: usize = 3;
/// The shortest time, in probes, for each power of ten of members; the longest is so many times that.
const SHORTEST: f64 = 4.0;
const LONGEST: f64 = 6.0;
/// Of so many drawn members the one unheard for longest is probed, every second time.
const DRAWN: usize = 8;

struct Probe {
    target: String,
    seq: u32,
    sent: u64,
    asked: bool,
    again: u32,
}

struct Suspicion {
    incarnation: u64,
    since: u64,
    accusers: usize,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Ping {
        target: String,
        seq: u32,
    },
    /// These are to probe it for us.
    Ask {
        via: Vec<String>,
        target: String,
        seq: u32,
    },
    Suspect(String),
    Dead(String),
    /// It is heard, but suspected: it is to know.
    Warn(String),
}

pub struct Detect {
    probe_us: u64,
    rng: Pcg64Mcg,
    ill: u32,
    /// All others in a drawn order, gone through one by one.
    order: Vec<String>,
    oldest: bool,
    probe: Option<Probe>,
    due: u64,
    seq: u32,
    suspects: BTreeMap<String, Suspicion>,
}

impl Detect {
    pub fn new(probe_us: u64, seed: u64) -> Detect {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (order, suspects) = (Vec::new(), BTreeMap::new());
        Detect {
            probe_us,
            rng,
            ill: 0,
            order,
            oldest: false,
            probe: None,
            due: 0,
            seq: 0,
            suspects,
        }
    }

    pub fn worse(&mut self) {
        self.ill = (self.ill + 1).min(MOST_ILL);
    }

    /// This process did not run for a while: what is out says nothing, and nobody is judged for a moment.
    pub fn slept(&mut self, now: u64) {
        self.probe = None;
        self.ill = MOST_ILL;
        self.due = now + self.period();
    }

    fn period(&self) -> u64 {
        self.probe_us * u64::from(1 + self.ill)
    }

    /// Numbers of probes, also of those made for others.
    pub fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1).max(1);
        self.seq
    }

    pub fn answered(&mut self, seq: u32) {
        if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
            self.probe = None;
            self.ill = self.ill.saturating_sub(1);
        }
    }

    /// Somebody suspects a member, this one included.
    pub fn suspect(&mut self, now: u64, name: &str, incarnation: u64, accusers: usize) {
        let s = self.suspects.entry(name.into()).or_insert(Suspicion {
            incarnation,
            since: now,
            accusers,
        });
        if s.incarnation != incarnation {
            *s = Suspicion {
                incarnation,
                since: now,
                accusers,
            };
        }
        s.accusers = s.accusers.max(accusers);
    }

    /// It is there, or it is gone: no suspect any more.
    pub fn settled(&mut self, name: &str) {
        self.suspects.remove(name);
        if self.probe.as_ref().is_some_and(|p| p.target == name) {
            self.probe = None;
        }
    }

    /// How long a suspicion stands among so many members.
    fn stands_us(&self, members: usize, accusers: usize) -> u64 {
        let shortest = SHORTEST * (members.max(10) as f64).log10() * self.probe_us as f64;
        let most = ACCUSERS.min(members.saturating_sub(2));
        let done = match most {
            0 => 1.0,
            _ => ((accusers.max(1) as f64).ln() / (most as f64 + 1.0).ln()).min(1.0),
        };
        let ill = 1.0 + f64::from(self.ill) / 4.0;
        ((shortest + (LONGEST - 1.0) * shortest * (1.0 - done)) * ill) as u64
    }

    /// Does what is due. `others`: all that are there; `heard`: when each was last heard itself.
    /// `usual`: how often each other is told something anyhow.
    pub fn tick(
        &mut self,
        now: u64,
        usual: u64,
        others: &[&str],
        heard: impl Fn(&str) -> u64,
        out: &mut Vec<Step>,
    ) {
        self.judge(now, others.len() + 1, &heard, out);
        if let Some(p) = &mut self.probe {
            // Any word of it does as an answer.
            if heard(&p.target) >= p.sent {
                self.ill = self.ill.saturating_sub(1);
                self.probe = None;
            } else if p.again < AGAIN {
                // Answers get lost, too.
                p.again += 1;
                out.push(Step::Ping {
                    target: p.target.clone(),
                    seq: p.seq,
                });
            } else if !p.asked && now >= p.sent + (self.probe_us / 2) * u64::from(1 + self.ill) {
                p.asked = true;
                let (target, seq) = (p.target.clone(), p.seq);
                let via = self.draw(others, ASKED, &target);
                out.push(Step::Ask { via, target, seq });
            }
        }
        if now < self.due {
            return;
        }
        self.due = now + self.period();
        if let Some(p) = self.probe.take() {
            // Lifeguard: where nobody else is heard either it is as likely that this process does badly.
            if others.len() > 1 && !others.iter().any(|n| heard(n) >= p.sent) {
                self.worse();
            }
            out.push(Step::Suspect(p.target));
        }
        if let Some(target) = self.target(now, usual, others, &heard) {
            let seq = self.next_seq();
            self.probe = Some(Probe {
                target: target.clone(),
                seq,
                sent: now,
                asked: false,
                again: 0,
            });
            out.push(Step::Ping { target, seq });
        }
    }

    fn judge(
        &mut self,
        now: u64,
        members: usize,
        heard: &impl Fn(&str) -> u64,
        out: &mut Vec<Step>,
    ) {
        let mut over = Vec::new();
        for (name, s) in &self.suspects {
            if now.saturating_sub(s.since) >= self.stands_us(members, s.accusers) {
                over.push(name.clone());
            }
        }
        for name in over {
            let Some(s) = self.suspects.get_mut(&name) else {
                continue;
            };
            if heard(&name) > s.since {
                // Whoever accuses it, it is there.
                s.since = now;
                out.push(Step::Warn(name));
            } else {
                self.suspects.remove(&name);
                out.push(Step::Dead(name));
            }
        }
    }

    /// Whoever was not heard for a while: one by one in a drawn order, and every second time of some drawn the one that
    /// was heard least lately.
    fn target(
        &mut self,
        now: u64,
        usual: u64,
        others: &[&str],
        heard: &impl Fn(&str) -> u64,
    ) -> Option<String> {
        // Of those that are told rarely one word may be lost.
        let quiet_us = (2 * usual).clamp(self.probe_us, QUIET * self.probe_us);
        let quiet = |name: &str| now.saturating_sub(heard(name)) >= quiet_us;
        self.oldest = !self.oldest;
        if self.oldest {
            let drawn = self.draw(others, DRAWN, "");
            let oldest = drawn
                .into_iter()
                .filter(|n| !self.suspects.contains_key(n))
                .min_by_key(|n| heard(n));
            if let Some(name) = oldest.filter(|n| quiet(n)) {
                return Some(name);
            }
        }
        for _ in 0..others.len() {
            if self.order.is_empty() {
                self.order = self.draw(others, others.len(), "");
            }
            let name = self.order.pop()?;
            if others.binary_search(&&*name).is_ok() && quiet(&name) {
                return Some(name);
            }
        }
        None
    }

    /// So many different ones.
    fn draw(&mut self, of: &[&str], many: usize, but: &str) -> Vec<String> {
        let mut all: Vec<&str> = of.iter().copied().filter(|n| *n != but).collect();
        let many = many.min(all.len());
        for k in 0..many {
            let other = k + self.rng.next_u32() as usize % (all.len() - k);
            all.swap(k, other);
        }
        all[..many].iter().map(|n| n.to_string()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const P: u64 = 200_000;

    fn run(
        d: &mut Detect,
        from: u64,
        to: u64,
        others: &[&str],
        heard: impl Fn(&str, u64) -> u64,
    ) -> Vec<(u64, Step)> {
        let mut all = Vec::new();
        let mut out = Vec::new();
        for now in (from..to).step_by(50_000) {
            d.tick(now, 50_000, others, |n| heard(n, now), &mut out);
            for step in out.drain(..) {
                if let Step::Suspect(name) = &step {
                    d.suspect(now, name, 1, 1);
                }
                all.push((now, step));
            }
        }
        all
    }

    #[test]
    fn who_is_heard_is_not_probed_and_who_is_not_is_suspected_and_then_dead() {
        let mut d = Detect::new(P, 1);
        let silent_from = 1_000_000;
        let heard = |name: &str, now: u64| {
            if name == "b" {
                now.min(silent_from)
            } else {
                now
            }
        };
        let all = run(&mut d, 0, 20_000_000, &["a", "b", "c"], heard);
        assert!(
            all.iter()
                .all(|(_, s)| !matches!(s, Step::Ping { target, .. } if target != "b")),
            "{all:?}"
        );
        let at = |step: Step| all.iter().find(|(_, s)| *s == step).map(|(at, _)| *at);
        let (suspect, dead) = (at(Step::Suspect("b".into())), at(Step::Dead("b".into())));
        assert!(suspect.expect("suspected") < silent_from + 4 * P);
        assert!(dead.expect("dead") > suspect.expect("suspected"));
        assert!(all.iter().any(
            |(_, s)| matches!(s, Step::Ask { via, target, .. } if target == "b" && via.len() == 2)
        ));
    }

    #[test]
    fn accusers_shorten_a_suspicion_and_illness_lengthens_it() {
        let mut d = Detect::new(P, 1);
        let by: Vec<u64> = (1..=4).map(|n| d.stands_us(100, n)).collect();
        assert!(by.windows(2).all(|w| w[1] < w[0]), "{by:?}");
        assert_eq!(by[3] * 6, by[0]);
        (0..4).for_each(|_| d.worse());
        assert_eq!(d.stands_us(100, 4), 2 * by[3]);
        assert_eq!(
            d.stands_us(2, 1),
            2 * (SHORTEST * P as f64) as u64,
            "nobody else is there to accuse"
        );
    }

    #[test]
    fn a_suspect_that_is_heard_is_warned_in_place_of_being_held_dead() {
        let mut d = Detect::new(P, 1);
        d.suspect(0, "a", 1, 4);
        let all = run(&mut d, 0, 20_000_000, &["a", "b"], |_, now| now);
        assert!(all.iter().any(|(_, s)| *s == Step::Warn("a".into())));
        assert!(!all.iter().any(|(_, s)| matches!(s, Step::Dead(_))));
        d.settled("a");
        assert!(run(&mut d, 20_000_000, 40_000_000, &["a", "b"], |_, now| now).is_empty());
    }

    #[test]
    fn what_was_out_when_the_process_slept_accuses_nobody() {
        let mut d = Detect::new(P, 1);
        let mut out = Vec::new();
        d.tick(0, 50_000, &["a", "b"], |_| 0, &mut out);
        d.tick(P, 50_000, &["a", "b"], |_| 0, &mut out);
        d.slept(P);
        out.clear();
        d.tick(P + 50_000, 50_000, &["a", "b"], |_| 0, &mut out);
        assert!(out.is_empty(), "{out:?}");
    }
}
