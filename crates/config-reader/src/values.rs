//! Conversion of TOML numbers.

use toml::de::DeValue;

/// Converts an integer, written in any base that TOML allows, to `i64`. Returns `None` for any other type, or if the value
/// does not fit in `i64`.
pub fn parse_integer(value: &DeValue) -> Option<i64> {
    let digits = value.as_integer()?;
    i64::from_str_radix(digits.as_str(), digits.radix()).ok()
}

/// Converts a float or an integer to `f64`; the digits of an integer are read as decimal, whatever its base. Returns `None`
/// for any other type, or if the digits cannot be parsed.
pub fn parse_number(value: &DeValue) -> Option<f64> {
    match value {
        DeValue::Float(number) => number.as_str().parse().ok(),
        DeValue::Integer(number) => number.as_str().parse().ok(),
        _ => None,
    }
}
