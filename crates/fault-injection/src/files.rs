//! Files: writes that find no space or a bad disk, also half-way, and syncs that fail.

use crate::control::{one_of, strikes};
use crate::descriptors::{self, Kind};
use crate::fail;
use crate::next::call_next;
use frosthatch_fault_controls::Fault;
use libc::{c_char, c_int, c_void, mode_t, size_t, ssize_t, EIO, ENOSPC};

/// Notes a file that was opened for writing.
fn opened(fd: c_int, flags: c_int) -> c_int {
    let writes = flags & libc::O_ACCMODE != libc::O_RDONLY;
    descriptors::set(fd, if writes { Kind::File } else { Kind::Unknown });
    fd
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let fd = call_next!(
        c"open64",
        fn(*const c_char, c_int, mode_t) -> c_int,
        path,
        flags,
        mode
    );
    opened(fd, flags)
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let fd = call_next!(
        c"open",
        fn(*const c_char, c_int, mode_t) -> c_int,
        path,
        flags,
        mode
    );
    opened(fd, flags)
}

/// What a write to a file does: fails, or writes a part of what it should.
pub fn write_file(fd: c_int, bytes: *const c_void, length: size_t) -> Result<size_t, ssize_t> {
    if !strikes(Fault::FileWrite) {
        return Ok(length);
    }
    if length > 1 && crate::control::random().is_multiple_of(2) {
        // Half of it arrives, as where the disk fills up on the way.
        let _ = call_next!(
            c"write",
            fn(c_int, *const c_void, size_t) -> ssize_t,
            fd,
            bytes,
            length / 2
        );
    }
    Err(fail(one_of(&[ENOSPC, EIO])))
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if strikes(Fault::FileSync) {
        return fail(one_of(&[EIO, ENOSPC])) as c_int;
    }
    call_next!(c"fsync", fn(c_int) -> c_int, fd)
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if strikes(Fault::FileSync) {
        return fail(one_of(&[EIO, ENOSPC])) as c_int;
    }
    call_next!(c"fdatasync", fn(c_int) -> c_int, fd)
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn close(fd: c_int) -> c_int {
    descriptors::set(fd, Kind::Unknown);
    call_next!(c"close", fn(c_int) -> c_int, fd)
}
