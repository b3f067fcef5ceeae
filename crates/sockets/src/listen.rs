//! Listeners: a shortage of the moment is waited out at the start of a process.

use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::time::{sleep, Instant};

/// A process that cannot listen within this gives up: the platform waits 30 s for one to be ready, and its restart may
/// do better.
const LISTENS_WITHIN: Duration = Duration::from_secs(10);
/// Between two tries.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Whether another process may listen at the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    Alone,
    /// As one that takes over from another does for a while (`SO_REUSEPORT`).
    Shared,
}

/// Errors that may be over in a moment: one of the process before that still ends, a shortage.
const PASSING: [Errno; 8] = [
    Errno::ADDRINUSE,
    Errno::ADDRNOTAVAIL,
    Errno::AGAIN,
    Errno::INTR,
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
];

/// Listens at an address, trying again for some seconds where the reason may pass.
///
/// # Errors
/// It cannot listen there.
pub async fn listen(address: SocketAddr, sharing: Sharing) -> io::Result<TcpListener> {
    wait_out(|| listen_once(address, sharing)).await
}

/// Takes an address for datagrams, trying again for some seconds where the reason may pass.
///
/// # Errors
/// The address cannot be had.
pub async fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let bind = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    wait_out(bind).await
}

async fn wait_out<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = Instant::now() + LISTENS_WITHIN;
    loop {
        match call() {
            Err(e) if may_pass(&e) && Instant::now() < give_up_at => sleep(RETRY_AFTER).await,
            done => return done,
        }
    }
}

fn may_pass(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| PASSING.contains(&errno))
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
    socket.listen(BACKLOG)
}
