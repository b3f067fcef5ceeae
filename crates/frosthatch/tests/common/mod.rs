//! The real binary between stand-ins on loopback.
#![allow(unused_imports)]

pub use frosthatch_test_doubles::*;
