//! The one way in which random numbers are drawn.

use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// A number from 0 to 1.
pub(crate) fn random_unit(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}
