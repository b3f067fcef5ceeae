//! Random numbers for decisions, drawn in one way so that recorded runs can be replayed.

use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// Returns a uniformly distributed number from 0 to 1, both included.
pub(crate) fn random_unit(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}
