//! Compares the dictionary with the recorded one, whose codes, names and data formats of AVPs, commands, applications and
//! results are those of the RFCs. `RECORD=1 cargo test --test golden_forms` records the dictionary again.

use frosthatch_diameter::dictionary::{application, command, result, AvpDefinition, AVPS};
use std::fmt::Write;

#[test]
fn the_dictionary_is_the_one_that_was_recorded() {
    let mut text = String::new();
    for AvpDefinition {
        code,
        name,
        data_format,
    } in AVPS
    {
        writeln!(text, "avp {code} {name} {data_format:?}")
            .expect("writing to a String cannot fail");
    }
    let commands = [
        command::CAPABILITIES_EXCHANGE,
        command::CREDIT_CONTROL,
        command::DEVICE_WATCHDOG,
        command::DISCONNECT_PEER,
    ];
    writeln!(text, "commands {commands:?}").expect("writing to a String cannot fail");
    let applications = [
        application::COMMON,
        application::CREDIT_CONTROL,
        application::RELAY,
    ];
    writeln!(text, "applications {applications:?}").expect("writing to a String cannot fail");
    let results = [
        result::SUCCESS,
        result::COMMAND_UNSUPPORTED,
        result::UNABLE_TO_DELIVER,
        result::TOO_BUSY,
        result::LOOP_DETECTED,
        result::APPLICATION_UNSUPPORTED,
        result::INVALID_HDR_BITS,
        result::INVALID_AVP_BITS,
        result::UNKNOWN_PEER,
        result::CREDIT_LIMIT_REACHED,
        result::AVP_UNSUPPORTED,
        result::UNKNOWN_SESSION_ID,
        result::INVALID_AVP_VALUE,
        result::MISSING_AVP,
        result::AVP_OCCURS_TOO_MANY_TIMES,
        result::NO_COMMON_APPLICATION,
        result::UNSUPPORTED_VERSION,
        result::UNABLE_TO_COMPLY,
        result::INVALID_AVP_LENGTH,
        result::INVALID_MESSAGE_LENGTH,
        result::USER_UNKNOWN,
    ];
    writeln!(text, "results {results:?}").expect("writing to a String cannot fail");
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/dictionary.txt");
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, text).expect("golden file is writable");
    }
    assert_eq!(
        std::fs::read_to_string(path).expect("golden file exists"),
        text,
        "the recorded dictionary (left) differs from the current one (right)"
    );
}
