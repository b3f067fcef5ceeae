//! Faults of sockets: calls that fail because the local machine lacks a resource, are interrupted, transfer fewer bytes,
//! fail because the connection broke, or delay the thread.

use crate::control::{pick_random, should_inject, value};
use crate::descriptors::{self, kind, DescriptorKind};
use crate::fail;
use crate::files::inject_write_fault;
use crate::next::call_next;
use frosthatch_fault_controls::Fault;
use libc::{c_int, c_void, iovec, size_t, sockaddr, socklen_t, ssize_t};
use libc::{
    EADDRNOTAVAIL, EAGAIN, ECONNABORTED, ECONNRESET, EHOSTUNREACH, EINTR, EMFILE, ENETUNREACH,
    ENFILE,
};
use libc::{ENOBUFS, ENOMEM, EPROTO, ETIMEDOUT};
use std::time::Duration;

/// Returns whether the address family is IPv4 or IPv6.
fn is_internet_domain(domain: c_int) -> bool {
    domain == libc::AF_INET || domain == libc::AF_INET6
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, socket_type: c_int, protocol: c_int) -> c_int {
    if is_internet_domain(domain) && should_inject(Fault::Socket) {
        return fail(pick_random(&[ENFILE, EMFILE, ENOBUFS, ENOMEM])) as c_int;
    }
    let fd = call_next!(
        c"socket",
        fn(c_int, c_int, c_int) -> c_int,
        domain,
        socket_type,
        protocol
    );
    descriptors::set_kind(fd, DescriptorKind::Unknown);
    fd
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the pointer is not null, and each socket address begins with its family.
    let domain = if address.is_null() {
        0
    } else {
        c_int::from(unsafe { (*address).sa_family })
    };
    if is_internet_domain(domain) {
        if should_inject(Fault::Interrupted) {
            return fail(EINTR) as c_int;
        }
        if should_inject(Fault::Connect) {
            return fail(pick_random(&[EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN])) as c_int;
        }
        descriptors::set_kind(fd, DescriptorKind::Connected);
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
    if should_inject(Fault::Interrupted) {
        return fail(EINTR) as c_int;
    }
    if should_inject(Fault::Accept) {
        return fail(pick_random(&[
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
    descriptors::set_kind(accepted, DescriptorKind::Accepted);
    accepted
}

/// Decides on faults of a read or write of `length` bytes. Returns the number of bytes to transfer, or the return value of
/// the failed call. Only connections are affected.
fn inject_transfer_fault(fd: c_int, length: size_t) -> Result<size_t, ssize_t> {
    let descriptor_kind = kind(fd);
    if descriptor_kind != DescriptorKind::Connected && descriptor_kind != DescriptorKind::Accepted {
        return Ok(length);
    }
    if should_inject(Fault::Interrupted) {
        return Err(fail(EINTR));
    }
    if descriptor_kind == DescriptorKind::Connected && should_inject(Fault::Broken) {
        return Err(fail(pick_random(&[ETIMEDOUT, EHOSTUNREACH, ECONNRESET])));
    }
    Ok(if should_inject(Fault::Short) {
        length.min(1)
    } else {
        length
    })
}

/// Delays the thread before a write to a connection, as if the machine had scheduled other work.
fn inject_stall(fd: c_int) {
    let is_connection = matches!(
        kind(fd),
        DescriptorKind::Connected | DescriptorKind::Accepted
    );
    if is_connection && should_inject(Fault::Stall) {
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
    match inject_transfer_fault(fd, length) {
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
        Err(return_value) => return_value,
    }
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    match inject_transfer_fault(fd, length) {
        Ok(length) => call_next!(
            c"read",
            fn(c_int, *mut c_void, size_t) -> ssize_t,
            fd,
            bytes,
            length
        ),
        Err(return_value) => return_value,
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
    inject_stall(fd);
    match inject_transfer_fault(fd, length) {
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
        Err(return_value) => return_value,
    }
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    let transfer = if kind(fd) == DescriptorKind::File {
        inject_write_fault(fd, bytes, length)
    } else {
        inject_stall(fd);
        inject_transfer_fault(fd, length)
    };
    match transfer {
        Ok(length) => call_next!(
            c"write",
            fn(c_int, *const c_void, size_t) -> ssize_t,
            fd,
            bytes,
            length
        ),
        Err(return_value) => return_value,
    }
}

/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    inject_stall(fd);
    match inject_transfer_fault(fd, usize::MAX) {
        // Vectored writes are never shortened: the call must transfer some bytes in any case.
        Ok(_) => call_next!(
            c"writev",
            fn(c_int, *const iovec, c_int) -> ssize_t,
            fd,
            buffers,
            count
        ),
        Err(return_value) => return_value,
    }
}
