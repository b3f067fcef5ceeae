//! Shared signals: what members say of servers in trouble, put together so that a server is left alone by all soon after a few have met
//! trouble there, and so that no single member can take one out for the others.
//!
//! | rule | why |
//! | --- | --- |
//! | a member's later word replaces its earlier; order and repetition do not matter | words travel by gossip |
//! | a word ends [`ENDS_US`] after it was found out, or with the server's own restart | what was found out about another process, or long ago, is void |
//! | one that accuses more than half of the servers that it uses is not heard | its own network is bad |
//! | a server is out once as many as [`needed`] say so, and more than say that it is well | one liar takes none out |
//! | while it is out the latest word on it counts | whoever has the turn to try it speaks for all |
//! | it is back as soon as that says that it is well, or nobody says anything | words end |

use std::collections::{BTreeMap, BTreeSet};

/// Microseconds after which a word counts no more: longer than two turns to try a server, so that one that stays bad is not found out
/// anew.
pub const ENDS_US: u64 = 10_000_000;
/// Of what failed of late there, above which a member says that a server is in trouble: one of its last five attempts. More than that a
/// member hardly sees, as it turns to others after the first.
pub const BAD: f64 = 0.15;
/// Below this it says that a server that others accuse is well.
pub const WELL: f64 = 0.1;
/// Of a server's users so many have to say so, and two at least.
const PART: usize = 4;
/// Words of one member that are kept.
pub const MOST_WORDS: usize = 24;

/// One member's word of one server: the part of its attempts there that failed of late, and when that was found out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthReport {
    /// From 0 to 1.
    pub errors: f64,
    /// By the clock of who hears it.
    pub at: u64,
}

/// How many have to say so before a server with that many users is out.
pub fn needed(users: usize) -> usize {
    users.div_ceil(PART).max(2)
}

#[derive(Default)]
struct Said {
    words: BTreeMap<u64, HealthReport>,
    /// Servers that it uses.
    uses: usize,
}

/// What all say, and which servers are out.
#[derive(Default)]
pub struct OutlierSignals {
    by: BTreeMap<u64, Said>,
    out: BTreeSet<u64>,
    /// Those that came back, and as of when: what was found out before is past.
    back: BTreeMap<u64, u64>,
}

impl OutlierSignals {
    /// All that a member says now, by servers, in place of what it said before. `uses`: how many it uses.
    pub fn hear(
        &mut self,
        from: u64,
        uses: usize,
        words: impl Iterator<Item = (u64, HealthReport)>,
    ) {
        let fine = |w: &(u64, HealthReport)| w.1.errors.is_finite();
        self.by.insert(
            from,
            Said {
                words: words.filter(fine).take(MOST_WORDS).collect(),
                uses,
            },
        );
    }

    /// Only these are members now.
    pub fn keep(&mut self, members: impl Fn(u64) -> bool) {
        self.by.retain(|from, _| members(*from));
    }

    /// Nobody has said anything, and nothing is out.
    pub fn quiet(&self) -> bool {
        self.by.is_empty()
    }

    /// Somebody says that it is in trouble.
    pub fn accused(&self, server: u64, now: u64) -> bool {
        self.votes(server, 0, now).0 > 0
    }

    /// How many say that it is in trouble, how many that it is well, and the latest word: when, and whether it is in trouble. What was found
    /// out before `since` does not count.
    fn votes(&self, server: u64, since: u64, now: u64) -> (usize, usize, Option<(u64, bool)>) {
        let counts = |w: &HealthReport| w.at + ENDS_US > now && w.at >= since;
        let heard = |s: &&Said| {
            let accuses = s
                .words
                .values()
                .filter(|w| w.at + ENDS_US > now && w.errors > BAD)
                .count();
            2 * accuses <= s.uses.max(2)
        };
        let words = self
            .by
            .values()
            .filter(heard)
            .filter_map(|s| s.words.get(&server))
            .filter(|w| counts(w));
        let mut latest = None;
        let (mut bad, mut well) = (0, 0);
        for w in words {
            bad += usize::from(w.errors > BAD);
            well += usize::from(w.errors < WELL);
            // Of two of one moment the worse.
            latest = latest.max(Some((w.at, w.errors > BAD)));
        }
        (bad, well, latest)
    }

    /// Which servers are out. `of`: when one started, and how many use it; none: there is no such server.
    pub fn settle(&mut self, now: u64, of: impl Fn(u64) -> Option<(u64, usize)>) {
        let mut out = BTreeSet::new();
        let named: BTreeSet<u64> = self
            .by
            .values()
            .flat_map(|s| s.words.keys().copied())
            .collect();
        for server in named {
            let Some((started, users)) = of(server) else {
                continue;
            };
            let since = self
                .back
                .get(&server)
                .map_or(started, |back| started.max(back + 1));
            let (bad, well, latest) = self.votes(server, since, now);
            let is_out = match (self.out.contains(&server), latest) {
                (true, Some((at, false))) => {
                    self.back.insert(server, at);
                    false
                }
                (true, latest) => latest.is_some(),
                (false, _) => bad >= needed(users) && bad > well,
            };
            if is_out {
                out.insert(server);
            }
        }
        self.out = out;
        self.back.retain(|_, at| *at + ENDS_US > now);
    }

    /// It is left alone.
    pub fn out(&self, server: u64) -> bool {
        self.out.contains(&server)
    }

    /// How many are.
    pub fn all_out(&self) -> usize {
        self.out.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: u64 = 1_000_000;

    fn say(c: &mut OutlierSignals, from: u64, words: &[(u64, f64)], at: u64) {
        c.hear(
            from,
            10,
            words.iter().map(|(s, errors)| {
                (
                    *s,
                    HealthReport {
                        errors: *errors,
                        at,
                    },
                )
            }),
        );
    }

    fn settle(c: &mut OutlierSignals, now: u64, users: usize) -> Vec<u64> {
        c.settle(now, |_| Some((0, users)));
        c.out.iter().copied().collect()
    }

    #[test]
    fn it_takes_several_to_take_one_out_and_one_to_keep_it_out() {
        let mut c = OutlierSignals::default();
        say(&mut c, 1, &[(3, 0.9)], S);
        assert_eq!(settle(&mut c, S, 3), []);
        say(&mut c, 2, &[(3, 0.8)], S);
        assert_eq!(settle(&mut c, S, 3), [3]);
        // Of twelve users three have to; what is out stays out by one word alone, and until that ends.
        assert_eq!((needed(12), needed(15), needed(3), needed(0)), (3, 4, 2, 2));
        say(&mut c, 1, &[], 4 * S);
        say(&mut c, 2, &[(3, 0.8)], 4 * S);
        assert_eq!(settle(&mut c, 4 * S, 12), [3]);
        assert_eq!(settle(&mut c, 4 * S + ENDS_US, 12), []);
    }

    #[test]
    fn whoever_tries_it_and_finds_it_well_brings_it_back() {
        let mut c = OutlierSignals::default();
        (1..=3).for_each(|m| say(&mut c, m, &[(3, 0.9)], S));
        assert_eq!(settle(&mut c, S, 3), [3]);
        // Tried in vain, and then not.
        say(&mut c, 1, &[(3, 0.9)], 2 * S);
        assert_eq!(settle(&mut c, 3 * S, 3), [3]);
        say(&mut c, 2, &[(3, 0.0)], 3 * S);
        assert_eq!(settle(&mut c, 3 * S, 3), []);
        // What was said before does not take it out again, what is said after does.
        assert_eq!(settle(&mut c, 3 * S + 1, 3), []);
        say(&mut c, 1, &[(3, 0.9)], 4 * S);
        say(&mut c, 2, &[(3, 0.9)], 5 * S);
        assert_eq!(settle(&mut c, 5 * S, 3), [3]);
    }

    #[test]
    fn who_accuses_most_of_what_it_uses_is_not_heard() {
        let mut c = OutlierSignals::default();
        for from in [1, 2] {
            let all: Vec<(u64, f64)> = (0..6).map(|s| (s, 1.0)).collect();
            say(&mut c, from, &all, S);
        }
        assert_eq!(settle(&mut c, S, 3), []);
        // A zone that is lost is a part of what each uses.
        for from in [1, 2] {
            say(&mut c, from, &[(0, 1.0), (1, 1.0), (2, 1.0)], S);
        }
        assert_eq!(settle(&mut c, S, 3), [0, 1, 2]);
    }

    #[test]
    fn words_of_before_a_restart_are_void() {
        let mut c = OutlierSignals::default();
        (1..=3).for_each(|m| say(&mut c, m, &[(3, 0.9)], S));
        c.settle(2 * S, |_| Some((2 * S, 3)));
        assert!(!c.out(3) && c.accused(3, 2 * S));
        c.keep(|m| m > 3);
        assert!(!c.accused(3, 2 * S));
    }

    proptest! {
        /// One member alone, whatever it says and however often, takes nobody out, and what the others say together counts the same
        /// in any order.
        #[test]
        fn no_single_one_takes_a_server_out(
            lies in prop::collection::vec((0u64..20, 0.0f64..1.0, 0u64..9), 0..60),
            users in 0usize..20,
        ) {
            let mut c = OutlierSignals::default();
            for (server, errors, at) in lies {
                say(&mut c, 7, &[(server, errors)], at * S);
                prop_assert_eq!(settle(&mut c, at * S, users), Vec::<u64>::new());
            }
        }

        #[test]
        fn order_and_repetition_do_not_matter(
            words in prop::collection::vec((0u64..6, 0u64..20, 0.0f64..1.0), 0..40),
            turn in 0usize..40,
        ) {
            let mut last = BTreeMap::<u64, Vec<(u64, f64)>>::new();
            words.iter().for_each(|(m, s, e)| last.entry(*m).or_default().push((*s, *e)));
            let (mut one, mut two) = (OutlierSignals::default(), OutlierSignals::default());
            last.iter().for_each(|(m, w)| say(&mut one, *m, w, S));
            let mut other: Vec<_> = last.iter().chain(last.iter()).collect();
            let n = other.len().max(1);
            other.rotate_left(turn % n);
            other.into_iter().for_each(|(m, w)| say(&mut two, *m, w, S));
            prop_assert_eq!(settle(&mut one, S, 3), settle(&mut two, S, 3));
        }
    }
}
