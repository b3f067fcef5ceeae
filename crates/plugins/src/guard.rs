//! Limits on the calls of one plug-in: calls in flight, fuel per second, and a circuit breaker for consecutive faults. No
//! I/O and no clock; times are monotonic microseconds.

/// Limits on the calls of one plug-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Calls in flight, queued or running, at most.
    pub waiting: usize,
    /// Fuel that one call may use.
    pub fuel_per_call: u64,
    /// Fuel that all calls may use in a second.
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

/// Consecutive faults that open the circuit.
const MAX_CONSECUTIVE_FAULTS: u32 = 3;
/// Time that the circuit stays open at first; doubled at each failed trial.
const MIN_BACKOFF_US: u64 = 1_000_000;
const MAX_BACKOFF_US: u64 = 60_000_000;

/// Why a plug-in may not be called now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRejection {
    /// Too many calls are in flight.
    QueueFull,
    /// The fuel of this second is used up.
    FuelExhausted,
    /// Too many consecutive calls failed.
    CircuitOpen,
}

/// The state of one plug-in's limits.
#[derive(Debug)]
pub struct CallGuard {
    limits: Limits,
    calls_in_flight: usize,
    consecutive_faults: u32,
    backoff_us: u64,
    /// Set while the circuit is open: the time of the next trial.
    open_until_us: Option<u64>,
    /// Whether the one call that may close the circuit is in flight.
    is_trial_in_flight: bool,
    available_fuel: f64,
    refilled_at_us: u64,
}

impl CallGuard {
    /// A guard with a full second's fuel and a closed circuit.
    pub fn new(limits: Limits) -> CallGuard {
        CallGuard {
            limits,
            calls_in_flight: 0,
            consecutive_faults: 0,
            backoff_us: MIN_BACKOFF_US,
            open_until_us: None,
            is_trial_in_flight: false,
            available_fuel: limits.fuel_per_s as f64,
            refilled_at_us: 0,
        }
    }

    /// Whether the circuit is open, so that only a trial call is made now and then.
    pub fn is_circuit_open(&self) -> bool {
        self.open_until_us.is_some()
    }

    /// Admits a call and reserves its fuel. Each admitted call has to end with [`CallGuard::end_call`].
    ///
    /// # Errors
    /// The limit that forbids the call; the plug-in's failure policy applies.
    pub fn begin_call(&mut self, now_us: u64) -> Result<(), CallRejection> {
        self.refill(now_us);
        let fuel_per_call = self.limits.fuel_per_call as f64;
        match self.open_until_us {
            Some(until_us) if now_us < until_us || self.is_trial_in_flight => {
                return Err(CallRejection::CircuitOpen);
            }
            Some(_) => self.is_trial_in_flight = true,
            None if self.calls_in_flight >= self.limits.waiting => {
                return Err(CallRejection::QueueFull);
            }
            // The most that a call can use has to be available, so the budget is never overdrawn.
            None if self.available_fuel < fuel_per_call => {
                return Err(CallRejection::FuelExhausted);
            }
            None => {}
        }
        self.calls_in_flight += 1;
        self.available_fuel -= fuel_per_call;
        Ok(())
    }

    fn refill(&mut self, now_us: u64) {
        let fuel_per_s = self.limits.fuel_per_s as f64;
        let elapsed_us = now_us.saturating_sub(self.refilled_at_us) as f64;
        self.available_fuel = (self.available_fuel + elapsed_us / 1e6 * fuel_per_s).min(fuel_per_s);
        self.refilled_at_us = self.refilled_at_us.max(now_us);
    }

    /// Ends a call and returns the fuel that it did not use. When this opens or closes the circuit, the result is the text
    /// for the log.
    pub fn end_call(&mut self, now_us: u64, used_fuel: u64, fault: Option<&str>) -> Option<String> {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        self.available_fuel += self.limits.fuel_per_call.saturating_sub(used_fuel) as f64;
        let was_trial = std::mem::take(&mut self.is_trial_in_flight);
        match fault {
            Some(fault) => self.record_fault(now_us, was_trial, fault),
            None => self.record_success(was_trial),
        }
    }

    fn record_success(&mut self, was_trial: bool) -> Option<String> {
        self.consecutive_faults = 0;
        self.open_until_us.take_if(|_| was_trial)?;
        self.backoff_us = MIN_BACKOFF_US;
        Some("is asked again".into())
    }

    fn record_fault(&mut self, now_us: u64, was_trial: bool, fault: &str) -> Option<String> {
        self.consecutive_faults += 1;
        let was_open = self.is_circuit_open();
        let has_too_many_faults = self.consecutive_faults >= MAX_CONSECUTIVE_FAULTS;
        if !was_trial && (!has_too_many_faults || was_open) {
            return None;
        }
        self.open_until_us = Some(now_us + self.backoff_us);
        self.backoff_us = (self.backoff_us * 2).min(MAX_BACKOFF_US);
        (!was_open).then(|| format!("is set aside: {fault}"))
    }
}
