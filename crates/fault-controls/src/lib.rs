//! The faults that the preload library (`fault-injection`) injects. Each is a word of its control file, an array of
//! native-endian 64-bit words.

/// Number of words in a control file.
pub const WORDS: usize = 16;

/// A fault and the index of its word. Rates are in calls per thousand.
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
    /// The thread is delayed before a write to a socket...
    Stall = 9,
    /// ...for so many milliseconds.
    StallMs = 10,
}
