//! A long response on its way through the gateway.

use super::pooled_connection::PooledConnection;
use crate::conn::RemainingBody;
use frosthatch_traffic_control::ServerId;
use std::io;
use std::net::SocketAddr;

/// The unread part of a long response, and the connection that it arrives on.
pub struct ResponseStream {
    pub(super) rest: RemainingBody,
    pub(super) connection: PooledConnection,
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    pub(super) is_reusable: bool,
}

impl ResponseStream {
    /// Length of the whole body in bytes, where the head declares it.
    pub fn declared_length(&self) -> Option<usize> {
        self.rest.declared_length()
    }

    /// Reads more of the body into `part`, in place of what it holds. Returns whether the body is complete.
    ///
    /// # Errors
    /// The connection fails, or the body is malformed.
    pub async fn read_part(&mut self, part: &mut Vec<u8>) -> io::Result<bool> {
        let conn = &self.connection.conn;
        conn.read_body_part(&mut self.rest, part).await
    }
}
