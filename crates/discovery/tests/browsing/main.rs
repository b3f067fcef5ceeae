//! Browsing with DNS-SD, in virtual time: the queries, what a reply changes, and how far it is trusted.

mod lists;
mod push;
mod records;
mod resolvers;
mod world;
