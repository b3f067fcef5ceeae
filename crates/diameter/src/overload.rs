//! Overload reports (DOIC, RFC 7683), the loss algorithm: what clients are told while the gateway refuses, and how far a
//! server's own report is heeded. No I/O and no clock.

use crate::codec::{find, Avp, Message};
use crate::dictionary::code;
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// OC-Feature-Vector: the loss algorithm (RFC 7683 section 7.2).
const LOSS: u64 = 1;
/// OC-Report-Type: about the host (section 7.6).
const HOST_REPORT: u32 = 0;
/// Refusals are counted over about this.
const WINDOW_US: f64 = 2_000_000.0;
/// A report holds for so long, in seconds.
const VALID_S: u32 = 5;
/// A report says another figure only when it differs by so much: each new one has a sequence number of its own.
const STEP: u32 = 5;
/// A server's report is heeded up to this share, so that some requests still find out how it is...
const MOST_PERCENT: u32 = 90;
/// ...and for so long at most (section 7.5 allows a day).
const MOST_VALID_S: u32 = 60;
/// What OC-Validity-Duration is where it is left out (section 7.5).
const USUAL_VALID_S: u32 = 30;

/// What the gateway tells of itself.
#[derive(Default)]
pub struct Reporter {
    asked: f64,
    refused: f64,
    at: u64,
    told: u32,
    sequence: u64,
}

impl Reporter {
    /// A request was answered.
    pub fn note(&mut self, now: u64, refused: bool) {
        let keep = (-(now.saturating_sub(self.at) as f64) / WINDOW_US).exp();
        (self.asked, self.refused, self.at) = (self.asked * keep + 1.0, self.refused * keep, now);
        self.refused += f64::from(u8::from(refused));
    }

    /// The share by which clients should ask less, in percent.
    fn reduction(&self) -> u32 {
        (100.0 * self.refused / self.asked.max(1.0))
            .round()
            .min(100.0) as u32
    }

    /// Puts into the answer to a request what its client understands: nothing, if it has not said that it does.
    pub fn sign(&mut self, now: u64, request: &Message, answer: &mut Message) {
        // A server's report is about the server, and is not the client's to heed (section 5.1.2).
        answer.avps.retain(|a| {
            !matches!(a.code, code::OC_SUPPORTED_FEATURES | code::OC_OLR) || a.vendor.is_some()
        });
        let Some(features) = request
            .find(code::OC_SUPPORTED_FEATURES)
            .and_then(|a| a.group().ok())
        else {
            return;
        };
        let vector = find(&features, code::OC_FEATURE_VECTOR).map_or(Ok(LOSS), Avp::u64);
        if vector.is_ok_and(|v| v & LOSS == 0) {
            return;
        }
        let supported = [Avp::of_u64(code::OC_FEATURE_VECTOR, LOSS).optional()];
        answer
            .avps
            .push(Avp::of_group(code::OC_SUPPORTED_FEATURES, &supported).optional());
        let reduction = self.reduction();
        if reduction.abs_diff(self.told) >= STEP || reduction == 0 && self.told > 0 {
            self.told = reduction;
            // Grows over restarts, too.
            self.sequence = self.sequence.max(now) + 1;
        }
        // A report of nothing ends the one before; where none was there is none.
        if self.sequence > 0 {
            let report = [
                Avp::of_u64(code::OC_SEQUENCE_NUMBER, self.sequence).optional(),
                Avp::of_u32(code::OC_REPORT_TYPE, HOST_REPORT).optional(),
                Avp::of_u32(code::OC_REDUCTION_PERCENTAGE, self.told).optional(),
                Avp::of_u32(
                    code::OC_VALIDITY_DURATION,
                    if self.told > 0 { VALID_S } else { 0 },
                )
                .optional(),
            ];
            answer
                .avps
                .push(Avp::of_group(code::OC_OLR, &report).optional());
        }
    }
}

/// What one server has reported of itself.
#[derive(Default)]
pub struct Heeded {
    sequence: Option<u64>,
    percent: u32,
    until: u64,
}

impl Heeded {
    /// Takes in the report in an answer, if there is one and it is newer (section 5.2.1.2).
    pub fn hear(&mut self, now: u64, answer: &Message) {
        let Some(report) = answer.find(code::OC_OLR).and_then(|a| a.group().ok()) else {
            return;
        };
        let number = |code| find(&report, code).and_then(|a| a.u32().ok());
        let sequence = find(&report, code::OC_SEQUENCE_NUMBER).and_then(|a| a.u64().ok());
        let (Some(sequence), Some(kind)) = (sequence, number(code::OC_REPORT_TYPE)) else {
            return;
        };
        if kind != HOST_REPORT || self.sequence.is_some_and(|s| sequence <= s) {
            return;
        }
        let valid = number(code::OC_VALIDITY_DURATION)
            .unwrap_or(USUAL_VALID_S)
            .min(MOST_VALID_S);
        let percent = number(code::OC_REDUCTION_PERCENTAGE)
            .filter(|&p| p <= 100)
            .unwrap_or(0);
        self.sequence = Some(sequence);
        self.percent = percent.min(MOST_PERCENT);
        self.until = now + u64::from(valid) * 1_000_000;
    }

    /// Whether a request is kept from the server.
    pub fn spares(&self, now: u64, rng: &mut Pcg64Mcg) -> bool {
        now < self.until && rng.next_u32() % 100 < self.percent
    }
}

/// Tells a server that its reports are heeded, unless the client's request says so already.
pub fn announce(request: &mut Message) {
    if request.find(code::OC_SUPPORTED_FEATURES).is_none() {
        let vector = [Avp::of_u64(code::OC_FEATURE_VECTOR, LOSS).optional()];
        request
            .avps
            .push(Avp::of_group(code::OC_SUPPORTED_FEATURES, &vector).optional());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_pcg::rand_core::SeedableRng;

    const SECOND: u64 = 1_000_000;

    fn request(announces: bool) -> Message {
        let mut message = Message::default();
        if announces {
            announce(&mut message);
        }
        message
    }

    /// Sequence number, reduction and validity of the report in an answer.
    fn report(reporter: &mut Reporter, now: u64, announces: bool) -> Option<(u64, u32, u32)> {
        let mut answer = Message::default();
        reporter.sign(now, &request(announces), &mut answer);
        assert_eq!(
            answer.find(code::OC_SUPPORTED_FEATURES).is_some(),
            announces
        );
        let group = answer.find(code::OC_OLR)?.group().expect("a group");
        let number = |code| {
            find(&group, code)
                .expect("it is there")
                .u32()
                .expect("a number")
        };
        let sequence = find(&group, code::OC_SEQUENCE_NUMBER)
            .expect("a sequence")
            .u64()
            .expect("a number");
        Some((
            sequence,
            number(code::OC_REDUCTION_PERCENTAGE),
            number(code::OC_VALIDITY_DURATION),
        ))
    }

    #[test]
    fn clients_that_announce_support_are_told_how_much_less_to_ask() {
        let mut r = Reporter::default();
        r.note(SECOND, false);
        assert_eq!(report(&mut r, SECOND, true), None, "nothing is refused");
        (0..40).for_each(|n| r.note(SECOND, n % 4 == 0));
        let (first, percent, valid) = report(&mut r, SECOND, true).expect("a report");
        assert!(
            (20..=28).contains(&percent) && valid == VALID_S,
            "{percent}"
        );
        assert_eq!(
            report(&mut r, SECOND, true),
            Some((first, percent, valid)),
            "the same again"
        );
        assert_eq!(report(&mut r, SECOND, false), None);
        // Over: told once more, as nothing.
        (0..400).for_each(|n| r.note(20 * SECOND + n * 20_000, false));
        let (second, percent, valid) = report(&mut r, 28 * SECOND, true).expect("an end");
        assert!(second > first && percent == 0 && valid == 0);
    }

    fn answer(sequence: u64, percent: u32, valid: u32) -> Message {
        let report = [
            Avp::of_u64(code::OC_SEQUENCE_NUMBER, sequence),
            Avp::of_u32(code::OC_REPORT_TYPE, HOST_REPORT),
            Avp::of_u32(code::OC_REDUCTION_PERCENTAGE, percent),
            Avp::of_u32(code::OC_VALIDITY_DURATION, valid),
        ];
        Message::default().with(Avp::of_group(code::OC_OLR, &report))
    }

    #[test]
    fn a_servers_report_is_heeded_within_bounds_and_an_older_one_is_not() {
        let (mut h, mut rng) = (Heeded::default(), Pcg64Mcg::seed_from_u64(1));
        let mut spared = |h: &Heeded, now| (0..1_000).filter(|_| h.spares(now, &mut rng)).count();
        assert_eq!(spared(&h, 0), 0);
        h.hear(0, &answer(5, 100, 86_400));
        assert!(
            (850..950).contains(&spared(&h, SECOND)),
            "never all of them"
        );
        assert_eq!(spared(&h, 61 * SECOND), 0, "nor for a day");
        h.hear(SECOND, &answer(5, 0, 0));
        assert!(
            spared(&h, 2 * SECOND) > 0,
            "an older or the same one changes nothing"
        );
        h.hear(2 * SECOND, &answer(6, 0, 0));
        assert_eq!(spared(&h, 3 * SECOND), 0);
        h.hear(3 * SECOND, &answer(7, 5_000, 60));
        assert_eq!(spared(&h, 4 * SECOND), 0, "a share that is none is none");
    }

    #[test]
    fn a_servers_report_does_not_reach_clients() {
        let mut passed = answer(5, 50, 30);
        Reporter::default().sign(0, &request(false), &mut passed);
        assert!(passed.avps.is_empty());
    }
}
