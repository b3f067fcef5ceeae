//! Faults of sockets: calls that fail because the local machine lacks a resource, are interrupted, transfer fewer bytes,
//! fail because the connection broke, or delay the thread.

use crate::control::{control_word, pick_random, should_inject};
use crate::descriptors::{self, descriptor_kind, DescriptorKind};
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
/// The arguments must meet the requirements of the C library's function of this name.
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
/// The arguments must meet the requirements of the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let domain = if address.is_null() {
        0
    } else {
        // SAFETY: the pointer is not null, and the caller guarantees that it refers to a socket address, which begins
        // with its family.
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
/// The arguments must meet the requirements of the C library's function of this name.
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

/// Injects faults into a read or write of `length` bytes on a connection; other descriptors are not affected. Returns the
/// number of bytes to transfer, or, with `errno` set, the return value of the failed call.
fn inject_transfer_fault(fd: c_int, length: size_t) -> Result<size_t, ssize_t> {
    let fd_kind = descriptor_kind(fd);
    if fd_kind != DescriptorKind::Connected && fd_kind != DescriptorKind::Accepted {
        return Ok(length);
    }
    if should_inject(Fault::Interrupted) {
        return Err(fail(EINTR));
    }
    if fd_kind == DescriptorKind::Connected && should_inject(Fault::Broken) {
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
        descriptor_kind(fd),
        DescriptorKind::Connected | DescriptorKind::Accepted
    );
    if is_connection && should_inject(Fault::Stall) {
        std::thread::sleep(Duration::from_millis(
            control_word(Fault::StallMs).max(0) as u64
        ));
    }
}

/// # Safety
/// The arguments must meet the requirements of the C library's function of this name.
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
/// The arguments must meet the requirements of the C library's function of this name.
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
/// The arguments must meet the requirements of the C library's function of this name.
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
/// The arguments must meet the requirements of the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    let transfer = if descriptor_kind(fd) == DescriptorKind::File {
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
/// The arguments must meet the requirements of the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    inject_stall(fd);
    match inject_transfer_fault(fd, usize::MAX) {
        // Vectored writes are never shortened: the permitted length is ignored, and the call transfers what it can.
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
