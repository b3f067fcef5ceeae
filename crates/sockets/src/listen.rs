//! Listeners and datagram sockets. Transient errors are retried while the process starts.

use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::time::{sleep, Instant};

/// Time after which a transient error is final. The platform waits 30 s for a process to be ready; it is better to fail
/// before that, as a restarted process may succeed.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two attempts to listen or bind.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of connections that wait to be accepted.
const MAX_BACKLOG: u32 = 1_024;

/// Whether other processes may listen at the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortSharing {
    /// No other process may listen at the address.
    Exclusive,
    /// Other processes may listen at the address as well (`SO_REUSEPORT`), as during a hot restart.
    Shared,
}

/// Errors that may soon disappear: the previous process has not yet ended, or the machine lacks a resource.
const TRANSIENT_ERRORS: [Errno; 8] = [
    Errno::ADDRINUSE,
    Errno::ADDRNOTAVAIL,
    Errno::AGAIN,
    Errno::INTR,
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
];

/// Listens at an address. Retries transient errors for up to 10 s.
///
/// # Errors
/// Returns the error of the last attempt if listening fails.
pub async fn listen(address: SocketAddr, sharing: PortSharing) -> io::Result<TcpListener> {
    retry_transient(|| listen_once(address, sharing)).await
}

/// Binds a UDP socket to an address. Retries transient errors for up to 10 s.
///
/// # Errors
/// Returns the error of the last attempt if the address cannot be bound.
pub async fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let bind = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    retry_transient(bind).await
}

/// Repeats a call until it succeeds, fails with an error that is not transient, or `LISTEN_TIMEOUT` has passed.
async fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let deadline = Instant::now() + LISTEN_TIMEOUT;
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| TRANSIENT_ERRORS.contains(&errno))
}

fn listen_once(address: SocketAddr, sharing: PortSharing) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(sharing == PortSharing::Shared)?;
    socket.bind(address)?;
    socket.listen(MAX_BACKLOG)
}
