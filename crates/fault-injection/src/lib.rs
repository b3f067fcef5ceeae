//! A preload library (`LD_PRELOAD`) that makes system calls of one process fail in the ways that Linux documents.
//!
//! What fails, and how often, stands in a control file that the process maps and a test writes at any time; the
//! layout is described in [`control`]. Only sockets and files that the process opened itself are touched; the
//! library needs no privileges and reaches no other process.

mod control;
mod descriptors;
mod files;
mod next;
mod sockets;
mod wall_clock;

/// Sets `errno` and returns the value by which a system call reports an error.
fn fail(errno: i32) -> isize {
    // SAFETY: the location is the calling thread's own.
    unsafe { *libc::__errno_location() = errno };
    -1
}
