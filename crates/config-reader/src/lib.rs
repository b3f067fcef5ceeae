//! Reading files that people write: every mistake is told at once, with its place and what would be right.
#![expect(missing_docs)]

mod mistake;
mod section;

pub use mistake::{joined, Mistake};
pub use section::{real, whole, Reader, Section};
