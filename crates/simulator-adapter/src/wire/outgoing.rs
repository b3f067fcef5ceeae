//! Messages to the simulator.

use frosthatch_traffic_control::{Action, RequestId, Timer};
use serde::Serialize;

/// A message from one instance of a gateway to the simulator.
#[derive(Serialize)]
#[serde(rename_all_fields = "camelCase")]
pub enum OutgoingMessage {
    /// Start an attempt.
    #[serde(rename = "Issue")]
    StartAttempt {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "ref")]
        id: String,
        server: String,
        timeout_us: u64,
    },
    /// Cancel an attempt.
    #[serde(rename = "Revoke")]
    CancelAttempt {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "ref")]
        id: String,
        #[serde(rename = "leg")]
        attempt: u32,
    },
    /// Reject a request.
    #[serde(rename = "Decline")]
    Reject {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "ref")]
        id: String,
        #[serde(rename = "backoffUs")]
        retry_after_us: u64,
    },
    /// Fail a request.
    Fail {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "ref")]
        id: String,
    },
    /// Set a timer.
    SetTimer {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "offsetUs")]
        after_us: u64,
        name: String,
    },
    /// Send a message to another gateway.
    #[serde(rename = "Post")]
    SendToPeer {
        #[serde(rename = "i")]
        instance: u32,
        #[serde(rename = "target")]
        to: u32,
        content: String,
    },
    /// Add to the shared counter.
    #[serde(rename = "PostAmount")]
    AddToCounter {
        #[serde(rename = "i")]
        instance: u32,
        name: String,
        #[serde(rename = "delta")]
        amount: f64,
        ttl_us: u64,
    },
    /// Subscribe to the endpoint list.
    #[serde(rename = "Tail")]
    Subscribe {
        #[serde(rename = "i")]
        instance: u32,
        active: bool,
    },
    /// Write to the log.
    #[serde(rename = "WriteLog")]
    Log {
        #[serde(rename = "i")]
        instance: u32,
        line: String,
    },
    /// The instance panicked.
    #[serde(rename = "GiveIn")]
    Panicked {
        #[serde(rename = "i")]
        instance: u32,
        line: String,
    },
}

impl OutgoingMessage {
    /// The message for an action; `None` where the simulator has no such thing.
    pub fn from_action(instance: u32, action: Action) -> Option<Self> {
        Some(match action {
            // In the simulator an attempt begins when it is sent: the latest start does not matter.
            Action::Send {
                request,
                server,
                timeout_us,
                begin_within_us: _,
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
                name: timer_name(timer),
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
            // Only where gateways report usage to each other outside the simulator.
            Action::ReportUsage { .. } => return None,
            Action::Subscribe => OutgoingMessage::Subscribe {
                instance,
                active: true,
            },
            Action::Log(line) => OutgoingMessage::Log { instance, line },
        })
    }
}

fn format_request_id(id: RequestId) -> String {
    format!("{:016x}", id.0)
}

/// The name by which a timer comes back, as [`super::incoming`] reads it.
fn timer_name(timer: Timer) -> String {
    match timer {
        Timer::Interval => "interval".into(),
        Timer::Request(id) => format_request_id(id),
        Timer::Customer(tag) => format!("c{tag:x}"),
    }
}
