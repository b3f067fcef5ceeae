//! Faults of files: writes that fail, some of them after half of the bytes, and syncs that fail.

use crate::control::{pick_random, should_inject};
use crate::descriptors::{self, DescriptorKind};
use crate::fail;
use crate::next::call_next;
use frosthatch_fault_controls::Fault;
use libc::{c_char, c_int, c_void, mode_t, size_t, ssize_t, EIO, ENOSPC};

/// Records the kind of a descriptor that `open` returned, and returns the descriptor.
fn record_opened(fd: c_int, flags: c_int) -> c_int {
    let is_writable = flags & libc::O_ACCMODE != libc::O_RDONLY;
    descriptors::set_kind(
        fd,
        if is_writable {
            DescriptorKind::File
        } else {
            DescriptorKind::Unknown
        },
    );
    fd
}

/// # Safety
/// The arguments must meet the requirements of the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let fd = call_next!(
        c"open64",
        fn(*const c_char, c_int, mode_t) -> c_int,
        path,
        flags,
        mode
    );
    record_opened(fd, flags)
}

/// # Safety
/// The arguments must meet the requirements of the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let fd = call_next!(
        c"open",
        fn(*const c_char, c_int, mode_t) -> c_int,
        path,
        flags,
        mode
    );
    record_opened(fd, flags)
}

/// Injects a fault into a write of `length` bytes to a file. Without a fault, returns the number of bytes to write.
/// Otherwise returns, with `errno` set, the return value of the failed call, in about half of the cases after writing the
/// first half of the bytes.
pub fn inject_write_fault(
    fd: c_int,
    bytes: *const c_void,
    length: size_t,
) -> Result<size_t, ssize_t> {
    if !should_inject(Fault::FileWrite) {
        return Ok(length);
    }
    if length > 1 && crate::control::random().is_multiple_of(2) {
        // Half of the bytes are written, as when the disk fills up during the write.
        let _ = call_next!(
            c"write",
            fn(c_int, *const c_void, size_t) -> ssize_t,
            fd,
            bytes,
            length / 2
        );
    }
    Err(fail(pick_random(&[ENOSPC, EIO])))
}

/// # Safety
/// The arguments must meet the requirements of the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if should_inject(Fault::FileSync) {
        return fail(pick_random(&[EIO, ENOSPC])) as c_int;
    }
    call_next!(c"fsync", fn(c_int) -> c_int, fd)
}

/// # Safety
/// The arguments must meet the requirements of the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if should_inject(Fault::FileSync) {
        return fail(pick_random(&[EIO, ENOSPC])) as c_int;
    }
    call_next!(c"fdatasync", fn(c_int) -> c_int, fd)
}

/// # Safety
/// The arguments must meet the requirements of the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn close(fd: c_int) -> c_int {
    descriptors::set_kind(fd, DescriptorKind::Unknown);
    call_next!(c"close", fn(c_int) -> c_int, fd)
}
