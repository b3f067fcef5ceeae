//! Parser of the `X-Call-Terms` header: the quota units of a request, and the gateways that its customer uses.

use frosthatch_traffic_control::Settings;
use std::str::FromStr;

/// Parsed `X-Call-Terms` header.
pub(super) struct CallTerms {
    /// Quota units that the request draws.
    pub(super) units: f64,
    /// Number of gateways that the customer uses.
    pub(super) gateway_count: u32,
    /// Index of the first of these gateways.
    pub(super) first_gateway: u32,
}

impl CallTerms {
    /// Parses a value such as `units=2,spread=3,first=1`. Returns `None` unless each term is present once and in range.
    pub(super) fn parse(text: &str, settings: &Settings) -> Option<CallTerms> {
        let terms = CallTerms {
            units: parse_term(text, "units")?,
            gateway_count: parse_term(text, "spread")?,
            first_gateway: parse_term(text, "first")?,
        };
        let is_valid = text.split(',').count() == 3
            && terms.units > 0.0
            && terms.units <= settings.max_units
            && (1..=settings.gateways).contains(&terms.gateway_count)
            && terms.first_gateway < settings.gateways;
        is_valid.then_some(terms)
    }
}

/// Parses the value of the term `name`.
fn parse_term<T: FromStr>(text: &str, name: &str) -> Option<T> {
    let (_, value) = text
        .split(',')
        .filter_map(|term| term.trim().split_once('='))
        .find(|(term_name, _)| *term_name == name)?;
    value.parse().ok()
}
