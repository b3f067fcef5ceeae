//! A new process takes over from a running one. [`elder`] and [`heir`] are the two sides' steps and know no socket;
//! [`driver`] passes messages and descriptors between them; [`message`] is what they say.
#![forbid(unsafe_code)]

pub mod driver;
pub mod elder;
pub mod heir;
pub mod message;
mod pipe;
