//! A client of a running gateway's admin API. Its errors are messages that are printed to the user unchanged.

use crate::membership::FleetStatus;
use crate::platform_config::PlatformConfig;
use crate::policy::PolicyStatus;
use frosthatch_admin::AdminResponse;
use frosthatch_config_reader::join_errors;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of one call to the admin API.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of the admin API at one address.
#[derive(Clone, Copy)]
pub struct AdminClient {
    address: SocketAddr,
}

impl AdminClient {
    /// Creates a client of the API at `address`, or at the address in the platform's file if `address` is `None`.
    ///
    /// # Errors
    /// Returns a message if the platform's file is invalid or names no address.
    pub fn new(address: Option<SocketAddr>) -> Result<AdminClient, String> {
        if let Some(address) = address {
            return Ok(AdminClient { address });
        }
        let platform = PlatformConfig::from_env().map_err(|errors| join_errors(&errors))?;
        let address = platform
            .admin
            .ok_or("the platform's file names no console address")?;
        Ok(AdminClient { address })
    }

    /// Makes a call and returns the body of a response with status 200.
    ///
    /// # Errors
    /// Returns a message if the call fails or the response has another status.
    pub(super) fn call(&self, method: &str, path: &str) -> Result<String, String> {
        let response = self.send(method, path, "")?;
        if response.status == 200 {
            Ok(response.body)
        } else {
            Err(self.error(response.body.trim()))
        }
    }

    /// Makes a call and returns the response, whatever its status.
    ///
    /// # Errors
    /// Returns a message if there is no response.
    pub(super) fn send(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<AdminResponse, String> {
        frosthatch_admin::call(self.address, CALL_TIMEOUT, method, path, body)
            .map_err(|error| error.to_string())
    }

    /// Formats an error message that names the API's address.
    pub(super) fn error(&self, problem: &str) -> String {
        format!("console {}: {problem}", self.address)
    }

    /// Reads a JSON resource; returns it parsed and as the JSON text received.
    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<(T, String), String> {
        let json = self.call("GET", path)?;
        let parsed = serde_json::from_str(&json).map_err(|e| self.error(&e.to_string()))?;
        Ok((parsed, json))
    }

    pub(super) fn fleet_status(&self) -> Result<(FleetStatus, String), String> {
        self.get("/fleet")
    }

    pub(super) fn policy_status(&self) -> Result<(PolicyStatus, String), String> {
        self.get("/policy")
    }
}

/// Serializes a value as JSON.
pub(super) fn to_json(value: &impl serde::Serialize) -> Result<String, String> {
    serde_json::to_string(value).map_err(|e| e.to_string())
}
