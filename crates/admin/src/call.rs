//! What operators may ask for.

/// Servers' names are no longer than this.
const ID_BYTES: usize = 256;

#[derive(Debug, PartialEq)]
pub enum AdminCall {
    Ready,
    Metrics,
    /// Take this server out.
    Disable(String),
    /// Put this server back.
    Enable(String),
    Drain,
    Undrain,
    /// Who is in the fleet.
    Fleet,
    /// Leave the fleet, and go on serving.
    LeaveFleet,
    /// The policy that gateways agree on, and its document.
    Policy,
    Document,
    /// Propose the document that is the call's body.
    Propose,
    /// Call a proposal off.
    Abort(u64),
}

#[derive(Debug, PartialEq)]
pub enum CallError {
    /// Nothing is there.
    Path,
    /// Something is, for another method.
    Method(&'static str),
    /// It wants one id, of 1 to 256 bytes.
    Id,
    /// It wants one number.
    Number,
}

impl AdminCall {
    pub fn read(method: &str, path: &str, query: Option<&str>) -> Result<AdminCall, CallError> {
        let wanted = match path {
            "/ready" | "/metrics" | "/fleet" | "/policy/document" => "GET",
            "/servers/disable" | "/servers/enable" | "/drain" | "/undrain" | "/fleet/leave"
            | "/policy/abort" => "POST",
            "/policy" => "GET, POST",
            _ => return Err(CallError::Path),
        };
        if !wanted.split(", ").any(|m| m == method) {
            return Err(CallError::Method(wanted));
        }
        Ok(match path {
            "/ready" => AdminCall::Ready,
            "/metrics" => AdminCall::Metrics,
            "/fleet" => AdminCall::Fleet,
            "/fleet/leave" => AdminCall::LeaveFleet,
            "/policy" if method == "POST" => AdminCall::Propose,
            "/policy" => AdminCall::Policy,
            "/policy/document" => AdminCall::Document,
            "/policy/abort" => AdminCall::Abort(number(query)?),
            "/drain" => AdminCall::Drain,
            "/undrain" => AdminCall::Undrain,
            "/servers/disable" => AdminCall::Disable(id(query)?),
            _ => AdminCall::Enable(id(query)?),
        })
    }
}

/// What a query says once under a name.
fn one(query: Option<&str>, name: &str) -> Option<String> {
    let mut all =
        form_urlencoded::parse(query.unwrap_or("").as_bytes()).filter(|(key, _)| key == name);
    let first = all.next()?.1.into_owned();
    all.next().is_none().then_some(first)
}

/// The one id that a query names.
fn id(query: Option<&str>) -> Result<String, CallError> {
    one(query, "id")
        .filter(|id| (1..=ID_BYTES).contains(&id.len()))
        .ok_or(CallError::Id)
}

fn number(query: Option<&str>) -> Result<u64, CallError> {
    one(query, "number")
        .and_then(|n| n.parse().ok())
        .ok_or(CallError::Number)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_told_apart_by_method_and_path() {
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
    fn a_server_is_named_once_and_in_reason() {
        let long = format!("id={}", "x".repeat(ID_BYTES + 1));
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
}
