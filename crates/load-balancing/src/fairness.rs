//! Measures of how evenly a resource was shared among recipients with equal demand.

/// Returns Jain's fairness index of `shares`: 1 if all are equal, one divided by their number if one recipient has
/// everything. No shares, or shares that are all zero, count as equal.
pub fn jain_index(shares: &[f64]) -> f64 {
    let (sum, sum_of_squares) = shares.iter().fold((0.0, 0.0), |(sum, squares), share| {
        (sum + share, squares + share * share)
    });
    if sum_of_squares > 0.0 {
        sum * sum / (shares.len() as f64 * sum_of_squares)
    } else {
        1.0
    }
}

/// Returns the smallest share as a fraction of the mean share; 1 if nothing was shared.
pub fn min_to_mean_ratio(shares: &[f64]) -> f64 {
    let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
    let smallest = shares.iter().copied().fold(f64::INFINITY, f64::min);
    if mean > 0.0 {
        smallest / mean
    } else {
        1.0
    }
}

#[cfg(test)]
mod tests;
