use super::{AdminCall, CallError, MAX_SERVER_ID_BYTES};

#[test]
fn calls_are_parsed_by_method_and_path() {
    let parse = AdminCall::parse;
    assert_eq!(parse("GET", "/ready", None), Ok(AdminCall::Ready));
    assert_eq!(
        parse("GET", "/metrics", Some("x=1")),
        Ok(AdminCall::Metrics)
    );
    assert_eq!(parse("POST", "/drain", None), Ok(AdminCall::Drain));
    assert_eq!(parse("POST", "/undrain", None), Ok(AdminCall::Undrain));
    assert_eq!(
        parse("POST", "/servers/disable", Some("id=s-1")),
        Ok(AdminCall::Disable("s-1".into()))
    );
    assert_eq!(
        parse("POST", "/servers/enable", Some("a=b&id=s%2D%3A1")),
        Ok(AdminCall::Enable("s-:1".into()))
    );
    assert_eq!(parse("GET", "/fleet", None), Ok(AdminCall::Fleet));
    assert_eq!(parse("GET", "/policy", None), Ok(AdminCall::Policy));
    assert_eq!(parse("POST", "/policy", None), Ok(AdminCall::Propose));
    assert_eq!(
        parse("PUT", "/policy", None),
        Err(CallError::MethodNotAllowed("GET, POST"))
    );
    assert_eq!(
        parse("POST", "/policy/abort", Some("number=7")),
        Ok(AdminCall::Abort(7))
    );
    assert_eq!(
        parse("POST", "/policy/abort", Some("number=-7")),
        Err(CallError::InvalidProposalNumber)
    );
    assert_eq!(
        parse("GET", "/fleet/leave", None),
        Err(CallError::MethodNotAllowed("POST"))
    );
    assert_eq!(
        parse("GET", "/drain", None),
        Err(CallError::MethodNotAllowed("POST"))
    );
    assert_eq!(
        parse("POST", "/ready", None),
        Err(CallError::MethodNotAllowed("GET"))
    );
    assert_eq!(parse("GET", "/servers", None), Err(CallError::UnknownPath));
}

#[test]
fn a_server_call_requires_exactly_one_id_of_1_to_256_bytes() {
    let too_long = format!("id={}", "x".repeat(MAX_SERVER_ID_BYTES + 1));
    for query in [
        None,
        Some(""),
        Some("id="),
        Some("ID=s-1"),
        Some("id=a&id=b"),
        Some(&*too_long),
    ] {
        assert_eq!(
            AdminCall::parse("POST", "/servers/disable", query),
            Err(CallError::InvalidServerId),
            "a query without exactly one valid id is rejected: {query:?}"
        );
    }
}
