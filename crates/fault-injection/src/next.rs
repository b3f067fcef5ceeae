//! The C library's own functions, behind those of this one.

use std::ffi::CStr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Where a function stands; looked up once.
pub struct Next {
    name: &'static CStr,
    at: AtomicUsize,
}

impl Next {
    pub const fn new(name: &'static CStr) -> Next {
        Next {
            name,
            at: AtomicUsize::new(0),
        }
    }

    /// The function's address. The process ends if the C library has none.
    pub fn address(&self) -> usize {
        let known = self.at.load(Relaxed);
        if known != 0 {
            return known;
        }
        // SAFETY: a look-up by a name that ends in NUL.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) } as usize;
        if found == 0 {
            std::process::abort();
        }
        self.at.store(found, Relaxed);
        found
    }
}

/// Calls the C library's function of this name, with the type of the one that stands in its place.
macro_rules! call_next {
    ($name:literal, fn($($ty:ty),*) -> $ret:ty, $($arg:expr),*) => {{
        static NEXT: $crate::next::Next = $crate::next::Next::new($name);
        // SAFETY: the C library's function of this name has this type.
        let function: unsafe extern "C" fn($($ty),*) -> $ret = unsafe { std::mem::transmute(NEXT.address()) };
        // SAFETY: the caller's arguments, unchanged but for lengths made shorter.
        unsafe { function($($arg),*) }
    }};
}
pub(crate) use call_next;
