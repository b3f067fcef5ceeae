use super::ConnectError;
use rustix::io::Errno;
use std::io;

#[test]
fn a_local_shortage_is_distinguished_from_a_refusal() {
    let classified =
        |errno: Errno| ConnectError::classify(io::Error::from_raw_os_error(errno.raw_os_error()));
    for errno in [
        Errno::NFILE,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::NOBUFS,
        Errno::INTR,
    ] {
        assert!(classified(errno).is_local(), "{errno}");
    }
    for errno in [
        Errno::CONNREFUSED,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
        Errno::CONNRESET,
    ] {
        assert!(!classified(errno).is_local(), "{errno}");
    }
}
