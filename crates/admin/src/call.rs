//! Parses the method, path and query of a call to the admin API.

#[cfg(test)]
mod tests;

/// Maximum length of a server id in a query.
const MAX_SERVER_ID_BYTES: usize = 256;

/// A valid call to the admin API.
#[derive(Debug, PartialEq)]
pub enum AdminCall {
    /// Returns whether the gateway is ready.
    Ready,
    /// Returns all metrics.
    Metrics,
    /// Takes the server with this id out of service.
    Disable(String),
    /// Puts the server with this id back into service.
    Enable(String),
    /// Drains the gateway.
    Drain,
    /// Ends the drain of the gateway.
    Undrain,
    /// Returns the cluster membership as this gateway sees it.
    Fleet,
    /// Leaves the cluster; the gateway continues to serve requests.
    LeaveFleet,
    /// Returns the status of the policy that the gateways agree on.
    Policy,
    /// Returns the policy document in force.
    Document,
    /// Proposes the policy document in the call's body.
    Propose,
    /// Aborts the proposal with this number.
    Abort(u64),
}

/// Why a request is not a valid call.
#[derive(Debug, PartialEq)]
pub enum CallError {
    /// The API has no such path.
    UnknownPath,
    /// The path does not support the method; holds the value of the `Allow` header.
    MethodNotAllowed(&'static str),
    /// The query does not have exactly one `id` of 1 to 256 bytes, which names a server.
    InvalidServerId,
    /// The query does not have exactly one `number`, which names a proposal.
    InvalidProposalNumber,
}

impl AdminCall {
    /// Parses a call from the method, path and query of a request.
    ///
    /// # Errors
    /// Returns why the request is not a valid call.
    pub fn parse(method: &str, path: &str, query: Option<&str>) -> Result<AdminCall, CallError> {
        let allowed = allowed_methods(path)?;
        if !allowed
            .split(", ")
            .any(|allowed_method| allowed_method == method)
        {
            return Err(CallError::MethodNotAllowed(allowed));
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

/// Returns the methods that a path supports, in the form of the `Allow` header.
fn allowed_methods(path: &str) -> Result<&'static str, CallError> {
    match path {
        "/ready" | "/metrics" | "/fleet" | "/policy/document" => Ok("GET"),
        "/servers/disable" | "/servers/enable" | "/drain" | "/undrain" | "/fleet/leave"
        | "/policy/abort" => Ok("POST"),
        "/policy" => Ok("GET, POST"),
        _ => Err(CallError::UnknownPath),
    }
}

/// Returns the value of a query parameter; `None` unless the parameter occurs exactly once.
fn single_parameter(query: Option<&str>, name: &str) -> Option<String> {
    let parameters = form_urlencoded::parse(query.unwrap_or("").as_bytes());
    let mut values = parameters.filter(|(key, _)| key == name);
    let (_, value) = values.next()?;
    let value = value.into_owned();
    values.next().is_none().then_some(value)
}

fn server_id(query: Option<&str>) -> Result<String, CallError> {
    single_parameter(query, "id")
        .filter(|id| (1..=MAX_SERVER_ID_BYTES).contains(&id.len()))
        .ok_or(CallError::InvalidServerId)
}

fn proposal_number(query: Option<&str>) -> Result<u64, CallError> {
    single_parameter(query, "number")
        .and_then(|number| number.parse().ok())
        .ok_or(CallError::InvalidProposalNumber)
}
