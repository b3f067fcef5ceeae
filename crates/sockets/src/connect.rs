//! Outgoing connections, and why one could not be made.

#[cfg(test)]
mod tests;

use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Why no connection was made. No data was sent in either case.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// An error of the local machine, such as a lack of descriptors, memory, ports or routes. It gives no information about
    /// the peer.
    #[error("cannot connect, local error: {0}")]
    Local(io::Error),
    /// Any other error: usually the peer refused, did not answer, or closed the connection at once.
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

/// Errors of `socket` and `connect` that originate on the local machine (manual pages socket(2) and connect(2)).
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
    /// Determines from the error number whether an error is local.
    fn classify(error: io::Error) -> ConnectError {
        match Errno::from_io_error(&error) {
            Some(errno) if LOCAL_ERRORS.contains(&errno) => ConnectError::Local(error),
            _ => ConnectError::Peer(error),
        }
    }

    /// Returns whether the error originates on the local machine.
    pub fn is_local(&self) -> bool {
        matches!(self, ConnectError::Local(_))
    }
}

/// Makes a connection with Nagle's algorithm disabled, so that small writes are sent at once.
///
/// # Errors
/// Returns an error if no connection was made, or if the peer has already closed it.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(ConnectError::classify)?;
    stream.set_nodelay(true).map_err(ConnectError::Peer)?;
    Ok(stream)
}
