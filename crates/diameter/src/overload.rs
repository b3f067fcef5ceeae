//! Overload reports (Diameter Overload Indication Conveyance, RFC 7683) with the loss algorithm: [`OverloadReporter`]
//! tells clients to send less while the gateway rejects requests, [`OverloadAbatement`] sends less to a server that reports
//! overload. No I/O and no clock: times are microseconds, handed in.

use crate::codec::{find, Avp, Message};
use crate::dictionary::code;
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// OC-Feature-Vector: the loss algorithm (RFC 7683 section 7.2).
const LOSS_ALGORITHM: u64 = 1;
/// OC-Report-Type: about the host (section 7.6).
const HOST_REPORT: u32 = 0;
/// Time constant of the moving averages of requests and rejections.
const AVERAGING_TIME_US: f64 = 2_000_000.0;
/// Validity of the gateway's reports.
const REPORT_VALIDITY_S: u32 = 5;
/// Smallest change of the reduction, in percentage points, that makes a new report.
const MIN_REDUCTION_CHANGE: u32 = 5;
/// Largest reduction that a server can obtain: some requests still find out whether it has recovered.
const MAX_REDUCTION_PERCENT: u32 = 90;
/// Longest validity that is accepted from a server (section 7.5 allows a day).
const MAX_VALIDITY_S: u32 = 60;
/// Validity of a report without an OC-Validity-Duration (section 7.5).
const DEFAULT_VALIDITY_S: u32 = 30;

/// Measures the share of rejected requests, and reports it to clients.
#[derive(Default)]
pub struct OverloadReporter {
    /// Exponentially decaying counts of answered requests, and of the rejected ones among them.
    requests: f64,
    rejected: f64,
    updated_us: u64,
    reported_percent: u32,
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

    /// The share by which clients should reduce their requests, in percent.
    fn reduction_percent(&self) -> u32 {
        (100.0 * self.rejected / self.requests.max(1.0))
            .round()
            .min(100.0) as u32
    }

    /// Replaces overload AVPs of `answer` by those of the gateway, if the client's `request` announces support for them.
    pub fn add_report(&mut self, now_us: u64, request: &Message, answer: &mut Message) {
        // A server's report is about the server; it is not for the clients of this gateway (section 5.1.2).
        answer
            .avps
            .retain(|avp| !avp.is(code::OC_SUPPORTED_FEATURES) && !avp.is(code::OC_OLR));
        if !supports_loss_algorithm(request) {
            return;
        }
        answer.avps.push(supported_features());
        let reduction_percent = self.reduction_percent();
        let is_changed = reduction_percent.abs_diff(self.reported_percent) >= MIN_REDUCTION_CHANGE;
        let is_over = reduction_percent == 0 && self.reported_percent > 0;
        if is_changed || is_over {
            self.reported_percent = reduction_percent;
            // Starting at the time makes it increase across restarts.
            self.sequence_number = self.sequence_number.max(now_us) + 1;
        }
        // A reduction of 0 % ends an earlier report; before the first report there is nothing to end.
        if self.sequence_number > 0 {
            answer.avps.push(self.report());
        }
    }

    fn report(&self) -> Avp {
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

fn supports_loss_algorithm(request: &Message) -> bool {
    let features = request.find(code::OC_SUPPORTED_FEATURES);
    let Some(features) = features.and_then(|avp| avp.group().ok()) else {
        return false;
    };
    let vector = find(&features, code::OC_FEATURE_VECTOR).map_or(Ok(LOSS_ALGORITHM), Avp::u64);
    vector.map_or(true, |vector| vector & LOSS_ALGORITHM != 0)
}

fn supported_features() -> Avp {
    let vector = [Avp::of_u64(code::OC_FEATURE_VECTOR, LOSS_ALGORITHM).optional()];
    Avp::of_group(code::OC_SUPPORTED_FEATURES, &vector).optional()
}

/// The latest overload report of one server, and the share of requests that it keeps from the server.
#[derive(Default)]
pub struct OverloadAbatement {
    sequence_number: Option<u64>,
    reduction_percent: u32,
    valid_until_us: u64,
}

impl OverloadAbatement {
    /// Adopts the report in an answer, if there is one and it is newer than the last (section 5.2.1.2).
    pub fn update(&mut self, now_us: u64, answer: &Message) {
        let Some(report) = answer.find(code::OC_OLR).and_then(|avp| avp.group().ok()) else {
            return;
        };
        let number = |code| find(&report, code).and_then(|avp| avp.u32().ok());
        let sequence_number = find(&report, code::OC_SEQUENCE_NUMBER);
        let Some(sequence_number) = sequence_number.and_then(|avp| avp.u64().ok()) else {
            return;
        };
        let is_old = self
            .sequence_number
            .is_some_and(|last| sequence_number <= last);
        if number(code::OC_REPORT_TYPE) != Some(HOST_REPORT) || is_old {
            return;
        }
        let validity_s = number(code::OC_VALIDITY_DURATION)
            .unwrap_or(DEFAULT_VALIDITY_S)
            .min(MAX_VALIDITY_S);
        let reduction_percent = number(code::OC_REDUCTION_PERCENTAGE)
            .filter(|&percent| percent <= 100)
            .unwrap_or(0);
        self.sequence_number = Some(sequence_number);
        self.reduction_percent = reduction_percent.min(MAX_REDUCTION_PERCENT);
        self.valid_until_us = now_us + u64::from(validity_s) * 1_000_000;
    }

    /// Whether this request is not to be sent to the server, drawn at random by the reported reduction.
    pub fn draw_abated(&self, now_us: u64, rng: &mut Pcg64Mcg) -> bool {
        now_us < self.valid_until_us && rng.next_u32() % 100 < self.reduction_percent
    }
}

/// Announces to a server that its reports are acted on, unless the client's request already does.
pub fn announce_support(request: &mut Message) {
    if request.find(code::OC_SUPPORTED_FEATURES).is_none() {
        request.avps.push(supported_features());
    }
}

#[cfg(test)]
mod tests;
