//! Overload reports with the loss algorithm (Diameter Overload Indication Conveyance, RFC 7683). [`OverloadReporter`]
//! asks clients to reduce their requests while the gateway rejects requests, and [`OverloadAbatement`] reduces the requests
//! to a server that reports overload.
//!
//! This module does no I/O and reads no clock: the caller passes the time in microseconds.

use crate::codec::{find, Avp, Message};
use crate::dictionary::code;
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// OC-Feature-Vector bit of the loss algorithm (RFC 7683 section 7.2).
const LOSS_ALGORITHM: u64 = 1;
/// OC-Report-Type of a report about a host (RFC 7683 section 7.6).
const HOST_REPORT: u32 = 0;
/// Time in microseconds in which the counts of requests and rejections decay to 1/e.
const AVERAGING_TIME_US: f64 = 2_000_000.0;
/// OC-Validity-Duration of the gateway's reports in seconds.
const REPORT_VALIDITY_S: u32 = 5;
/// Minimum change of the reduction, in percentage points, for which a new report is issued.
const MIN_REDUCTION_CHANGE_POINTS: u32 = 5;
/// Maximum reduction applied to a server. The remaining requests detect whether the server has recovered.
const MAX_REDUCTION_PERCENT: u32 = 90;
/// Maximum validity in seconds accepted from a server (RFC 7683 section 7.5 allows a day).
const MAX_VALIDITY_S: u32 = 60;
/// Validity in seconds of a report without an OC-Validity-Duration (RFC 7683 section 7.5).
const DEFAULT_VALIDITY_S: u32 = 30;

/// Measures the share of rejected requests and reports it to clients.
#[derive(Default)]
pub struct OverloadReporter {
    /// Exponentially decaying count of answered requests.
    requests: f64,
    /// Exponentially decaying count of the rejected requests among them.
    rejected: f64,
    /// Time of the last update of both counts.
    updated_us: u64,
    /// Reduction in the last report.
    reported_percent: u32,
    /// Sequence number of the last report, 0 before the first one.
    sequence_number: u64,
}

impl OverloadReporter {
    /// Counts a request that was answered.
    pub fn record_answer(&mut self, now_us: u64, is_rejected: bool) {
        let elapsed_us = now_us.saturating_sub(self.updated_us) as f64;
        let decay = (-elapsed_us / AVERAGING_TIME_US).exp();
        self.requests = self.requests * decay + 1.0;
        self.rejected = self.rejected * decay + f64::from(u8::from(is_rejected));
        self.updated_us = now_us;
    }

    /// Returns the percentage by which clients should reduce their requests.
    fn reduction_percent(&self) -> u32 {
        (100.0 * self.rejected / self.requests.max(1.0))
            .round()
            .min(100.0) as u32
    }

    /// Removes a server's overload AVPs from `answer`, and adds those of the gateway if the client's `request` announces
    /// support for them.
    pub fn add_report(&mut self, now_us: u64, request: &Message, answer: &mut Message) {
        // A server's report concerns the server and is not for the gateway's clients (RFC 7683 section 5.1.2).
        answer.avps.retain(|avp| {
            !avp.is_ietf_avp(code::OC_SUPPORTED_FEATURES) && !avp.is_ietf_avp(code::OC_OLR)
        });
        if !supports_loss_algorithm(request) {
            return;
        }
        answer.avps.push(supported_features());
        let reduction_percent = self.reduction_percent();
        let has_changed =
            reduction_percent.abs_diff(self.reported_percent) >= MIN_REDUCTION_CHANGE_POINTS;
        let has_ended = reduction_percent == 0 && self.reported_percent > 0;
        if has_changed || has_ended {
            self.reported_percent = reduction_percent;
            // Starting at the current time makes the sequence number increase across restarts.
            self.sequence_number = self.sequence_number.max(now_us) + 1;
        }
        // A report with a reduction of 0 % ends an earlier report. Before the first report there is nothing to end.
        if self.sequence_number > 0 {
            answer.avps.push(self.build_report());
        }
    }

    /// Creates the OC-OLR AVP with the last reported reduction.
    fn build_report(&self) -> Avp {
        let validity_s = if self.reported_percent > 0 {
            REPORT_VALIDITY_S
        } else {
            0
        };
        let report = [
            Avp::of_u64(code::OC_SEQUENCE_NUMBER, self.sequence_number).optional(),
            Avp::of_u32(code::OC_REPORT_TYPE, HOST_REPORT).optional(),
            Avp::of_u32(code::OC_REDUCTION_PERCENTAGE, self.reported_percent).optional(),
            Avp::of_u32(code::OC_VALIDITY_DURATION, validity_s).optional(),
        ];
        Avp::of_group(code::OC_OLR, &report).optional()
    }
}

/// Returns whether the request's OC-Supported-Features include the loss algorithm, which is the default without a feature
/// vector.
fn supports_loss_algorithm(request: &Message) -> bool {
    let features = request.find(code::OC_SUPPORTED_FEATURES);
    let Some(features) = features.and_then(|avp| avp.group().ok()) else {
        return false;
    };
    let vector = find(&features, code::OC_FEATURE_VECTOR).map_or(Ok(LOSS_ALGORITHM), Avp::u64);
    vector.map_or(true, |vector| vector & LOSS_ALGORITHM != 0)
}

/// Creates the OC-Supported-Features AVP of the gateway.
fn supported_features() -> Avp {
    let vector = [Avp::of_u64(code::OC_FEATURE_VECTOR, LOSS_ALGORITHM).optional()];
    Avp::of_group(code::OC_SUPPORTED_FEATURES, &vector).optional()
}

/// The latest overload report of one server, and the reduction of requests that follows from the report.
#[derive(Default)]
pub struct OverloadAbatement {
    /// Sequence number of the latest report.
    sequence_number: Option<u64>,
    /// Percentage of requests not to send to the server.
    reduction_percent: u32,
    /// Time at which the latest report expires.
    valid_until_us: u64,
}

impl OverloadAbatement {
    /// Applies the report in `answer` if it has one that is newer than the last report (RFC 7683 section 5.2.1.2).
    pub fn update(&mut self, now_us: u64, answer: &Message) {
        let Some(report) = answer.find(code::OC_OLR).and_then(|avp| avp.group().ok()) else {
            return;
        };
        let read_u32 = |code| find(&report, code).and_then(|avp| avp.u32().ok());
        let sequence_number = find(&report, code::OC_SEQUENCE_NUMBER);
        let Some(sequence_number) = sequence_number.and_then(|avp| avp.u64().ok()) else {
            return;
        };
        let is_outdated = self
            .sequence_number
            .is_some_and(|last| sequence_number <= last);
        if read_u32(code::OC_REPORT_TYPE) != Some(HOST_REPORT) || is_outdated {
            return;
        }
        let validity_s = read_u32(code::OC_VALIDITY_DURATION)
            .unwrap_or(DEFAULT_VALIDITY_S)
            .min(MAX_VALIDITY_S);
        let reduction_percent = read_u32(code::OC_REDUCTION_PERCENTAGE)
            .filter(|&percent| percent <= 100)
            .unwrap_or(0);
        self.sequence_number = Some(sequence_number);
        self.reduction_percent = reduction_percent.min(MAX_REDUCTION_PERCENT);
        self.valid_until_us = now_us + u64::from(validity_s) * 1_000_000;
    }

    /// Decides at random whether a request is withheld from the server. Until the report expires, the probability is the
    /// reported reduction, at most `MAX_REDUCTION_PERCENT`; afterwards it is 0.
    pub fn should_abate(&self, now_us: u64, rng: &mut Pcg64Mcg) -> bool {
        now_us < self.valid_until_us && rng.next_u32() % 100 < self.reduction_percent
    }
}

/// Adds OC-Supported-Features to a request for a server, unless the client's request already contains it.
pub fn announce_support(request: &mut Message) {
    if request.find(code::OC_SUPPORTED_FEATURES).is_none() {
        request.avps.push(supported_features());
    }
}

#[cfg(test)]
mod tests;
