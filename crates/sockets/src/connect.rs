//! Connections of the gateway's own making.

use rustix::io::Errno;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Why no connection was made. In either case nothing was sent.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine could not: no descriptor, memory, port or route. It says nothing of the peer.
    Local(io::Error),
    /// The peer refused, did not answer, or broke the connection at once.
    Peer(io::Error),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::Local(e) => write!(f, "this machine cannot connect: {e}"),
            ConnectError::Peer(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for ConnectError {}

impl From<ConnectError> for io::Error {
    fn from(error: ConnectError) -> io::Error {
        match error {
            ConnectError::Local(e) | ConnectError::Peer(e) => e,
        }
    }
}

/// Errors of `socket` and `connect` that concern this machine alone (the manual pages socket(2) and connect(2)).
const LOCAL: [Errno; 11] = [
    Errno::ADDRINUSE,
    Errno::ADDRNOTAVAIL,
    Errno::AGAIN,
    Errno::INTR,
    Errno::MFILE,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::PERM,
];

impl ConnectError {
    fn of(error: io::Error) -> ConnectError {
        match Errno::from_io_error(&error) {
            Some(errno) if LOCAL.contains(&errno) => ConnectError::Local(error),
            _ => ConnectError::Peer(error),
        }
    }

    /// Whether it concerns this machine alone.
    pub fn is_local(&self) -> bool {
        matches!(self, ConnectError::Local(_))
    }
}

/// Makes a connection that sends small writes at once.
///
/// # Errors
/// It was not made, or the peer has closed it already.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(ConnectError::of)?;
    stream.set_nodelay(true).map_err(ConnectError::Peer)?;
    Ok(stream)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_shortage_here_is_told_from_a_refusal_there() {
        let of =
            |errno: Errno| ConnectError::of(io::Error::from_raw_os_error(errno.raw_os_error()));
        for errno in [
            Errno::NFILE,
            Errno::ADDRNOTAVAIL,
            Errno::NETUNREACH,
            Errno::NOBUFS,
            Errno::INTR,
        ] {
            assert!(of(errno).is_local(), "{errno}");
        }
        for errno in [
            Errno::CONNREFUSED,
            Errno::TIMEDOUT,
            Errno::HOSTUNREACH,
            Errno::CONNRESET,
        ] {
            assert!(!of(errno).is_local(), "{errno}");
        }
    }
}
