//! Turns: what only one of several should do at a time. Who has the turn follows from those who could have it, from the time, and from
//! nothing else, so no message is needed, and a turn whose holder is gone passes on with the next epoch.
//!
//! Weighed: *leases* that those who use a server give each other are exact as long as they hear each other, and cost messages for each
//! server in trouble; here two holders are possible for as long as clocks and views differ, and each is one request a turn.

use crate::drawn;

/// Who has the turn of `what` in an epoch: another of them in each, drawn by hash. None: there is nobody.
pub fn holder(what: u64, among: impl Iterator<Item = u64>, epoch: u64) -> Option<u64> {
    let turn = drawn(what, epoch);
    among.max_by_key(|one| (drawn(*one, turn), *one))
}

/// Whether `me` has the turn now. It is to be asked at the moment of use: one that was stopped finds that its turn is over.
pub fn holds(me: u64, what: u64, among: impl Iterator<Item = u64>, now: u64, epoch: u64) -> bool {
    holder(what, among, now / epoch.max(1)) == Some(me)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    const S: u64 = 1_000_000;

    #[test]
    fn each_epoch_one_has_it_and_each_gets_its_part() {
        let all: Vec<u64> = (0..12).map(|n| crate::key(&format!("g{n}"))).collect();
        let mut got = BTreeMap::<u64, f64>::new();
        for epoch in 0..12_000 {
            let has: Vec<u64> = all
                .iter()
                .copied()
                .filter(|me| holds(*me, 7, all.iter().copied(), epoch * S + 3, S))
                .collect();
            assert_eq!(has.len(), 1);
            *got.entry(has[0]).or_default() += 1.0;
        }
        let parts: Vec<f64> = got.into_values().collect();
        assert!(
            crate::fairness::jain(&parts) > 0.99 && parts.len() == 12,
            "{parts:?}"
        );
        assert_eq!(holder(7, std::iter::empty(), 3), None);
    }

    /// One that is gone has no turn in the view of the others, and the others' turns stay as they were.
    #[test]
    fn a_turn_passes_on_and_no_other_moves() {
        let all: Vec<u64> = (1..=9).collect();
        for epoch in 0..200 {
            let before = holder(1, all.iter().copied(), epoch);
            let after = holder(1, all.iter().copied().filter(|m| *m != 4), epoch);
            assert!(if before == Some(4) {
                after != Some(4)
            } else {
                after == before
            });
        }
    }

    /// What two that see different members, or whose clocks differ, may both have: no more than the time for which they differ.
    #[test]
    fn two_holders_last_as_long_as_views_or_clocks_differ() {
        let (all, late) = ([1, 2, 3], 150_000);
        let mut both = 0;
        for now in (0..200 * S).step_by(10_000) {
            let one = holds(1, 5, all.into_iter(), now, S);
            let two = holds(2, 5, all.into_iter(), now.saturating_sub(late), S);
            both += u64::from(one && two) * 10_000;
        }
        // Of 200 epochs a ninth begin with one right after the other.
        assert!(both > 0 && both <= 200 * late / 9 * 2, "{both}");
    }
}
