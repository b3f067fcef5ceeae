//! Tests of the measures of fairness.

use super::{jain, worst};

#[test]
fn even_shares_measure_one_and_uneven_shares_less() {
    assert_eq!((jain(&[2.0; 5]), worst(&[2.0; 5])), (1.0, 1.0));
    assert_eq!(
        (jain(&[0.0, 0.0, 0.0, 8.0]), worst(&[0.0, 8.0])),
        (0.25, 0.0)
    );
    assert_eq!((jain(&[]), worst(&[]), jain(&[0.0; 3])), (1.0, 1.0, 1.0));
    assert!((jain(&[1.0, 2.0, 3.0]) - 36.0 / 42.0).abs() < 1e-12);
    assert_eq!(worst(&[1.0, 2.0, 3.0]), 0.5);
}
