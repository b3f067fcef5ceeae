//! A preload library (`LD_PRELOAD`) that makes system calls of one process fail in the ways that Linux documents.
//!
//! A control file, which the process maps and a test may write at any time, determines the faults and their rates;
//! [`control`] describes it. Only sockets and files that the process opened itself are affected. The library needs no
//! privileges and affects no other process.

mod control;
mod descriptors;
mod files;
mod next;
mod sockets;
mod wall_clock;

/// Sets `errno` and returns -1, the value by which a system call reports an error.
fn fail(errno: i32) -> isize {
    // SAFETY: the pointer is valid, as it refers to the calling thread's own `errno`.
    unsafe { *libc::__errno_location() = errno };
    -1
}
