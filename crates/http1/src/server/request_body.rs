//! Decodes request bodies incrementally from the connection's buffer, without I/O.

use super::bad_request::{BadRequest, BODY_MEMORY_RETRY_AFTER};
use super::http_server::HttpServer;
use super::request::{PartialRequest, RequestFraming, RequestTarget};
use crate::limits::{MAX_BODY_BYTES, MAX_LONG_BODY_BYTES};
use crate::socket_io::READ_CHUNK_BYTES;
use frosthatch_engine::Response;

impl HttpServer {
    /// Decodes the part of a body in `buffer` and appends it to `request`. Returns whether the body is complete.
    pub(super) fn take_body(
        &self,
        request: &mut PartialRequest,
        buffer: &mut Vec<u8>,
    ) -> Result<bool, BadRequest> {
        if request.body.capacity() - request.body.len() < buffer.len() {
            let additional_bytes = buffer.len().max(4 * READ_CHUNK_BYTES);
            request.body.reserve_exact(additional_bytes);
        }
        let is_complete = match &mut request.framing {
            RequestFraming::Length(length) => {
                let missing_bytes = *length - request.body.len();
                let taken_bytes = missing_bytes.min(buffer.len());
                request.body.extend(buffer.drain(..taken_bytes));
                request.body.len() == *length
            }
            RequestFraming::Chunked(decoder) => decoder
                .decode(buffer, &mut request.body)
                .map_err(|_| BadRequest::Malformed)?,
        };
        if request.body.len() > MAX_LONG_BODY_BYTES {
            return Err(BadRequest::BodyTooLong);
        }
        if request.body.len() > MAX_BODY_BYTES {
            self.reserve_body_memory(request)?;
        }
        Ok(is_complete)
    }

    /// Reserves memory for a long body. Fails, and counts the request as rejected, if the shared budget does not
    /// suffice.
    fn reserve_body_memory(&self, request: &mut PartialRequest) -> Result<(), BadRequest> {
        let reservation = request
            .body_memory
            .get_or_insert_with(|| self.upstream.new_body_reservation());
        if reservation.try_grow_to(request.body.capacity()) {
            return Ok(());
        }
        if let RequestTarget::Server(request) = &request.target {
            let rejection = Response::Rejected {
                retry_after: BODY_MEMORY_RETRY_AFTER,
            };
            self.count_response(request.forwarded.class_index, &rejection);
        }
        Err(BadRequest::NoBodyMemory)
    }
}
