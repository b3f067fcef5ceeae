use super::{
    DatagramBody, DatagramHeader, DatagramWriter, MemberUpdate, MAX_PROBES_PER_DATAGRAM,
    MAX_WANTED_GATEWAYS,
};
use crate::gauges::{Gauge, GaugeSnapshot};
use crate::record::tests::record;
use crate::seal::{MAX_DATAGRAM_BYTES, SEAL_OVERHEAD_BYTES};
use crate::usage_counters::UsageKey;
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest};

proptest! {
    #[test]
    fn a_written_body_fits_and_decodes_to_the_same(
        numbers in prop::collection::vec(any::<u64>(), 6),
        wanted_gateways in prop::collection::vec(any::<u16>(), 0..MAX_WANTED_GATEWAYS),
        entries in prop::collection::vec((0u16..3, any::<u64>(), 0u32..3, any::<u32>(), any::<u64>()), 0..200),
        member_count in 0usize..30,
        is_usage_complete: bool,
        message in prop::collection::vec(any::<u8>(), 0..900),
    ) {
        let header = DatagramHeader {
            from: "n3".into(),
            instance_id: numbers[0],
            incarnation: numbers[1],
            to_instance_id: numbers[2],
            sequence: numbers[3],
            usage_after: numbers[4],
            usage_up_to: numbers[5],
            is_usage_complete,
            wanted_gateways,
            acks: vec![7; MAX_PROBES_PER_DATAGRAM],
            bucket_digests: vec![u32::MAX; 16],
            ..DatagramHeader::default()
        };
        let mut writer = DatagramWriter::new(&header);
        let message_added = writer.add_message(message.clone());
        let mut added_members = Vec::new();
        for n in 0..member_count {
            let update = MemberUpdate {
                record: record(&format!("n{n}"), u64::MAX),
                age_s: 5,
                suspectors: vec![1, u32::MAX],
            };
            if writer.add_member(update.clone(), 300) {
                added_members.push(update);
            }
        }
        for (gateway, instance_id, window, tag, total) in entries {
            writer.add_usage(UsageKey { gateway, instance_id, window }, tag, total);
        }
        let gauges = vec![Gauge { name: "strain".into(), value: 0.5, age_ms: 9 }];
        let snapshot = GaugeSnapshot { version: 3, gauges };
        let gauges_added = writer.add_gauges(snapshot.clone());
        let bytes = writer.finish(header.clone());
        prop_assert!(bytes.len() + SEAL_OVERHEAD_BYTES <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
        let body = DatagramBody::decode(&bytes).expect("a written body decodes");
        prop_assert_eq!((body.header, body.members), (header, added_members));
        prop_assert_eq!(body.message, if message_added { message } else { Vec::new() });
        let none = GaugeSnapshot { version: 0, gauges: Vec::new() };
        prop_assert_eq!(body.gauges, if gauges_added { snapshot } else { none });
    }

    #[test]
    fn arbitrary_bytes_are_rejected_or_decode_within_bounds(bytes in prop::collection::vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES)) {
        if let Some(body) = DatagramBody::decode(&bytes) {
            prop_assert!(body.members.len() <= bytes.len());
        }
    }
}
