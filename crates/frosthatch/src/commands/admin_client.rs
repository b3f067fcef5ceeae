//! Calls to a running gateway's admin API. Errors are texts for people: they are printed as they are.

use crate::membership::FleetStatus;
use crate::platform_config::PlatformConfig;
use crate::policy::PolicyStatus;
use frosthatch_admin::AdminResponse;
use frosthatch_config_reader::join_errors;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An admin API at one address.
#[derive(Clone, Copy)]
pub struct AdminClient {
    address: SocketAddr,
}

impl AdminClient {
    /// For the API at `address`; `None`: at the address in the platform's file.
    ///
    /// # Errors
    /// The file cannot be read or names no address.
    pub fn new(address: Option<SocketAddr>) -> Result<AdminClient, String> {
        if let Some(address) = address {
            return Ok(AdminClient { address });
        }
        let platform = PlatformConfig::from_env().map_err(|errors| join_errors(&errors))?;
        let address = platform.admin.ok_or("it names no console")?;
        Ok(AdminClient { address })
    }

    /// The body of an answer with status 200.
    ///
    /// # Errors
    /// The call failed or got another status.
    pub(super) fn call(&self, method: &str, path: &str) -> Result<String, String> {
        let response = self.send(method, path, "")?;
        if response.status == 200 {
            Ok(response.body)
        } else {
            Err(self.error(response.body.trim()))
        }
    }

    /// The answer, whatever its status is.
    ///
    /// # Errors
    /// There was no answer.
    pub(super) fn send(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<AdminResponse, String> {
        frosthatch_admin::call(self.address, CALL_TIMEOUT, method, path, body)
            .map_err(|error| error.to_string())
    }

    /// An error that names the API's address.
    pub(super) fn error(&self, what: &str) -> String {
        format!("console {}: {what}", self.address)
    }

    /// What the API shows, parsed and as it came.
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

/// A value as JSON.
pub(super) fn to_json(value: &impl serde::Serialize) -> Result<String, String> {
    serde_json::to_string(value).map_err(|e| e.to_string())
}
