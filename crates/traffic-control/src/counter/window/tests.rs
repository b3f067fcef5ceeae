use super::{CounterClock, CounterWindow};
use crate::interface::Micros;

const SECOND: Micros = 1_000_000;
const START: Micros = 600 * SECOND;

#[test]
fn without_a_step_a_window_is_a_minute_of_the_clock() {
    let mut clock = CounterClock::default();
    assert_eq!(
        clock.window_at(START + 7 * SECOND),
        CounterWindow {
            number: 10,
            elapsed_us: 7 * SECOND
        }
    );
    assert_eq!(
        clock.window_at(START + 67 * SECOND),
        CounterWindow {
            number: 11,
            elapsed_us: 7 * SECOND
        }
    );
}

#[test]
fn a_step_within_a_window_does_not_change_its_elapsed_time() {
    for ahead_s in [3, -3] {
        let mut clock = CounterClock::default();
        clock.window_at(START + 10 * SECOND);
        clock.set_wall_offset(START + 10 * SECOND, ahead_s * SECOND as i64);
        assert_eq!(
            clock.window_at(START + 12 * SECOND),
            CounterWindow {
                number: 10,
                elapsed_us: 12 * SECOND
            },
            "wall clock stepped by {ahead_s} s"
        );
    }
}

#[test]
fn after_a_step_windows_equal_those_of_a_process_started_on_the_new_clock() {
    let ahead = -3_600 * SECOND as i64;
    let mut running = CounterClock::default();
    let mut started = CounterClock::default();
    let now = 10_000 * SECOND;
    running.set_wall_offset(now, ahead);
    let by_new_clock = now.saturating_add_signed(ahead);
    assert_eq!(
        running.window_at(now).number,
        started.window_at(by_new_clock).number
    );
}
