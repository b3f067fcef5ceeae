//! The rules on attempts and responses that are checked at run time, and a count of their violations.

use frosthatch_log::log_line;
use frosthatch_traffic_control::RequestId;
use std::cell::Cell;

/// A rule that can be checked where an attempt is written or a response given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An attempt begins within the window of the idempotent one before it, and while its response is of use.
    LatestStart,
    /// Nothing begins for a client that has its response or has gone.
    ClientWaiting,
    /// The deadline that is forwarded to a server leaves no more time than the client has.
    ForwardedDeadline,
    /// A request that was read completely gets a response, unless its client has gone.
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

    /// The name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Rule::LatestStart => "latest_start",
            Rule::ClientWaiting => "nobody_waits",
            Rule::ForwardedDeadline => "told_time",
            Rule::Answered => "answered",
        }
    }
}

/// How often each rule was violated by this process.
#[derive(Debug, Default)]
pub struct Violations([Cell<u64>; Rule::ALL.len()]);

impl Violations {
    /// Counts and logs a violation.
    pub fn record(&self, rule: Rule, request: Option<RequestId>) {
        let count = &self.0[rule as usize];
        count.set(count.get() + 1);
        match request {
            Some(RequestId(id)) => log_line!("rule broken: {} request={id:016x}", rule.name()),
            None => log_line!("rule broken: {}", rule.name()),
        }
    }

    /// The number of violations of a rule so far.
    pub fn count(&self, rule: Rule) -> u64 {
        self.0[rule as usize].get()
    }
}
