//! Why an old process rejects a takeover.

use serde::{Deserialize, Serialize};
use thiserror::Error;

const OTHER_VERSION_TEXT: &str =
    "the old process has another major version of the handover protocol";
const TERMINATING_TEXT: &str = "the old process is terminating";

/// Why the old process rejects or cancels a takeover. A message carries the text that the new process logs.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub enum RejectionReason {
    /// The old process has another major version of the protocol, so that it cannot hand over.
    #[error("{OTHER_VERSION_TEXT}")]
    OtherVersion,
    /// The old process received SIGTERM and will end soon, so that it cannot hand over.
    #[error("{TERMINATING_TEXT}")]
    Terminating,
    /// The old process goes on serving, for the reason in this text.
    #[error("{0}")]
    Serving(String),
}

impl RejectionReason {
    /// The old process hands over to another process, or has done so. Names both by their process ids; 0 if unknown.
    pub fn upgrade_in_progress(old_pid: u32, new_pid: u32) -> RejectionReason {
        RejectionReason::Serving(format!(
            "another upgrade is under way: process {new_pid} replaces process {old_pid}"
        ))
    }

    /// Whether a process that is rejected for this reason may serve without the old process.
    pub fn permits_own_start(&self) -> bool {
        match self {
            RejectionReason::OtherVersion | RejectionReason::Terminating => true,
            RejectionReason::Serving(_) => false,
        }
    }
}

impl From<String> for RejectionReason {
    fn from(text: String) -> Self {
        match text.as_str() {
            OTHER_VERSION_TEXT => RejectionReason::OtherVersion,
            TERMINATING_TEXT => RejectionReason::Terminating,
            _ => RejectionReason::Serving(text),
        }
    }
}

impl From<&str> for RejectionReason {
    fn from(text: &str) -> Self {
        text.to_string().into()
    }
}

impl From<RejectionReason> for String {
    fn from(reason: RejectionReason) -> Self {
        reason.to_string()
    }
}
