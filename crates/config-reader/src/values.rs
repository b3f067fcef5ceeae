//! Numbers of a TOML file.

use toml::de::DeValue;

/// A whole number, in any base that TOML has.
pub fn integer(value: &DeValue) -> Option<i64> {
    let digits = value.as_integer()?;
    i64::from_str_radix(digits.as_str(), digits.radix()).ok()
}

/// A number with or without a fraction.
pub fn number_value(value: &DeValue) -> Option<f64> {
    match value {
        DeValue::Float(number) => number.as_str().parse().ok(),
        DeValue::Integer(number) => number.as_str().parse().ok(),
        _ => None,
    }
}
