//! The recorded dictionary: codes, names and kinds of AVPs, commands, applications and results are the RFCs'.
//! `RECORD=1 cargo test --test golden_forms` records them anew.

use frosthatch_diameter::dictionary::{application, command, result, AvpDefinition, AVPS};
use std::fmt::Write;

#[test]
fn the_dictionary_is_the_one_that_was_recorded() {
    let mut text = String::new();
    for AvpDefinition { code, name, kind } in AVPS {
        writeln!(text, "avp {code} {name} {kind:?}").expect("to memory");
    }
    let commands = [
        command::CAPABILITIES_EXCHANGE,
        command::CREDIT_CONTROL,
        command::DEVICE_WATCHDOG,
        command::DISCONNECT_PEER,
    ];
    writeln!(text, "commands {commands:?}").expect("to memory");
    let applications = [
        application::COMMON,
        application::CREDIT_CONTROL,
        application::RELAY,
    ];
    writeln!(text, "applications {applications:?}").expect("to memory");
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
    writeln!(text, "results {results:?}").expect("to memory");
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/dictionary.txt");
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, text).expect("written");
    }
    assert_eq!(
        std::fs::read_to_string(path).expect("a recorded file"),
        text,
        "recorded on the left"
    );
}
