//! The faults that the preload library (`fault-injection`) injects, and the layout of its control file: an array of
//! [`WORDS`] signed native-endian 64-bit words.

/// Number of words in a control file.
pub const WORDS: usize = 16;

/// A fault or a parameter of one; its discriminant is the index of its word in the control file. The words from 11 on are
/// unused. A word holds the fault's rate in calls per
/// thousand, unless the variant says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Fault {
    /// The wall clock is ahead by this number of milliseconds, or behind if the number is negative.
    WallClockOffsetMs = 0,
    /// `socket` for IPv4 or IPv6 fails: ENFILE, EMFILE, ENOBUFS, ENOMEM.
    Socket = 1,
    /// `connect` to an IPv4 or IPv6 address fails because the local machine lacks a port, a route or memory:
    /// EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN.
    Connect = 2,
    /// `accept` fails: ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO.
    Accept = 3,
    /// A call on a socket is interrupted by a signal: EINTR.
    Interrupted = 4,
    /// A read from or write to a connection transfers one byte. Vectored writes are not affected.
    Short = 5,
    /// A read from or write to a connection that the process made fails because the connection broke:
    /// ETIMEDOUT, EHOSTUNREACH, ECONNRESET.
    Broken = 6,
    /// A write to a file fails, sometimes after half of the bytes: ENOSPC, EIO. Vectored writes are not affected.
    FileWrite = 7,
    /// A sync of a file fails: EIO, ENOSPC.
    FileSync = 8,
    /// The thread is delayed before a write to a connection, by `StallMs`.
    Stall = 9,
    /// Length of the delay of `Stall`, in milliseconds.
    StallMs = 10,
}
