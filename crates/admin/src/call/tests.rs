use super::{AdminCall, CallError, MAX_ID_BYTES};

#[test]
fn calls_are_parsed_by_method_and_path() {
    let read = AdminCall::read;
    assert_eq!(read("GET", "/ready", None), Ok(AdminCall::Ready));
    assert_eq!(read("GET", "/metrics", Some("x=1")), Ok(AdminCall::Metrics));
    assert_eq!(read("POST", "/drain", None), Ok(AdminCall::Drain));
    assert_eq!(read("POST", "/undrain", None), Ok(AdminCall::Undrain));
    assert_eq!(
        read("POST", "/servers/disable", Some("id=s-1")),
        Ok(AdminCall::Disable("s-1".into()))
    );
    assert_eq!(
        read("POST", "/servers/enable", Some("a=b&id=s%2D%3A1")),
        Ok(AdminCall::Enable("s-:1".into()))
    );
    assert_eq!(read("GET", "/fleet", None), Ok(AdminCall::Fleet));
    assert_eq!(read("GET", "/policy", None), Ok(AdminCall::Policy));
    assert_eq!(read("POST", "/policy", None), Ok(AdminCall::Propose));
    assert_eq!(
        read("PUT", "/policy", None),
        Err(CallError::Method("GET, POST"))
    );
    assert_eq!(
        read("POST", "/policy/abort", Some("number=7")),
        Ok(AdminCall::Abort(7))
    );
    assert_eq!(
        read("POST", "/policy/abort", Some("number=-7")),
        Err(CallError::Number)
    );
    assert_eq!(
        read("GET", "/fleet/leave", None),
        Err(CallError::Method("POST"))
    );
    assert_eq!(read("GET", "/drain", None), Err(CallError::Method("POST")));
    assert_eq!(read("POST", "/ready", None), Err(CallError::Method("GET")));
    assert_eq!(read("GET", "/servers", None), Err(CallError::Path));
}

#[test]
fn a_call_on_a_server_names_exactly_one_of_bounded_length() {
    let long = format!("id={}", "x".repeat(MAX_ID_BYTES + 1));
    for query in [
        None,
        Some(""),
        Some("id="),
        Some("ID=s-1"),
        Some("id=a&id=b"),
        Some(&*long),
    ] {
        assert_eq!(
            AdminCall::read("POST", "/servers/disable", query),
            Err(CallError::Id),
            "{query:?}"
        );
    }
}
