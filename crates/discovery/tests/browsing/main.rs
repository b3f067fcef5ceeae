//! Tests of DNS-SD browsing in virtual time: the queries that are sent, the effect of replies, and the extent to which
//! they are trusted.

mod lists;
mod push;
mod records;
mod resolvers;
mod world;
