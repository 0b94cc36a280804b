//! Client of the cloud's interface.

use crate::http::Http;
use cherryyard_wire::cloud::{
    Instance, InstancePage, MachineNames, MachineType, MachineTypeList, ProvisionRequest,
};
use cherryyard_wire::parse_object;
use hyper::Method;
use std::time::Duration;

/// Why a call has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloudError {
    /// Refused: none available.
    #[error("no capacity")]
    NoCapacity,
    /// Refused as malformed.
    #[error("malformed")]
    Malformed,
    /// Not to be had now; whether it took effect is unknown.
    #[error("unavailable")]
    Unavailable,
}

/// The cloud.
#[derive(Clone, Debug)]
pub struct Cloud {
    http: Http,
    base: String,
}

impl Cloud {
    /// The cloud's interface at `addr`.
    pub fn new(http: Http, addr: &str) -> Self {
        Self {
            http,
            base: format!("http://{addr}"),
        }
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<T, CloudError> {
        let url = format!("{}{path}", self.base);
        let (status, body) = self
            .http
            .call(method, &url, body, Duration::from_secs(5), 4 * 1024 * 1024)
            .await
            .map_err(|_| CloudError::Unavailable)?;
        match status {
            200 => parse_object(&body).map_err(|e| {
                tracing::warn!(path, "bad answer of the cloud: {e}");
                CloudError::Unavailable
            }),
            400 => {
                tracing::error!(path, "the cloud calls a request malformed");
                Err(CloudError::Malformed)
            }
            503 if String::from_utf8_lossy(&body).contains("no capacity") => {
                Err(CloudError::NoCapacity)
            }
            _ => Err(CloudError::Unavailable),
        }
    }

    /// The machine types.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let machine_types: MachineTypeList = self.call(Method::GET, "/machine_types", None).await?;
        let good = |k: &MachineType| {
            k.cores > 0.0 && k.ram_gb >= 0.0 && k.accelerators >= 0.0 && !k.sku.is_empty()
        };
        let (good, bad): (Vec<_>, Vec<_>) = machine_types.machine_types.into_iter().partition(good);
        for machine_type in bad {
            tracing::warn!(machine_type = %machine_type.sku, "ignored a machine type of no size");
        }
        Ok(good)
    }

    /// All machines.
    pub async fn list(&self) -> Result<Vec<Instance>, CloudError> {
        let mut all: Vec<Instance> = Vec::new();
        loop {
            let since = all
                .last()
                .map(|h| format!("since={}&", h.id))
                .unwrap_or_default();
            let path = format!("/machines?{since}page=500");
            let page: InstancePage = self.call(Method::GET, &path, None).await?;
            let empty = page.hosts.is_empty();
            all.extend(page.hosts);
            if !page.truncated || empty || all.len() >= 20_000 {
                return Ok(all);
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }

    /// Rents machines.
    pub async fn provision(&self, request: &ProvisionRequest) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(request).map_err(|_| CloudError::Malformed)?;
        let hosts: MachineNames = self.call(Method::POST, "/machines", Some(body)).await?;
        Ok(hosts.hosts)
    }

    /// Returns machines; done when this succeeds.
    pub async fn release(&self, hosts: &[String]) -> Result<(), CloudError> {
        let body = serde_json::json!({ "hosts": hosts })
            .to_string()
            .into_bytes();
        let url = format!("{}/machines/release", self.base);
        match self
            .http
            .call(
                Method::POST,
                &url,
                Some(body),
                Duration::from_secs(5),
                1024 * 1024,
            )
            .await
        {
            Ok((200, _)) => Ok(()),
            _ => Err(CloudError::Unavailable),
        }
    }
}
