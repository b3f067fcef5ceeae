//! Limits the calls of one plug-in: calls in flight, fuel per second, and a circuit breaker for consecutive faults.
//! Has no I/O and no clock; times are monotonic, in microseconds.

/// Limits on the calls of one plug-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of calls in flight, queued or running; trial calls are exempt.
    pub max_calls_in_flight: usize,
    /// Maximum fuel of one call.
    pub fuel_per_call: u64,
    /// Maximum fuel of all calls per second; trial calls are exempt.
    pub fuel_per_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_calls_in_flight: 64,
            fuel_per_call: 1_000_000,
            fuel_per_s: 100_000_000,
        }
    }
}

/// Number of consecutive faults at which the circuit opens.
const FAULTS_TO_OPEN_CIRCUIT: u32 = 3;
/// Delay between the opening of the circuit and its first trial call; doubled after each failed trial call.
const MIN_BACKOFF_US: u64 = 1_000_000;
/// Maximum delay until the next trial call.
const MAX_BACKOFF_US: u64 = 60_000_000;

/// Why a call is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRejection {
    /// The maximum number of calls is in flight.
    QueueFull,
    /// The available fuel is less than the maximum fuel of one call.
    FuelExhausted,
    /// The circuit is open after consecutive faults, and no trial call is due.
    CircuitOpen,
}

/// Tracks the calls of one plug-in and enforces their limits.
#[derive(Debug)]
pub struct CallGuard {
    limits: Limits,
    calls_in_flight: usize,
    consecutive_faults: u32,
    backoff_us: u64,
    /// The time of the next trial call; `None` while the circuit is closed.
    next_trial_us: Option<u64>,
    /// Whether a trial call, whose success closes the circuit, is in flight.
    is_trial_in_flight: bool,
    available_fuel: f64,
    refilled_at_us: u64,
}

impl CallGuard {
    /// Creates a guard with the fuel of one second and a closed circuit.
    pub fn new(limits: Limits) -> CallGuard {
        CallGuard {
            limits,
            calls_in_flight: 0,
            consecutive_faults: 0,
            backoff_us: MIN_BACKOFF_US,
            next_trial_us: None,
            is_trial_in_flight: false,
            available_fuel: limits.fuel_per_s as f64,
            refilled_at_us: 0,
        }
    }

    /// Returns whether the circuit is open, in which case only trial calls are admitted.
    pub fn is_circuit_open(&self) -> bool {
        self.next_trial_us.is_some()
    }

    /// Admits a call and reserves its fuel; while the circuit is open, admits only a trial call that is due,
    /// regardless of the limits. Each admitted call has to end with [`CallGuard::end_call`].
    ///
    /// # Errors
    /// Returns why the call is not admitted; the failure policy of the plug-in then applies.
    pub fn begin_call(&mut self, now_us: u64) -> Result<(), CallRejection> {
        self.refill(now_us);
        let fuel_per_call = self.limits.fuel_per_call as f64;
        match self.next_trial_us {
            Some(trial_us) if now_us < trial_us || self.is_trial_in_flight => {
                return Err(CallRejection::CircuitOpen);
            }
            Some(_) => self.is_trial_in_flight = true,
            None if self.calls_in_flight >= self.limits.max_calls_in_flight => {
                return Err(CallRejection::QueueFull);
            }
            // The maximum fuel of a call has to be available, so that calls never use more fuel than the budget.
            // Trial calls are exempt from this and from the limit on calls in flight.
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

    /// Records the end of a call and releases its unused fuel. Returns a log text if this opens or closes the
    /// circuit; `None` otherwise.
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
        self.next_trial_us.take_if(|_| was_trial)?;
        self.backoff_us = MIN_BACKOFF_US;
        Some("circuit breaker closed".into())
    }

    fn record_fault(&mut self, now_us: u64, was_trial: bool, fault: &str) -> Option<String> {
        self.consecutive_faults += 1;
        let was_open = self.is_circuit_open();
        let has_too_many_faults = self.consecutive_faults >= FAULTS_TO_OPEN_CIRCUIT;
        if !was_trial && (!has_too_many_faults || was_open) {
            return None;
        }
        self.next_trial_us = Some(now_us + self.backoff_us);
        self.backoff_us = (self.backoff_us * 2).min(MAX_BACKOFF_US);
        (!was_open).then(|| format!("circuit breaker opened: {fault}"))
    }
}
