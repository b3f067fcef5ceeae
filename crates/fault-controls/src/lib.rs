//! The faults that the preload library makes, each a word of its control file: an array of native-endian 64-bit words.

/// Words that a control file holds.
pub const WORDS: usize = 16;

/// What can be set. Rates are in calls of a thousand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Fault {
    /// Milliseconds by which the wall clock is off; signed.
    WallClockOffsetMs = 0,
    /// `socket` fails: ENFILE, EMFILE, ENOBUFS, ENOMEM.
    Socket = 1,
    /// `connect` fails for want of something on this machine: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN.
    Connect = 2,
    /// `accept` fails: ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO.
    Accept = 3,
    /// A call on a socket is interrupted: EINTR.
    Interrupted = 4,
    /// A read or write moves one byte.
    Short = 5,
    /// A connection that the process made is broken: ETIMEDOUT, EHOSTUNREACH, ECONNRESET.
    Broken = 6,
    /// A write to a file fails, also half-way: ENOSPC, EIO.
    FileWrite = 7,
    /// A sync of a file fails: EIO, ENOSPC.
    FileSync = 8,
    /// The thread is held up before a write to a socket...
    Stall = 9,
    /// ...for so many milliseconds.
    StallMs = 10,
}
