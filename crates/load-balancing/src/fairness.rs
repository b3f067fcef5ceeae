//! How evenly something came to be shared among those with equal demand.

/// Jain's index: 1 if all got the same, one over their number if one got all. Nobody, or nothing at all, is shared evenly.
pub fn jain(got: &[f64]) -> f64 {
    let (sum, squares) = got.iter().fold((0.0, 0.0), |(s, q), g| (s + g, q + g * g));
    if squares > 0.0 {
        sum * sum / (got.len() as f64 * squares)
    } else {
        1.0
    }
}

/// What the one that got least got of the mean.
pub fn worst(got: &[f64]) -> f64 {
    let mean = got.iter().sum::<f64>() / got.len().max(1) as f64;
    let least = got.iter().copied().fold(f64::INFINITY, f64::min);
    if mean > 0.0 {
        least / mean
    } else {
        1.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn even_shares_are_one_and_all_for_one_is_a_part() {
        assert_eq!((jain(&[2.0; 5]), worst(&[2.0; 5])), (1.0, 1.0));
        assert_eq!(
            (jain(&[0.0, 0.0, 0.0, 8.0]), worst(&[0.0, 8.0])),
            (0.25, 0.0)
        );
        assert_eq!((jain(&[]), worst(&[]), jain(&[0.0; 3])), (1.0, 1.0, 1.0));
        assert!((jain(&[1.0, 2.0, 3.0]) - 36.0 / 42.0).abs() < 1e-12);
        assert_eq!(worst(&[1.0, 2.0, 3.0]), 0.5);
    }
}
