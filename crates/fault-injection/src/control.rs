//! The control file: an array of native-endian 64-bit words. It is mapped shared and read at each call.
//!
//! The environment variable `FAULTSHIM_CONTROL` holds the file's path; if it is not set, no fault is injected. The
//! meaning of the words is defined in `frosthatch_fault_controls`.

use frosthatch_fault_controls::{Fault, WORDS};
use std::ffi::CString;
use std::os::unix::ffi::OsStringExt;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};
use std::sync::OnceLock;

/// Minimum size of the file, and length of the mapping.
const MIN_BYTES: usize = WORDS * 8;

/// The mapped words; `None` if no control file is set or it cannot be mapped.
static CONTROL_WORDS: OnceLock<Option<&'static [AtomicI64; WORDS]>> = OnceLock::new();

/// Maps the control file. Returns `None` if no path is set, or if the file cannot be opened or mapped or is shorter
/// than `MIN_BYTES`.
fn map_control_file() -> Option<&'static [AtomicI64; WORDS]> {
    let path = CString::new(std::env::var_os("FAULTSHIM_CONTROL")?.into_vec()).ok()?;
    // SAFETY: the path is NUL-terminated, and the descriptor is opened and closed here. The mapping is page-aligned and
    // never unmapped; the file is at least as long as the mapping, and its writer never truncates it.
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
        let address = if is_long_enough {
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
        (address != libc::MAP_FAILED).then(|| &*address.cast::<[AtomicI64; WORDS]>())
    }
}

/// Returns the current value of a fault's word, or 0 without a control file.
pub fn control_word(fault: Fault) -> i64 {
    CONTROL_WORDS
        .get_or_init(map_control_file)
        .map_or(0, |words| words[fault as usize].load(Relaxed))
}

static RANDOM_STATE: AtomicU64 = AtomicU64::new(0);

/// Returns the next number of a SplitMix64 generator that is seeded with the process ID.
pub fn random() -> u64 {
    const STEP: u64 = 0x9E37_79B9_7F4A_7C15;
    let mut z = RANDOM_STATE
        .fetch_add(STEP, Relaxed)
        .wrapping_add(u64::from(std::process::id()) << 32);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// Decides at random, by the rate in the fault's word, whether to inject the fault into this call.
pub fn should_inject(fault: Fault) -> bool {
    let rate = control_word(fault);
    rate > 0 && random() % 1_000 < rate as u64
}

/// Returns one of the error numbers at random.
pub fn pick_random(errors: &[i32]) -> i32 {
    errors[(random() % errors.len() as u64) as usize]
}
