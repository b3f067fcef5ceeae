//! Messages to the simulator, and their conversion from actions of `frosthatch_traffic_control`.

use frosthatch_traffic_control::{Action, RequestId, Timer};
use serde::Serialize;

/// A message from one gateway instance to the simulator.
#[derive(Serialize)]
#[serde(rename_all_fields = "camelCase")]
pub enum OutgoingMessage {
    /// Starts an attempt.
    #[serde(rename = "Issue")]
    StartAttempt {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "ref")]
        id: String,
        server: String,
        timeout_us: u64,
    },
    /// Cancels an attempt.
    #[serde(rename = "Revoke")]
    CancelAttempt {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "ref")]
        id: String,
        #[serde(rename = "leg")]
        attempt: u32,
    },
    /// Answers a request as rejected: the client may safely retry it.
    #[serde(rename = "Decline")]
    Reject {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "ref")]
        id: String,
        #[serde(rename = "backoffUs")]
        retry_after_us: u64,
    },
    /// Answers a request as failed: it may have run.
    Fail {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "ref")]
        id: String,
    },
    /// Sets a timer.
    SetTimer {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "offsetUs")]
        after_us: u64,
        name: String,
    },
    /// Sends a message to another gateway.
    #[serde(rename = "Post")]
    SendToPeer {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "target")]
        to: u32,
        content: String,
    },
    /// Adds an amount to a total of the shared counter.
    #[serde(rename = "PostAmount")]
    AddToCounter {
        #[serde(rename = "i")]
        instance: u32,
        name: String,
        #[serde(rename = "delta")]
        amount: f64,
        /// How long the counter retains the total, if this message creates it.
        ttl_us: u64,
    },
    /// Subscribes to the endpoint list.
    #[serde(rename = "Tail")]
    Subscribe {
        #[serde(rename = "i")]
        instance: u32,
        active: bool,
    },
    /// Writes a line to the instance's log.
    #[serde(rename = "WriteLog")]
    Log {
        #[serde(rename = "i")]
        instance: u32,
        line: String,
    },
    /// Reports that the instance panicked while it handled a message.
    #[serde(rename = "GiveIn")]
    Panicked {
        #[serde(rename = "i")]
        instance: u32,
        line: String,
    },
}

impl OutgoingMessage {
    /// Converts an action of an instance to a message; returns `None` if the simulator has no such message.
    pub fn from_action(instance: u32, action: Action) -> Option<Self> {
        Some(match action {
            // In the simulator an attempt begins as soon as it is sent, and the simulator passes answers on: the other times
            // have no effect.
            Action::Send {
                request,
                server,
                timeout_us,
                ..
            } => OutgoingMessage::StartAttempt {
                instance,
                id: format_request_id(request),
                server: server.0.to_string(),
                timeout_us,
            },
            Action::Cancel { request, attempt } => OutgoingMessage::CancelAttempt {
                instance,
                id: format_request_id(request),
                attempt,
            },
            Action::Reject {
                request,
                retry_after_us,
                reason: _,
            } => OutgoingMessage::Reject {
                instance,
                id: format_request_id(request),
                retry_after_us,
            },
            Action::Fail { request, reason: _ } => OutgoingMessage::Fail {
                instance,
                id: format_request_id(request),
            },
            Action::SetTimer { after_us, timer } => OutgoingMessage::SetTimer {
                instance,
                after_us,
                name: format_timer_name(timer),
            },
            Action::SendToPeer { to, bytes } => OutgoingMessage::SendToPeer {
                instance,
                to,
                content: bytes.iter().map(|byte| format!("{byte:02x}")).collect(),
            },
            Action::AddToCounter {
                name,
                amount,
                ttl_us,
            } => OutgoingMessage::AddToCounter {
                instance,
                name,
                amount,
                ttl_us,
            },
            // Usage reports between gateways exist outside the simulator only.
            Action::ReportUsage { .. } => return None,
            Action::Subscribe => OutgoingMessage::Subscribe {
                instance,
                active: true,
            },
            Action::Log(line) => OutgoingMessage::Log { instance, line },
        })
    }
}

/// Returns a request ID as 16 lower-case hex digits.
fn format_request_id(id: RequestId) -> String {
    format!("{:016x}", id.0)
}

/// Returns the name of a timer. The simulator sends the name back when the timer expires, and [`super::incoming`] parses
/// it.
fn format_timer_name(timer: Timer) -> String {
    match timer {
        Timer::Interval => "interval".into(),
        Timer::Request(id) => format_request_id(id),
        Timer::Customer(tag) => format!("c{tag:x}"),
    }
}
