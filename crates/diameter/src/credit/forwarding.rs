//! Prepares requests for forwarding to a server, and classifies the server's answers.

use crate::codec::{flag, Avp, Message};
use crate::dictionary::{code, result};

/// The outcome of an attempt, as indicated by the server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// The server executed the request or denied it, for example for lack of credit; the client gets the answer unchanged.
    Final,
    /// The answer states that the request was not executed.
    Rejected,
    /// The answer has `UNABLE_TO_COMPLY` or no Result-Code; the server may have executed the request.
    Failed,
}

/// Classifies a server's answer by its Result-Code.
pub fn classify_answer(answer: &Message) -> AnswerClass {
    match answer.result_code() {
        Some(result::UNABLE_TO_DELIVER | result::TOO_BUSY | result::LOOP_DETECTED) => {
            AnswerClass::Rejected
        }
        Some(result::UNABLE_TO_COMPLY) | None => AnswerClass::Failed,
        Some(_) => AnswerClass::Final,
    }
}

/// Creates the request to send to a server, with the Hop-by-Hop Identifier of the server's connection and a Route-Record
/// that names the client's host. `is_retransmission` is set if an earlier attempt may have been executed.
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
    request.with_avp(Avp::of_text(code::ROUTE_RECORD, client_host))
}

/// Returns whether the request has already passed through `own_host` (RFC 6733 section 6.1.3).
pub fn has_loop(ccr: &Message, own_host: &str) -> bool {
    let mut records = ccr.avps.iter().filter(|avp| avp.code == code::ROUTE_RECORD);
    records.any(|record| {
        record
            .text()
            .is_ok_and(|host| host.eq_ignore_ascii_case(own_host))
    })
}
