//! Shifts the wall clock by the offset in the control file. Monotonic clocks are not affected.

use crate::control::control_word;
use crate::next::call_next;
use frosthatch_fault_controls::Fault;
use libc::{c_int, clockid_t, timespec};

const MS_PER_S: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;
const NS_PER_S: i64 = 1_000_000_000;

/// # Safety
/// The arguments must meet the requirements of the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let status = call_next!(
        c"clock_gettime",
        fn(clockid_t, *mut timespec) -> c_int,
        clock,
        time
    );
    let offset_ms = control_word(Fault::WallClockOffsetMs);
    let is_wall_clock = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if status == 0 && is_wall_clock && offset_ms != 0 {
        // SAFETY: the pointer is valid, as the C library has just written the time through it.
        let time = unsafe { &mut *time };
        let nanoseconds = time.tv_nsec + offset_ms.rem_euclid(MS_PER_S) * NS_PER_MS;
        time.tv_sec += offset_ms.div_euclid(MS_PER_S) + nanoseconds / NS_PER_S;
        time.tv_nsec = nanoseconds % NS_PER_S;
    }
    status
}
