//! A new process takes over from a running one. [`elder`] and [`heir`] are the two sides' steps and know no socket;
//! [`driver`] passes messages and descriptors between them; [`message`] is what they say.
#![expect(
    clippy::missing_errors_doc,
    clippy::semicolon_if_nothing_returned,
    clippy::single_match_else,
    clippy::too_many_lines,
    missing_docs
)]

pub mod driver;
pub mod message;
mod pipe;
pub mod source;
pub mod target;
