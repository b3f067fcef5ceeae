//! Runs the adapter on hand-written lines of input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter on the lines until it ends.
fn run_adapter(lines: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_frosthatch-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("stdin is piped")
        .write_all(lines.as_bytes())
        .expect("the adapter accepts its input");
    child
        .wait_with_output()
        .expect("the output of the adapter is readable")
}

/// A batch that starts instance 2 and sends it an endpoint list of server `h:1`. The adapter ignores the unknown keys
/// `novel` and `serial`.
const START_BATCH: &str = r#"{"timeUs":5,"batch":1,"msgs":[{"Start":{"i":2,"prng":9,"bootInfo":{"balancers":1,"me":0,"zone":"a","novel":1,"limits":{"maxAttempts":2},"services":[{"name":"r","effect":"repeatable","aimUs":900000,"deadlineUs":2000000,"worth":1}],"tariffs":[{"name":"p","unitsPerS":5,"burst":5,"pays":1}]}}},{"Announce":{"i":2,"mode":"Persisted","serial":1,"items":[{"server":"h:1","hall":"a","bay":0,"health":"in_service"}]}}]}"#;
/// A batch with one request to instance 2. The adapter ignores the unknown key `unheard`.
const REQUEST_BATCH: &str = r#"{"timeUs":9,"batch":2,"msgs":[{"WorkItem":{"i":2,"ref":"00000000000000ab","firstDoor":0,"width":1,"graceUs":500000,"contract":"p","grade":"r","account":"k","costUnits":1,"unheard":true}}]}"#;

#[test]
fn a_request_starts_an_attempt_and_each_batch_has_one_reply() {
    let out = run_adapter(&format!("{START_BATCH}\n{REQUEST_BATCH}\n"));
    let text = String::from_utf8(out.stdout).expect("the output is UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert!(out.status.success());
    assert_eq!(lines.len(), 2);
    assert!(
        lines[1].contains(r#"{"Issue":{"i":2,"ref":"00000000000000ab","server":"h:1""#),
        "the reply starts an attempt: {}",
        lines[1]
    );
}

#[test]
fn an_invalid_line_ends_the_adapter_with_an_error_that_gives_its_line_number() {
    let bad_id = REQUEST_BATCH.replace("00000000000000ab", "xyz");
    let unknown_instance = REQUEST_BATCH.replace("\"i\":2", "\"i\":7");
    for line in [
        "{",
        "[]",
        r#"{"timeUs":-1,"batch":1,"msgs":[]}"#,
        bad_id.as_str(),
        unknown_instance.as_str(),
    ] {
        let out = run_adapter(&format!("{START_BATCH}\n{line}\n"));
        assert!(!out.status.success(), "the adapter fails on {line}");
        assert!(
            String::from_utf8_lossy(&out.stderr).contains("frosthatch-adapter: line 2"),
            "the error for {line} gives line number 2"
        );
    }
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let out = run_adapter("{\"timeUs\":8412250,\"batch\":7,\"msgs\":[]}\n");
    assert_eq!(
        String::from_utf8_lossy(&out.stdout),
        "{\"batch\":7,\"out\":[]}\n"
    );
}
