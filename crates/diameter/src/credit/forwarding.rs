//! Requests on their way to a server, and what a server's answer means for the attempt.

use crate::codec::{flag, Avp, Message};
use crate::dictionary::{code, result};

/// The outcome of an attempt by its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// The server executed the request, or decided on it; its answer goes to the client unchanged.
    Final,
    /// The server states that it did not execute the request.
    Rejected,
    /// The server may have executed the request.
    Failed,
}

/// Classifies a server's answer by its Result-Code.
pub fn classify_answer(answer: &Message) -> AnswerClass {
    match answer.result() {
        Some(result::UNABLE_TO_DELIVER | result::TOO_BUSY | result::LOOP_DETECTED) => {
            AnswerClass::Rejected
        }
        Some(result::UNABLE_TO_COMPLY) | None => AnswerClass::Failed,
        Some(_) => AnswerClass::Final,
    }
}

/// The request as it is sent to a server: with the Hop-by-Hop Identifier of that connection, and the client's host in its
/// Route-Record. `is_retransmission`: an earlier attempt may have been executed.
pub fn forwarded_request(
    ccr: &Message,
    client_host: &str,
    hop_by_hop: u32,
    is_retransmission: bool,
) -> Message {
    let mut request = ccr.clone();
    request.header.hop_by_hop = hop_by_hop;
    if is_retransmission {
        request.header.flags |= flag::RETRANSMITTED;
    }
    request.with(Avp::of_text(code::ROUTE_RECORD, client_host))
}

/// Whether the request has passed through `own_host` before (RFC 6733 section 6.1.3).
pub fn has_loop(ccr: &Message, own_host: &str) -> bool {
    let mut records = ccr.avps.iter().filter(|avp| avp.code == code::ROUTE_RECORD);
    records.any(|record| {
        record
            .text()
            .is_ok_and(|host| host.eq_ignore_ascii_case(own_host))
    })
}
