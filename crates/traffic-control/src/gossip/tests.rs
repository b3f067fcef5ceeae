use super::{customer_tag, encode, CellReport, Message, QuotaGrant, QuotaRequest};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Guards against a change of the encoding, which gateways of another version could not decode.
#[test]
fn encoded_messages_equal_the_recorded_bytes() {
    let cell_reports = |count: usize| {
        (0..count)
            .map(|index| CellReport {
                fraction: 0.5 * index as f64,
                admitted_per_s: 12.25,
            })
            .collect()
    };
    let request = Message::QuotaRequest(QuotaRequest {
        tag: customer_tag("customer"),
        plan: 2,
        gateway_count: 300,
        wanted_units: 3.125,
        unreported_units: -1.5,
    });
    let grant = Message::QuotaGrant(QuotaGrant {
        tag: customer_tag("customer"),
        granted_units: 2.0,
        level: -0.25,
        demand_per_s: 40.0,
    });
    let encoded = |message: &Message, max_bytes: usize| hex(&encode(message, max_bytes));
    assert_eq!(
        encoded(&Message::CellReports(cell_reports(3)), 256),
        "020062000562000a6200"
    );
    assert_eq!(
        encoded(&Message::CellReports(cell_reports(3)), 8),
        "02006200056200"
    );
    assert_eq!(encoded(&request, 256), "0319aabda4022c011900f4ff");
    assert_eq!(encoded(&grant, 256), "0419aabda41000feff4001");
    assert_eq!(customer_tag(""), 0x811c_9dc5);
}
