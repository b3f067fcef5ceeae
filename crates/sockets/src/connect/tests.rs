use super::ConnectError;
use rustix::io::Errno;
use std::io;

#[test]
fn local_errors_are_distinguished_from_errors_of_the_peer() {
    let classify =
        |errno: Errno| ConnectError::classify(io::Error::from_raw_os_error(errno.raw_os_error()));
    for errno in [
        Errno::NFILE,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::NOBUFS,
        Errno::INTR,
    ] {
        assert!(classify(errno).is_local(), "{errno} is classified as local");
    }
    for errno in [
        Errno::CONNREFUSED,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
        Errno::CONNRESET,
    ] {
        assert!(
            !classify(errno).is_local(),
            "{errno} is not classified as local"
        );
    }
}
