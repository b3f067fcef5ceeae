//! The rules on attempts, in one place: whether one may be written now, and a count of what broke a rule all the same.
//!
//! The decisions say until when an attempt may begin. A server begins a request when its last byte has come, and that may
//! be much later than the first: so each backend asks the attempt's [`AttemptPermit`] before each write, not only before
//! the first, and tells it when the last byte has left. What is then found to have come too late is a violation: it is
//! counted by [`Rule`], shown to operators and logged with the request.

use frosthatch_log::log_line;
use frosthatch_traffic_control::{RequestId, GONE_SLACK_US, HELD_UP_US};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// As the latest start allows for.
const HELD_UP: Duration = Duration::from_micros(HELD_UP_US);
/// What the protocol allows beyond each limit on time.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(50);
/// As the decisions allow for.
const CLIENT_GONE_SLACK: Duration = Duration::from_micros(GONE_SLACK_US);
/// The time that a server is told may be so much more than its client has left, at most.
const TOLD_TIME_SLACK: Duration = Duration::from_millis(150);
/// A write that takes longer than was allowed for makes the told time wrong by so much at most; the rest of the slack is
/// for a process that is held up.
const TOLD_TIME_STALE: Duration = Duration::from_millis(50);

/// A rule that can be checked where an attempt is written or an answer given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An attempt begins within the window of the keyed one before it, and while its answer is of use.
    LatestStart,
    /// Nothing begins for a client that has its answer or has gone.
    NobodyWaits,
    /// The time that a server is told is no more than the client has.
    ToldTime,
    /// A request that was read whole gets an answer, unless its client has gone.
    Answered,
}

impl Rule {
    pub const ALL: [Rule; 4] = [
        Rule::LatestStart,
        Rule::NobodyWaits,
        Rule::ToldTime,
        Rule::Answered,
    ];

    /// As figures and logs name it.
    pub fn name(self) -> &'static str {
        match self {
            Rule::LatestStart => "latest_start",
            Rule::NobodyWaits => "nobody_waits",
            Rule::ToldTime => "told_time",
            Rule::Answered => "answered",
        }
    }
}

/// How often each rule was broken by this process.
#[derive(Debug, Default)]
pub struct Violations([Cell<u64>; Rule::ALL.len()]);

impl Violations {
    /// Counts one, and logs it.
    pub fn note(&self, rule: Rule, request: Option<RequestId>) {
        let count = &self.0[rule as usize];
        count.set(count.get() + 1);
        match request {
            Some(RequestId(id)) => log_line!("rule broken: {} request={id:016x}", rule.name()),
            None => log_line!("rule broken: {}", rule.name()),
        }
    }

    pub fn count(&self, rule: Rule) -> u64 {
        self.0[rule as usize].get()
    }
}

/// Why an attempt is not written, or not written to its end. It never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDenied {
    /// Its request has had its answer, or its client has gone.
    NobodyWaits,
    /// Its window or its use is over.
    TooLate,
    /// Its server takes nothing new, is gone, or has moved.
    ServerNotReady,
    /// Its server reads so slowly that the time it was told is no longer true.
    ToldTimeStale,
}

impl fmt::Display for WriteDenied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WriteDenied::NobodyWaits => "nobody waits for it",
            WriteDenied::TooLate => "too late",
            WriteDenied::ServerNotReady => "its server takes nothing new",
            WriteDenied::ToldTimeStale => "its server reads too slowly",
        })
    }
}

impl std::error::Error for WriteDenied {}

/// When a request's answer was given or its client left; none while somebody waits.
#[derive(Clone, Debug, Default)]
pub struct ClientPresence(Rc<Cell<Option<Instant>>>);

impl ClientPresence {
    /// Nobody waits any more.
    pub fn end(&self) {
        if self.0.get().is_none() {
            self.0.set(Some(Instant::now()));
        }
    }

    pub fn ended_at(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// Leave to write one attempt.
#[derive(Clone)]
pub struct AttemptPermit {
    request: RequestId,
    /// Its last byte leaves before this.
    latest_start: Instant,
    /// When its client leaves.
    gone_at: Instant,
    waiting: ClientPresence,
    violations: Rc<Violations>,
}

impl AttemptPermit {
    pub fn new(
        request: RequestId,
        latest_start: Instant,
        gone_at: Instant,
        waiting: ClientPresence,
        violations: Rc<Violations>,
    ) -> Self {
        AttemptPermit {
            request,
            latest_start,
            gone_at,
            waiting,
            violations,
        }
    }

    /// Whether it may be written now, as far as its request goes.
    ///
    /// # Errors
    /// Why not.
    pub fn check(&self) -> Result<(), WriteDenied> {
        if self.waiting.ended_at().is_some() {
            return Err(WriteDenied::NobodyWaits);
        }
        if Instant::now() >= self.latest_start {
            return Err(WriteDenied::TooLate);
        }
        Ok(())
    }

    /// Its last byte has left: checks that this was in time, and counts what was not. `told`: until when the server was
    /// told that it is waited for.
    pub fn written(&self, told: Option<Instant>) {
        let now = Instant::now();
        let broken = |rule| self.violations.note(rule, Some(self.request));
        if now > self.latest_start + HELD_UP + TIME_LIMIT_SLACK {
            broken(Rule::LatestStart);
        }
        let gone_at = self
            .waiting
            .ended_at()
            .map_or(self.gone_at, |ended| ended.min(self.gone_at));
        if now > gone_at + CLIENT_GONE_SLACK {
            broken(Rule::NobodyWaits);
        }
        if told.is_some_and(|told| told > self.gone_at + TOLD_TIME_SLACK) {
            broken(Rule::ToldTime);
        }
    }
}

/// The time that a server is told: the head of a request says how long the gateway will wait, and is written before the
/// body. What a long body takes on its way is taken off beforehand.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedDeadline {
    told_at: Instant,
    left: Duration,
    allowance: Duration,
}

impl ForwardedDeadline {
    /// For an attempt that is waited for until `deadline`. `long`: its body may take a while to be written.
    pub fn new(deadline: Instant, long: bool) -> Self {
        let told_at = Instant::now();
        let left = deadline.saturating_duration_since(told_at);
        ForwardedDeadline {
            told_at,
            left,
            allowance: if long { left / 4 } else { Duration::ZERO },
        }
    }

    /// What the server is told.
    pub fn span(&self) -> Duration {
        self.left - self.allowance
    }

    /// Until when the server works, if its request is whole now.
    pub fn until(&self) -> Instant {
        Instant::now() + self.span()
    }

    /// Whether it still holds for a request whose last byte leaves now.
    ///
    /// # Errors
    /// The writing has taken too long.
    pub fn check(&self) -> Result<(), WriteDenied> {
        match self.told_at.elapsed() > self.allowance + TOLD_TIME_STALE {
            true => Err(WriteDenied::ToldTimeStale),
            false => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn permit(
        latest_start: Duration,
        gone_at: Duration,
    ) -> (AttemptPermit, ClientPresence, Rc<Violations>) {
        let (now, waiting, violations) = (
            Instant::now(),
            ClientPresence::default(),
            Rc::<Violations>::default(),
        );
        let (latest, gone) = (now + latest_start, now + gone_at);
        let permit = AttemptPermit::new(
            RequestId(7),
            latest,
            gone,
            waiting.clone(),
            violations.clone(),
        );
        (permit, waiting, violations)
    }

    #[tokio::test(start_paused = true)]
    async fn an_attempt_is_withheld_once_nobody_waits_or_it_is_too_late() {
        let (permit, waiting, _) = permit(Duration::from_secs(1), Duration::from_secs(2));
        assert_eq!(permit.check(), Ok(()));
        tokio::time::advance(Duration::from_secs(1)).await;
        assert_eq!(permit.check(), Err(WriteDenied::TooLate));
        waiting.end();
        assert_eq!(permit.check(), Err(WriteDenied::NobodyWaits));
    }

    #[tokio::test(start_paused = true)]
    async fn what_was_written_too_late_is_counted_by_rule() {
        let (permit, waiting, violations) = permit(Duration::from_secs(1), Duration::from_secs(2));
        let told = ForwardedDeadline::new(Instant::now() + Duration::from_secs(2), false);
        permit.written(Some(told.until()));
        assert!(Rule::ALL.iter().all(|rule| violations.count(*rule) == 0));
        waiting.end();
        tokio::time::advance(Duration::from_millis(1_210)).await;
        permit.written(Some(told.until()));
        for rule in [Rule::LatestStart, Rule::NobodyWaits, Rule::ToldTime] {
            assert_eq!(violations.count(rule), 1, "{rule:?}");
        }
    }

    #[tokio::test(start_paused = true)]
    async fn the_told_time_allows_for_a_long_body_and_no_more() {
        let deadline = Instant::now() + Duration::from_secs(4);
        let (short, long) = (
            ForwardedDeadline::new(deadline, false),
            ForwardedDeadline::new(deadline, true),
        );
        assert_eq!((short.span().as_secs(), long.span().as_secs()), (4, 3));
        tokio::time::advance(Duration::from_millis(500)).await;
        assert_eq!(short.check(), Err(WriteDenied::ToldTimeStale));
        assert_eq!(long.check(), Ok(()));
        tokio::time::advance(Duration::from_secs(1)).await;
        assert_eq!(long.check(), Err(WriteDenied::ToldTimeStale));
    }
}
