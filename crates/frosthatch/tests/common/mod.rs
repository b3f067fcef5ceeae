//! Helpers shared by the tests of the gateway binary, which runs between test doubles on loopback.
#![allow(unused_imports)]

pub use frosthatch_test_doubles::*;
