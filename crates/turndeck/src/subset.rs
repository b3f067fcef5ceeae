//! Which part of a large fleet of servers a gateway uses: deterministic and even, and little moved as long as the number of
//! gateways a round stays.
//!
//! Gateways are dealt out in rounds. Each round puts all servers in an order of its own, by hash, and its gateways take one
//! stretch of it each: so a round uses every server once, and whatever the number of gateways no server is in more subsets
//! than another but for the last round's. A server that comes or goes shifts the others by one place: each gateway of a
//! round changes one server at the most. Where the number of ready servers passes a multiple of the least of a subset there
//! are more or fewer gateways a round, and all is dealt out anew.
//!
//! Weighed: *rendezvous hashing* of each gateway by itself moves least, but a server is in as many subsets as chance will
//! have it (a sixth more or less of 30); *an aperture* on a ring needs weights told between gateways to be even.

use crate::gossip::tag;
use crate::interface::ServerId;

/// Names that differ in their last digits alone get tags in a row: this scatters them (MurmurHash3's finalizer), or a
/// stretch would be neighbours, of one zone perhaps.
fn mixed(tag: u32) -> u32 {
    let h = (tag ^ (tag >> 16)).wrapping_mul(0x85eb_ca6b);
    let h = (h ^ (h >> 13)).wrapping_mul(0xc2b2_ae35);
    h ^ (h >> 16)
}

/// Gateway `me` of `gateways` takes at least `least` of the ready servers; none: it may use all, as there are few.
pub(crate) fn of(me: u32, gateways: u32, least: usize, ready: &[ServerId]) -> Option<Vec<ServerId>> {
    // With hardly more servers than one gateway takes, or fewer gateways than it takes to use them all, all are used.
    let a_round = ready.len() / least.max(1);
    if a_round < 2 || (gateways as usize) < a_round {
        return None;
    }
    let (round, place) = (me as usize / a_round, me as usize % a_round);
    let mut order: Vec<(u32, &ServerId)> =
        ready.iter().map(|s| (mixed(tag(&format!("{round}:{}", s.0))), s)).collect();
    order.sort_unstable();
    let edge = |place: usize| place * ready.len() / a_round;
    Some(order[edge(place)..edge(place + 1)].iter().map(|(_, s)| (*s).clone()).collect())
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::{BTreeMap, BTreeSet};

    fn servers(n: usize) -> Vec<ServerId> {
        (0..n).map(|n| ServerId(format!("10.0.{}.{}:80", n / 250, n % 250).into())).collect()
    }

    fn uses(gateways: u32, least: usize, ready: &[ServerId]) -> BTreeMap<ServerId, u32> {
        let mut uses: BTreeMap<ServerId, u32> = ready.iter().map(|s| (s.clone(), 0)).collect();
        for me in 0..gateways {
            let some = of(me, gateways, least, ready).expect("a subset");
            assert!(some.len() >= least && some.len() < 2 * least, "{}", some.len());
            some.into_iter().for_each(|s| *uses.get_mut(&s).expect("a ready one") += 1);
        }
        uses
    }

    proptest! {
        /// However many there are, no server is used by more than one gateway more than another.
        #[test]
        fn every_server_is_in_as_many_subsets_as_any_other(gateways in 100u32..400, n in 50usize..500, least in 8usize..25) {
            let uses = uses(gateways, least, &servers(n));
            let (fewest, most) = (uses.values().min(), uses.values().max());
            prop_assert!(most.zip(fewest).is_some_and(|(m, f)| m - f <= 1), "{:?} to {:?}", fewest, most);
        }

        /// One that comes or goes changes one other server of a gateway at the most.
        #[test]
        fn a_server_that_goes_moves_little(me in 0u32..300, gone in 0usize..200) {
            let all = servers(200);
            let less: Vec<ServerId> = all.iter().enumerate().filter(|(n, _)| *n != gone).map(|(_, s)| s.clone()).collect();
            let before: BTreeSet<ServerId> = of(me, 300, 20, &all).expect("a subset").into_iter().collect();
            // As many gateways a round as before, or all is dealt out anew.
            let after: BTreeSet<ServerId> = of(me, 300, 19, &less).expect("a subset").into_iter().collect();
            prop_assert!(before.difference(&after).count() <= 2, "{:?}", before.difference(&after).collect::<Vec<_>>());
        }
    }

    #[test]
    fn gateways_next_to_each_other_share_few_servers() {
        let all = servers(200);
        let of = |me| of(me, 300, 20, &all).expect("a subset").into_iter().collect::<BTreeSet<_>>();
        let most = (0..299).map(|me| of(me).intersection(&of(me + 1)).count()).max();
        assert!(most <= Some(8), "{most:?} of 20 in common");
    }

    /// Neighbours by name are no neighbours in a subset: it has servers of both halves, as of two zones.
    #[test]
    fn a_subset_is_drawn_from_all_of_the_names() {
        let all = servers(60);
        let first_half = |me| {
            let some = of(me, 300, 10, &all).expect("a subset");
            some.iter().filter(|s| all[..30].contains(s)).count()
        };
        let lopsided = (0..300).filter(|me| !(2..=8).contains(&first_half(*me))).count();
        // By chance 2% have fewer than two of either half.
        assert!(lopsided <= 15, "{lopsided} of 300");
    }

    #[test]
    fn of_few_servers_or_by_few_gateways_all_are_used() {
        assert!(of(0, 300, 20, &servers(39)).is_none());
        assert!(of(0, 3, 20, &servers(200)).is_none());
        assert!(of(0, 300, 20, &[]).is_none());
    }
}
