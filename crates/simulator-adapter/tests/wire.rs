//! The real binary on lines written for it.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn host(lines: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_frosthatch-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    child
        .stdin
        .take()
        .expect("stdin")
        .write_all(lines.as_bytes())
        .expect("written");
    child.wait_with_output().expect("ended")
}

const START: &str = r#"{"timeUs":5,"batch":1,"msgs":[{"Start":{"i":2,"prng":9,"bootInfo":{"balancers":1,"me":0,"zone":"a","novel":1,"limits":{"maxAttempts":2},"services":[{"name":"r","effect":"repeatable","aimUs":900000,"deadlineUs":2000000,"worth":1}],"tariffs":[{"name":"p","unitsPerS":5,"burst":5,"pays":1}]}}},{"Announce":{"i":2,"mode":"Persisted","serial":1,"items":[{"server":"h:1","hall":"a","bay":0,"health":"in_service"}]}}]}"#;
const WORK: &str = r#"{"timeUs":9,"batch":2,"msgs":[{"WorkItem":{"i":2,"ref":"00000000000000ab","firstDoor":0,"width":1,"graceUs":500000,"contract":"p","grade":"r","account":"k","costUnits":1,"unheard":true}}]}"#;

#[test]
fn a_request_is_sent_and_each_batch_has_one_reply() {
    let out = host(&format!("{START}\n{WORK}\n"));
    let text = String::from_utf8(out.stdout).expect("utf-8");
    let lines: Vec<&str> = text.lines().collect();
    assert!(out.status.success());
    assert_eq!(lines.len(), 2);
    assert!(
        lines[1].contains(r#"{"Issue":{"i":2,"ref":"00000000000000ab","server":"h:1""#),
        "{}",
        lines[1]
    );
}

#[test]
fn malformed_lines_end_it_with_a_message() {
    let bad_id = WORK.replace("00000000000000ab", "xyz");
    let unstarted = WORK.replace("\"i\":2", "\"i\":7");
    for line in [
        "{",
        "[]",
        r#"{"timeUs":-1,"batch":1,"msgs":[]}"#,
        bad_id.as_str(),
        unstarted.as_str(),
    ] {
        let out = host(&format!("{START}\n{line}\n"));
        assert!(!out.status.success(), "{line}");
        assert!(
            String::from_utf8_lossy(&out.stderr).contains("frosthatch-adapter: line 2"),
            "{line}"
        );
    }
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let out = host("{\"timeUs\":8412250,\"batch\":7,\"msgs\":[]}\n");
    assert_eq!(
        String::from_utf8_lossy(&out.stdout),
        "{\"batch\":7,\"out\":[]}\n"
    );
}
