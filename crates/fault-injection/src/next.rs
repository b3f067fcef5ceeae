//! Looks up and calls the C library's functions that this library intercepts.

use std::ffi::CStr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// An intercepted function as the next library in the search order (`RTLD_NEXT`) defines it, which is the C library. Its
/// address is looked up once.
pub struct NextFunction {
    name: &'static CStr,
    /// Address of the function; 0 until it is looked up.
    address: AtomicUsize,
}

impl NextFunction {
    pub const fn new(name: &'static CStr) -> NextFunction {
        NextFunction {
            name,
            address: AtomicUsize::new(0),
        }
    }

    /// Returns the function's address. Aborts the process if the C library has no such function.
    pub fn address(&self) -> usize {
        let cached = self.address.load(Relaxed);
        if cached != 0 {
            return cached;
        }
        // SAFETY: the name is a NUL-terminated string.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) } as usize;
        if found == 0 {
            std::process::abort();
        }
        self.address.store(found, Relaxed);
        found
    }
}

/// Calls the C library's function of the given name and type.
macro_rules! call_next {
    ($name:literal, fn($($ty:ty),*) -> $ret:ty, $($arg:expr),*) => {{
        static NEXT: $crate::next::NextFunction = $crate::next::NextFunction::new($name);
        // SAFETY: the C library's function of this name has this type.
        let function: unsafe extern "C" fn($($ty),*) -> $ret = unsafe { std::mem::transmute(NEXT.address()) };
        // SAFETY: the arguments are those of the intercepted call, except that a length may be shorter.
        unsafe { function($($arg),*) }
    }};
}
pub(crate) use call_next;
