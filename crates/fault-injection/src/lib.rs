//! A preload library (`LD_PRELOAD`) that injects faults into the system calls of one process: errors that Linux documents,
//! short transfers, delays and a shifted wall clock.
//!
//! A control file, which the process maps and a test may write at any time, determines the faults and their rates;
//! the module `control` describes it. Faults of reads and writes affect only connections and files that the process opened
//! itself; faults of syncs affect each descriptor, and the offset of the wall clock the whole process. The library needs
//! no privileges and affects no other process.

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
