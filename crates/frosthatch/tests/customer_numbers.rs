//! The gateway binary with one customer whose number is written in different forms: they are one customer.

mod common;
#[path = "common/diameter_site.rs"]
mod diameter_site;

use common::*;
use diameter_site::*;
use frosthatch_diameter::codec::{Avp, Message};
use frosthatch_diameter::dictionary::{code, result};
use frosthatch_test_doubles::diameter::*;
use std::time::{Duration, Instant};

/// A number whose hexadecimal digits are letters in part.
const CUSTOMER: u64 = 0xabcd_efab;
/// Figures of the plan `capped`: the ceiling's store, its rate, and the units of one request.
const CEILING_DEPTH: f64 = 20.0;
const CEILING_PER_S: f64 = 10.0;
const UNITS: f64 = 2.0;

fn http_check(gateway: &Gateway, key: &str) -> bool {
    let request = ClientRequest::check()
        .with_header("X-Api-Key", key)
        .with_header("X-Tier", "capped")
        .with_header("X-Call-Terms", &format!("units={UNITS},spread=1,first=0"));
    gateway.request(&request).status() == 200
}

/// A balance check with a Subscription-Id of this type.
fn diameter_check(subscription_type: u32, subscription: &str) -> Message {
    let group = [
        Avp::of_u32(code::SUBSCRIPTION_ID_TYPE, subscription_type),
        Avp::of_text(code::SUBSCRIPTION_ID_DATA, subscription),
    ];
    let session = format!("till.example.org;{subscription}");
    let request = credit_control_request(&session, 4, 0)
        .with_avp(Avp::of_group(code::SUBSCRIPTION_ID, &group))
        .with_avp(Avp::of_u32(code::REQUESTED_ACTION, 2));
    with_units(request, UNITS as u64)
}

/// Guards against a ceiling for each form of a number: small letters and capitals over HTTP, decimal and hexadecimal digits
/// over Diameter.
#[test]
fn all_forms_of_a_customers_number_share_one_ceiling() {
    let server = DiameterServer::granting("s1.example.org");
    let web = Server::new(|_| ok("web"));
    let entries = [
        diameter_entry("s1", &server, 0, "Ready"),
        endpoint_entry("w1", web.address, 0, "Ready"),
    ];
    let plans = format!("[diameter.plans]\n\"{CUSTOMER}\" = \"capped\"\n");
    let site = start_site(&entries.join(","), &plans);
    let mut client = DiameterClient::new(site.address, "till.example.org");
    until_served(&mut client);
    let http_forms = ["00000000abcdefab", "00000000ABCDEFAB", "00000000aBcDeFaB"];
    let diameter_forms = [
        (0, "2882400171"),
        (0, "02882400171"),
        (4, "00000000abcdefab"),
        (4, "00000000ABCDEFAB"),
    ];
    let since = Instant::now();
    let mut units = 0.0;
    while since.elapsed() < Duration::from_secs(2) {
        for key in http_forms {
            units += f64::from(u8::from(http_check(&site.gateway, key))) * UNITS;
        }
        for (subscription_type, text) in diameter_forms {
            let answer = client.exchange(&diameter_check(subscription_type, text));
            let is_served = answer.result_code() == Some(result::SUCCESS);
            units += f64::from(u8::from(is_served)) * UNITS;
        }
    }
    let max_units = CEILING_DEPTH + CEILING_PER_S * since.elapsed().as_secs_f64() + UNITS;
    assert!(
        units <= max_units,
        "{units} units served, at most {max_units} allowed"
    );
    assert!(units >= UNITS, "the customer is served");
}
