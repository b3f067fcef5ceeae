//! The wall clock, stepped by the control file's offset. Monotonic clocks are left alone.

use crate::control::value;
use crate::next::call_next;
use frosthatch_fault_controls::Fault;
use libc::{c_int, clockid_t, timespec};

const MS_PER_S: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;
const NS_PER_S: i64 = 1_000_000_000;

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let done = call_next!(
        c"clock_gettime",
        fn(clockid_t, *mut timespec) -> c_int,
        clock,
        time
    );
    let offset_ms = value(Fault::WallClockOffsetMs);
    let wall = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if done == 0 && wall && offset_ms != 0 {
        // SAFETY: the C library has just written there.
        let time = unsafe { &mut *time };
        let ns = time.tv_nsec + offset_ms.rem_euclid(MS_PER_S) * NS_PER_MS;
        time.tv_sec += offset_ms.div_euclid(MS_PER_S) + ns / NS_PER_S;
        time.tv_nsec = ns % NS_PER_S;
    }
    done
}
