//! The rules on attempts and responses that are checked at run time, and the counts of their violations.

use frosthatch_log::log_line;
use frosthatch_traffic_control::RequestId;
use std::cell::Cell;

/// A rule that is checked when an attempt is written or when the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The last byte of an attempt is written by the latest start that traffic control set: within the window in which
    /// the request may be repeated, and while the response is of use.
    LatestStart,
    /// No attempt begins for a client that has received its response or has gone, apart from a short tolerance.
    ClientWaiting,
    /// The deadline forwarded to a server is no later than the client's own, apart from a short tolerance.
    ForwardedDeadline,
    /// A request that was read completely receives a response, unless its client has gone.
    Answered,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 4] = [
        Rule::LatestStart,
        Rule::ClientWaiting,
        Rule::ForwardedDeadline,
        Rule::Answered,
    ];

    /// Returns the name of the rule in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Rule::LatestStart => "latest_start",
            Rule::ClientWaiting => "nobody_waits",
            Rule::ForwardedDeadline => "told_time",
            Rule::Answered => "answered",
        }
    }
}

/// The number of violations of each rule in this process.
#[derive(Debug, Default)]
pub struct Violations([Cell<u64>; Rule::ALL.len()]);

impl Violations {
    /// Counts and logs a violation of `rule`; `request` is the request that it concerns, if there is one.
    pub fn record(&self, rule: Rule, request: Option<RequestId>) {
        let count = &self.0[rule as usize];
        count.set(count.get() + 1);
        match request {
            Some(RequestId(id)) => log_line!("rule broken: {} request={id:016x}", rule.name()),
            None => log_line!("rule broken: {}", rule.name()),
        }
    }

    /// Returns the number of violations of `rule` so far.
    pub fn count(&self, rule: Rule) -> u64 {
        self.0[rule as usize].get()
    }
}
