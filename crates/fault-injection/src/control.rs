//! The control file: an array of native-endian 64-bit words, mapped shared and read at each call.
//!
//! The path stands in the environment variable `FAULTSHIM_CONTROL`; without it nothing ever fails. Its words
//! are those of `frosthatch_fault_controls`.

use frosthatch_fault_controls::{Fault, WORDS};
use std::ffi::CString;
use std::os::unix::ffi::OsStringExt;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};
use std::sync::OnceLock;

/// Least size of the file.
const MIN_BYTES: usize = WORDS * 8;

static WORDS_AT: OnceLock<Option<&'static [AtomicI64; WORDS]>> = OnceLock::new();

fn map() -> Option<&'static [AtomicI64; WORDS]> {
    let path = CString::new(std::env::var_os("FAULTSHIM_CONTROL")?.into_vec()).ok()?;
    // SAFETY: plain system calls on a path and a descriptor of our own; the mapping is never undone, and is as long as
    // the file, which its writer never makes shorter.
    unsafe {
        let fd = libc::syscall(
            libc::SYS_openat,
            libc::AT_FDCWD,
            path.as_ptr(),
            libc::O_RDONLY,
        ) as i32;
        if fd < 0 {
            return None;
        }
        let mut stat: libc::stat = std::mem::zeroed();
        let is_long_enough = libc::fstat(fd, &mut stat) == 0 && stat.st_size >= MIN_BYTES as i64;
        let at = if is_long_enough {
            libc::mmap(
                std::ptr::null_mut(),
                MIN_BYTES,
                libc::PROT_READ,
                libc::MAP_SHARED,
                fd,
                0,
            )
        } else {
            libc::MAP_FAILED
        };
        libc::syscall(libc::SYS_close, fd);
        (at != libc::MAP_FAILED).then(|| &*at.cast::<[AtomicI64; WORDS]>())
    }
}

/// The value of a word now; 0 without a control file.
pub fn value(fault: Fault) -> i64 {
    WORDS_AT
        .get_or_init(map)
        .map_or(0, |words| words[fault as usize].load(Relaxed))
}

static CHANCE: AtomicU64 = AtomicU64::new(0);

/// The next number of a simple generator (SplitMix64), seeded by the process's id.
pub fn random() -> u64 {
    const STEP: u64 = 0x9E37_79B9_7F4A_7C15;
    let mut z = CHANCE
        .fetch_add(STEP, Relaxed)
        .wrapping_add(u64::from(std::process::id()) << 32);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// Whether this call is one of those that fail by a word's rate.
pub fn strikes(fault: Fault) -> bool {
    let rate = value(fault);
    rate > 0 && random() % 1_000 < rate as u64
}

/// One of these by chance.
pub fn one_of(errors: &[i32]) -> i32 {
    errors[(random() % errors.len() as u64) as usize]
}
