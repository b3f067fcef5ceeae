//! Sockets: calls that fail for want of something on this machine, are interrupted, are short, find the connection
//! broken, or hold the thread up.

use crate::control::{one_of, strikes, value};
use crate::descriptors::{self, kind, Kind};
use crate::fail;
use crate::files::write_file;
use crate::next::call_next;
use frosthatch_fault_controls::Fault;
use libc::{c_int, c_void, iovec, size_t, sockaddr, socklen_t, ssize_t};
use libc::{
    EADDRNOTAVAIL, EAGAIN, ECONNABORTED, ECONNRESET, EHOSTUNREACH, EINTR, EMFILE, ENETUNREACH,
    ENFILE,
};
use libc::{ENOBUFS, ENOMEM, EPROTO, ETIMEDOUT};
use std::time::Duration;

fn internet(domain: c_int) -> bool {
    domain == libc::AF_INET || domain == libc::AF_INET6
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if internet(domain) && strikes(Fault::Socket) {
        return fail(one_of(&[ENFILE, EMFILE, ENOBUFS, ENOMEM])) as c_int;
    }
    let fd = call_next!(
        c"socket",
        fn(c_int, c_int, c_int) -> c_int,
        domain,
        kind,
        protocol
    );
    descriptors::set(fd, Kind::Unknown);
    fd
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: an address has its family at its beginning.
    let domain = if address.is_null() {
        0
    } else {
        c_int::from(unsafe { (*address).sa_family })
    };
    if internet(domain) {
        if strikes(Fault::Interrupted) {
            return fail(EINTR) as c_int;
        }
        if strikes(Fault::Connect) {
            return fail(one_of(&[EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN])) as c_int;
        }
        descriptors::set(fd, Kind::Connected);
    }
    call_next!(
        c"connect",
        fn(c_int, *const sockaddr, socklen_t) -> c_int,
        fd,
        address,
        length
    )
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if strikes(Fault::Interrupted) {
        return fail(EINTR) as c_int;
    }
    if strikes(Fault::Accept) {
        return fail(one_of(&[
            ECONNABORTED,
            EMFILE,
            ENFILE,
            ENOBUFS,
            ENOMEM,
            EPROTO,
        ])) as c_int;
    }
    let accepted = call_next!(
        c"accept4",
        fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int,
        fd,
        address,
        length,
        flags
    );
    descriptors::set(accepted, Kind::Accepted);
    accepted
}

/// How many bytes a read or write on a socket may move, or what it returns instead.
fn allowed(fd: c_int, length: size_t) -> Result<size_t, ssize_t> {
    let of = kind(fd);
    if of != Kind::Connected && of != Kind::Accepted {
        return Ok(length);
    }
    if strikes(Fault::Interrupted) {
        return Err(fail(EINTR));
    }
    if of == Kind::Connected && strikes(Fault::Broken) {
        return Err(fail(one_of(&[ETIMEDOUT, EHOSTUNREACH, ECONNRESET])));
    }
    Ok(if strikes(Fault::Short) {
        length.min(1)
    } else {
        length
    })
}

/// Holds the thread up before a write, as where the machine does something else meanwhile.
fn stall(fd: c_int) {
    let socket = matches!(kind(fd), Kind::Connected | Kind::Accepted);
    if socket && strikes(Fault::Stall) {
        std::thread::sleep(Duration::from_millis(value(Fault::StallMs).max(0) as u64));
    }
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(
    fd: c_int,
    bytes: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    match allowed(fd, length) {
        Ok(length) => {
            call_next!(
                c"recv",
                fn(c_int, *mut c_void, size_t, c_int) -> ssize_t,
                fd,
                bytes,
                length,
                flags
            )
        }
        Err(failed) => failed,
    }
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    match allowed(fd, length) {
        Ok(length) => call_next!(
            c"read",
            fn(c_int, *mut c_void, size_t) -> ssize_t,
            fd,
            bytes,
            length
        ),
        Err(failed) => failed,
    }
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    bytes: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    stall(fd);
    match allowed(fd, length) {
        Ok(length) => {
            call_next!(
                c"send",
                fn(c_int, *const c_void, size_t, c_int) -> ssize_t,
                fd,
                bytes,
                length,
                flags
            )
        }
        Err(failed) => failed,
    }
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    let allowed = if kind(fd) == Kind::File {
        write_file(fd, bytes, length)
    } else {
        stall(fd);
        allowed(fd, length)
    };
    match allowed {
        Ok(length) => call_next!(
            c"write",
            fn(c_int, *const c_void, size_t) -> ssize_t,
            fd,
            bytes,
            length
        ),
        Err(failed) => failed,
    }
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    stall(fd);
    match allowed(fd, usize::MAX) {
        // A vectored write has to move something in any case: nothing is made shorter.
        Ok(_) => call_next!(
            c"writev",
            fn(c_int, *const iovec, c_int) -> ssize_t,
            fd,
            parts,
            count
        ),
        Err(failed) => failed,
    }
}
