//! What operators may call: method, path and query, parsed.

#[cfg(test)]
mod tests;

/// Longest name of a server.
const MAX_ID_BYTES: usize = 256;

/// A call that may be carried out.
#[derive(Debug, PartialEq)]
pub enum AdminCall {
    /// Whether the gateway is ready.
    Ready,
    /// All metrics.
    Metrics,
    /// Take this server out.
    Disable(String),
    /// Put this server back.
    Enable(String),
    /// Drain the gateway.
    Drain,
    /// End the drain.
    Undrain,
    /// The cluster as this gateway sees it.
    Fleet,
    /// Leave the cluster, and go on serving.
    LeaveFleet,
    /// The status of the policy that gateways agree on.
    Policy,
    /// The policy's document.
    Document,
    /// Propose the document that is the call's body.
    Propose,
    /// Abort the proposal of this number.
    Abort(u64),
}

/// Why a call cannot be carried out.
#[derive(Debug, PartialEq)]
pub enum CallError {
    /// There is no such path.
    Path,
    /// The path has other methods: the value of `Allow`.
    Method(&'static str),
    /// The query has to name one server, by an `id` of 1 to 256 bytes.
    Id,
    /// The query has to name one proposal, by its `number`.
    Number,
}

impl AdminCall {
    /// Parses a call.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn read(method: &str, path: &str, query: Option<&str>) -> Result<AdminCall, CallError> {
        let allowed = allowed_methods(path)?;
        if !allowed.split(", ").any(|allowed| allowed == method) {
            return Err(CallError::Method(allowed));
        }
        Ok(match path {
            "/ready" => AdminCall::Ready,
            "/metrics" => AdminCall::Metrics,
            "/fleet" => AdminCall::Fleet,
            "/fleet/leave" => AdminCall::LeaveFleet,
            "/policy" if method == "POST" => AdminCall::Propose,
            "/policy" => AdminCall::Policy,
            "/policy/document" => AdminCall::Document,
            "/policy/abort" => AdminCall::Abort(proposal_number(query)?),
            "/drain" => AdminCall::Drain,
            "/undrain" => AdminCall::Undrain,
            "/servers/disable" => AdminCall::Disable(server_id(query)?),
            _ => AdminCall::Enable(server_id(query)?),
        })
    }
}

/// The methods of a path, as `Allow` lists them.
fn allowed_methods(path: &str) -> Result<&'static str, CallError> {
    match path {
        "/ready" | "/metrics" | "/fleet" | "/policy/document" => Ok("GET"),
        "/servers/disable" | "/servers/enable" | "/drain" | "/undrain" | "/fleet/leave"
        | "/policy/abort" => Ok("POST"),
        "/policy" => Ok("GET, POST"),
        _ => Err(CallError::Path),
    }
}

/// The value of a parameter that a query has exactly once.
fn single_parameter(query: Option<&str>, name: &str) -> Option<String> {
    let parameters = form_urlencoded::parse(query.unwrap_or("").as_bytes());
    let mut values = parameters.filter(|(key, _)| key == name);
    let (_, value) = values.next()?;
    let value = value.into_owned();
    values.next().is_none().then_some(value)
}

fn server_id(query: Option<&str>) -> Result<String, CallError> {
    single_parameter(query, "id")
        .filter(|id| (1..=MAX_ID_BYTES).contains(&id.len()))
        .ok_or(CallError::Id)
}

fn proposal_number(query: Option<&str>) -> Result<u64, CallError> {
    single_parameter(query, "number")
        .and_then(|number| number.parse().ok())
        .ok_or(CallError::Number)
}
