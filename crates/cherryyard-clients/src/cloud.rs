//! Client for the cloud's HTTP interface.

use crate::http::HttpClient;
use cherryyard_wire::cloud::{
    Instance, InstancePage, MachineNames, MachineType, MachineTypeList, ProvisionRequest,
};
use cherryyard_wire::parse_object;
use hyper::Method;
use std::time::Duration;

/// Timeout of each call.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Largest response that is read, in bytes, except to a release.
const MAX_RESPONSE: usize = 4 * 1024 * 1024;
/// Largest response to a release that is read, in bytes.
const MAX_RELEASE_RESPONSE: usize = 1024 * 1024;
/// Number of machines from which on no further page of the list is read.
const MAX_LISTED: usize = 20_000;
/// Machines per page of the list.
const PAGE_SIZE: usize = 500;
/// Pause between two pages of the list, which spreads the requests to stay within the request
/// budget.
const PAGE_PAUSE: Duration = Duration::from_millis(500);

/// Error of a call to the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloudError {
    /// The cloud has no capacity for the requested machines.
    #[error("no capacity")]
    NoCapacity,
    /// The cloud rejected the request as malformed.
    #[error("malformed")]
    Malformed,
    /// No usable response was received; whether the call took effect is unknown.
    #[error("unavailable")]
    Unavailable,
}

/// Client for the cloud's HTTP interface.
#[derive(Clone, Debug)]
pub struct CloudClient {
    http: HttpClient,
    base_url: String,
}

impl CloudClient {
    /// Returns a client for the cloud's interface at `addr`.
    pub fn new(http: HttpClient, addr: &str) -> Self {
        Self {
            http,
            base_url: format!("http://{addr}"),
        }
    }

    /// Sends a request and parses the response.
    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<T, CloudError> {
        let url = format!("{}{path}", self.base_url);
        let (status, body) = self
            .http
            .call(method, &url, body, TIMEOUT, MAX_RESPONSE)
            .await
            .map_err(|_| CloudError::Unavailable)?;
        match status {
            200 => parse_object(&body).map_err(|e| {
                tracing::warn!(path, "invalid response from the cloud: {e}");
                CloudError::Unavailable
            }),
            400 => {
                tracing::error!(path, "request rejected by the cloud as malformed");
                Err(CloudError::Malformed)
            }
            503 if String::from_utf8_lossy(&body).contains("no capacity") => {
                Err(CloudError::NoCapacity)
            }
            _ => Err(CloudError::Unavailable),
        }
    }

    /// Reads the machine types; those without a name or size are left out.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let machine_types: MachineTypeList = self.call(Method::GET, "/machine_types", None).await?;
        let all = machine_types.machine_types.into_iter();
        let (valid, invalid): (Vec<_>, Vec<_>) = all.partition(is_valid);
        for machine_type in invalid {
            tracing::warn!(machine_type = %machine_type.sku, "machine type without a size ignored");
        }
        Ok(valid)
    }

    /// Lists the machines, page by page.
    pub async fn list_machines(&self) -> Result<Vec<Instance>, CloudError> {
        let mut all: Vec<Instance> = Vec::new();
        loop {
            let since = all
                .last()
                .map(|machine| format!("since={}&", machine.id))
                .unwrap_or_default();
            let path = format!("/machines?{since}page={PAGE_SIZE}");
            let page: InstancePage = self.call(Method::GET, &path, None).await?;
            let empty = page.hosts.is_empty();
            all.extend(page.hosts);
            if !page.truncated || empty || all.len() >= MAX_LISTED {
                return Ok(all);
            }
            tokio::time::sleep(PAGE_PAUSE).await;
        }
    }

    /// Requests new machines; returns their names.
    pub async fn provision(&self, request: &ProvisionRequest) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(request).map_err(|_| CloudError::Malformed)?;
        let machines: MachineNames = self.call(Method::POST, "/machines", Some(body)).await?;
        Ok(machines.hosts)
    }

    /// Releases machines. They are released when this succeeds; after an error that is unknown.
    pub async fn release(&self, hosts: &[String]) -> Result<(), CloudError> {
        let body = serde_json::json!({ "hosts": hosts })
            .to_string()
            .into_bytes();
        let url = format!("{}/machines/release", self.base_url);
        let response = self
            .http
            .call(
                Method::POST,
                &url,
                Some(body),
                TIMEOUT,
                MAX_RELEASE_RESPONSE,
            )
            .await;
        match response {
            Ok((200, _)) => Ok(()),
            _ => Err(CloudError::Unavailable),
        }
    }
}

/// Returns whether a machine type has a name, cores, and no negative amounts.
fn is_valid(machine_type: &MachineType) -> bool {
    machine_type.cores > 0.0
        && machine_type.ram_gb >= 0.0
        && machine_type.accelerators >= 0.0
        && !machine_type.sku.is_empty()
}
