//! The rest of a long response, which is streamed to the client.

use super::pooled_connection::PooledConnection;
use crate::conn::RemainingBody;
use frosthatch_traffic_control::ServerId;
use std::io;
use std::net::SocketAddr;

/// Unread part of a long response, and the connection on which it arrives.
pub struct ResponseStream {
    pub(super) rest: RemainingBody,
    pub(super) connection: PooledConnection,
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    pub(super) is_reusable: bool,
}

impl ResponseStream {
    /// Returns the length of the whole body in bytes, if the response's head declares it.
    pub fn declared_length(&self) -> Option<usize> {
        self.rest.declared_length()
    }

    /// Replaces the content of `part` with the next part of the body. Returns whether the body is complete.
    ///
    /// # Errors
    /// Fails if the connection fails or the body is malformed.
    pub async fn read_part(&mut self, part: &mut Vec<u8>) -> io::Result<bool> {
        let conn = &self.connection.conn;
        conn.read_body_part(&mut self.rest, part).await
    }
}
