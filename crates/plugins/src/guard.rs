//! Whether a plug-in is asked now: calls that wait, fuel a second, faults. No I/O and no clock.

/// What one plug-in may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Calls that wait or run.
    pub waiting: usize,
    /// Of one call, and in a second.
    pub fuel_per_call: u64,
    pub fuel_per_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            waiting: 64,
            fuel_per_call: 1_000_000,
            fuel_per_s: 100_000_000,
        }
    }
}

/// Faults in a row before it is set aside.
const FAULTS: u32 = 3;
/// Pauses while it is, doubled each time.
const PAUSE_LEAST_US: u64 = 1_000_000;
const PAUSE_MOST_US: u64 = 60_000_000;

/// Why it is not asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Not {
    Full,
    Spent,
    SetAside,
}

#[derive(Debug)]
pub struct Guard {
    limits: Limits,
    waiting: usize,
    faults: u32,
    pause: u64,
    aside_until: Option<u64>,
    /// One call is out to see whether it is well again.
    trial: bool,
    fuel: f64,
    at: u64,
}

impl Guard {
    pub fn new(limits: Limits) -> Guard {
        let fuel = limits.fuel_per_s as f64;
        Guard {
            limits,
            waiting: 0,
            faults: 0,
            pause: PAUSE_LEAST_US,
            aside_until: None,
            trial: false,
            fuel,
            at: 0,
        }
    }

    pub fn set_aside(&self) -> bool {
        self.aside_until.is_some()
    }

    /// A call is to be made. Each that may be ends with `ended`.
    ///
    /// # Errors
    /// Why it is not made; its policy applies.
    pub fn begin(&mut self, now: u64) -> Result<(), Not> {
        let most = self.limits.fuel_per_s as f64;
        self.fuel = (self.fuel + now.saturating_sub(self.at) as f64 / 1e6 * most).min(most);
        self.at = self.at.max(now);
        match self.aside_until {
            Some(until) if now < until || self.trial => return Err(Not::SetAside),
            Some(_) => self.trial = true,
            None if self.waiting >= self.limits.waiting => return Err(Not::Full),
            // What a call can take at most must be there: the budget is never overdrawn.
            None if self.fuel < self.limits.fuel_per_call as f64 => return Err(Not::Spent),
            None => {}
        }
        self.waiting += 1;
        self.fuel -= self.limits.fuel_per_call as f64;
        Ok(())
    }

    /// A call is over: fuel that it did not take comes back. A line for the log where it is set aside or back again.
    pub fn ended(&mut self, now: u64, fuel: u64, fault: Option<&str>) -> Option<String> {
        self.waiting = self.waiting.saturating_sub(1);
        self.fuel += self.limits.fuel_per_call.saturating_sub(fuel) as f64;
        let trial = std::mem::take(&mut self.trial);
        let Some(fault) = fault else {
            self.faults = 0;
            let back = self.aside_until.take_if(|_| trial);
            if back.is_some() {
                self.pause = PAUSE_LEAST_US;
            }
            return back.map(|_| "is asked again".into());
        };
        self.faults += 1;
        let aside = trial || self.faults >= FAULTS && self.aside_until.is_none();
        if !aside {
            return None;
        }
        let told = self.aside_until.is_none();
        self.aside_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(PAUSE_MOST_US);
        told.then(|| format!("is set aside: {fault}"))
    }
}
