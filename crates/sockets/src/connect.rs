//! Connections that the gateway makes.

#[cfg(test)]
mod tests;

use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Why no connection was made. In either case nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// This machine could not: no descriptor, memory, port or route. It says nothing about the peer.
    #[error("this machine cannot connect: {0}")]
    Local(io::Error),
    /// The peer refused, did not answer, or closed the connection at once.
    #[error("{0}")]
    Peer(io::Error),
}

impl From<ConnectError> for io::Error {
    fn from(error: ConnectError) -> io::Error {
        match error {
            ConnectError::Local(e) | ConnectError::Peer(e) => e,
        }
    }
}

/// Errors of `socket` and `connect` that concern this machine alone (the manual pages socket(2) and connect(2)).
const LOCAL_ERRORS: [Errno; 11] = [
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
    fn classify(error: io::Error) -> ConnectError {
        match Errno::from_io_error(&error) {
            Some(errno) if LOCAL_ERRORS.contains(&errno) => ConnectError::Local(error),
            _ => ConnectError::Peer(error),
        }
    }

    /// Whether the error concerns this machine alone.
    pub fn is_local(&self) -> bool {
        matches!(self, ConnectError::Local(_))
    }
}

/// Makes a connection that sends small writes at once.
///
/// # Errors
/// No connection was made, or the peer has closed it already.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(ConnectError::classify)?;
    stream.set_nodelay(true).map_err(ConnectError::Peer)?;
    Ok(stream)
}
