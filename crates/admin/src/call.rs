//! What operators may ask for.

/// Servers' names are no longer than this.
const ID_BYTES: usize = 256;

#[derive(Debug, PartialEq)]
pub enum Call {
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
pub enum Wrong {
    /// Nothing is there.
    Path,
    /// Something is, for another method.
    Method(&'static str),
    /// It wants one id, of 1 to 256 bytes.
    Id,
    /// It wants one number.
    Number,
}

impl Call {
    pub fn read(method: &str, path: &str, query: Option<&str>) -> Result<Call, Wrong> {
        let wanted = match path {
            "/ready" | "/metrics" | "/fleet" | "/policy/document" => "GET",
            "/servers/disable" | "/servers/enable" | "/drain" | "/undrain" | "/fleet/leave"
            | "/policy/abort" => "POST",
            "/policy" => "GET, POST",
            _ => return Err(Wrong::Path),
        };
        if !wanted.split(", ").any(|m| m == method) {
            return Err(Wrong::Method(wanted));
        }
        Ok(match path {
            "/ready" => Call::Ready,
            "/metrics" => Call::Metrics,
            "/fleet" => Call::Fleet,
            "/fleet/leave" => Call::LeaveFleet,
            "/policy" if method == "POST" => Call::Propose,
            "/policy" => Call::Policy,
            "/policy/document" => Call::Document,
            "/policy/abort" => Call::Abort(number(query)?),
            "/drain" => Call::Drain,
            "/undrain" => Call::Undrain,
            "/servers/disable" => Call::Disable(id(query)?),
            _ => Call::Enable(id(query)?),
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
fn id(query: Option<&str>) -> Result<String, Wrong> {
    one(query, "id")
        .filter(|id| (1..=ID_BYTES).contains(&id.len()))
        .ok_or(Wrong::Id)
}

fn number(query: Option<&str>) -> Result<u64, Wrong> {
    one(query, "number")
        .and_then(|n| n.parse().ok())
        .ok_or(Wrong::Number)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_told_apart_by_method_and_path() {
        let read = Call::read;
        assert_eq!(read("GET", "/ready", None), Ok(Call::Ready));
        assert_eq!(read("GET", "/metrics", Some("x=1")), Ok(Call::Metrics));
        assert_eq!(read("POST", "/drain", None), Ok(Call::Drain));
        assert_eq!(read("POST", "/undrain", None), Ok(Call::Undrain));
        assert_eq!(
            read("POST", "/servers/disable", Some("id=s-1")),
            Ok(Call::Disable("s-1".into()))
        );
        assert_eq!(
            read("POST", "/servers/enable", Some("a=b&id=s%2D%3A1")),
            Ok(Call::Enable("s-:1".into()))
        );
        assert_eq!(read("GET", "/fleet", None), Ok(Call::Fleet));
        assert_eq!(read("GET", "/policy", None), Ok(Call::Policy));
        assert_eq!(read("POST", "/policy", None), Ok(Call::Propose));
        assert_eq!(
            read("PUT", "/policy", None),
            Err(Wrong::Method("GET, POST"))
        );
        assert_eq!(
            read("POST", "/policy/abort", Some("number=7")),
            Ok(Call::Abort(7))
        );
        assert_eq!(
            read("POST", "/policy/abort", Some("number=-7")),
            Err(Wrong::Number)
        );
        assert_eq!(
            read("GET", "/fleet/leave", None),
            Err(Wrong::Method("POST"))
        );
        assert_eq!(read("GET", "/drain", None), Err(Wrong::Method("POST")));
        assert_eq!(read("POST", "/ready", None), Err(Wrong::Method("GET")));
        assert_eq!(read("GET", "/servers", None), Err(Wrong::Path));
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
                Call::read("POST", "/servers/disable", query),
                Err(Wrong::Id),
                "{query:?}"
            );
        }
    }
}
