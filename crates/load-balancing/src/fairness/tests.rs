//! Tests of the fairness measures.

use super::{jain_index, min_to_mean_ratio};

#[test]
fn equal_shares_measure_one_and_unequal_shares_less() {
    assert_eq!(
        (jain_index(&[2.0; 5]), min_to_mean_ratio(&[2.0; 5])),
        (1.0, 1.0)
    );
    assert_eq!(
        (
            jain_index(&[0.0, 0.0, 0.0, 8.0]),
            min_to_mean_ratio(&[0.0, 8.0])
        ),
        (0.25, 0.0)
    );
    assert_eq!(
        (
            jain_index(&[]),
            min_to_mean_ratio(&[]),
            jain_index(&[0.0; 3])
        ),
        (1.0, 1.0, 1.0)
    );
    assert!((jain_index(&[1.0, 2.0, 3.0]) - 36.0 / 42.0).abs() < 1e-12);
    assert_eq!(min_to_mean_ratio(&[1.0, 2.0, 3.0]), 0.5);
}
