//! A response whose body is being read.

use super::body::RemainingBody;
use super::response::ServerResponse;
use std::io;

/// Response whose head has arrived, with the part of its body that has arrived so far.
pub struct BegunResponse {
    /// Response without its body.
    response: ServerResponse,
    /// Decoded part of the body.
    body: Vec<u8>,
    rest: RemainingBody,
    is_complete: bool,
}

impl BegunResponse {
    /// Creates a response of whose body nothing is decoded yet, and decodes what `rest` has buffered.
    pub(super) fn new(response: ServerResponse, rest: RemainingBody) -> io::Result<Self> {
        let mut begun = BegunResponse {
            response,
            body: Vec::new(),
            rest,
            is_complete: false,
        };
        begun.decode(false)?;
        Ok(begun)
    }

    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.response.status
    }

    /// Returns the length of the whole body in bytes, if the response's head declares it.
    pub fn declared_length(&self) -> Option<usize> {
        self.rest.declared_length()
    }

    /// Returns the number of bytes of the body that have arrived.
    pub fn received_bytes(&self) -> usize {
        self.body.len()
    }

    /// Returns whether the whole body has arrived.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the response with the body as it has arrived. What has not arrived yet is read by the response's `rest`.
    pub fn into_response(self) -> ServerResponse {
        let BegunResponse {
            mut response,
            body,
            rest,
            is_complete,
        } = self;
        response.body = body.into();
        if is_complete {
            response.has_excess_bytes = !rest.has_no_excess_bytes();
            response.is_connection_reusable &= !response.has_excess_bytes;
        } else {
            response.rest = Some(rest);
        }
        response
    }

    /// Returns the buffer for bytes that are read from the connection.
    pub(super) fn read_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.rest.buffer
    }

    /// Decodes the buffered bytes. `at_end` states that the connection has ended.
    pub(super) fn decode(&mut self, at_end: bool) -> io::Result<()> {
        self.response.is_connection_reusable &= !at_end;
        self.is_complete = self.rest.decode_into(&mut self.body, at_end)?;
        Ok(())
    }
}
