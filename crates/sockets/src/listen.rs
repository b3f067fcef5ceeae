//! Listeners: a temporary shortage is waited out at the start of a process.

use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::time::{sleep, Instant};

/// A process that cannot listen within this gives up: the platform waits 30 s for one to be ready, and its restart may
/// do better.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted.
const MAX_BACKLOG: u32 = 1_024;

/// Whether another process may listen at the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// No other process may.
    Alone,
    /// Another may (`SO_REUSEPORT`), as during a hot restart.
    Shared,
}

/// Errors that may be over in a moment: the process before is still ending, or something is short.
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

/// Listens at an address; errors that may be over in a moment are retried for some seconds.
///
/// # Errors
/// It cannot listen there.
pub async fn listen(address: SocketAddr, sharing: Sharing) -> io::Result<TcpListener> {
    retry_transient(|| listen_once(address, sharing)).await
}

/// Binds an address for datagrams; errors that may be over in a moment are retried for some seconds.
///
/// # Errors
/// The address cannot be bound.
pub async fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let bind = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    retry_transient(bind).await
}

async fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = Instant::now() + LISTEN_TIMEOUT;
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < give_up_at => {
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| TRANSIENT_ERRORS.contains(&errno))
}

fn listen_once(address: SocketAddr, sharing: Sharing) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(sharing == Sharing::Shared)?;
    socket.bind(address)?;
    socket.listen(MAX_BACKLOG)
}
