//! Conversion of TOML numbers.

use toml::de::DeValue;

/// Returns the value as an integer, written in any base that TOML allows; `None` if it is not an integer or does not fit.
pub fn integer(value: &DeValue) -> Option<i64> {
    let digits = value.as_integer()?;
    i64::from_str_radix(digits.as_str(), digits.radix()).ok()
}

/// Returns the value of an integer or a float; `None` for any other type.
pub fn number_value(value: &DeValue) -> Option<f64> {
    match value {
        DeValue::Float(number) => number.as_str().parse().ok(),
        DeValue::Integer(number) => number.as_str().parse().ok(),
        _ => None,
    }
}
