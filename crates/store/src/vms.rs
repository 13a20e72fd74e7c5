//! The platform's list of VMs.

use std::collections::BTreeSet;
use std::future::Future;
use std::time::Duration;

use jujube_core::name::Server;
use jujube_program::http;
use serde::Deserialize;
use serde::Serialize;

/// One VM as the list has it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Vm {
    /// The backend server on it.
    pub server: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A list of live and leaving VMs; it lags.
pub trait List: Clone + Send + Sync + 'static {
    /// Returns the backend servers whose VMs are leaving; `None` when the list gives no answer.
    fn leaving(&self) -> impl Future<Output = Option<BTreeSet<Server>>> + Send;
}

/// The list over HTTP: `GET /vms` returns a JSON array.
#[derive(Clone)]
pub struct Http {
    url: String,
    http: http::Client,
}

impl Http {
    /// Returns a client of the list at `http://HOST:PORT`.
    ///
    /// # Examples
    ///
    /// ```
    /// let _list = jujube_store::vms::Http::new("http://127.0.0.1:8001");
    /// ```
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            url: format!("{}/vms", base.trim_end_matches('/')),
            http: http::Client::new(Duration::from_millis(500)),
        }
    }
}

impl List for Http {
    async fn leaving(&self) -> Option<BTreeSet<Server>> {
        let vms: Vec<Vm> = self
            .http
            .get(&self.url, Duration::from_secs(1))
            .await
            .ok()?;
        let leaving = vms.into_iter().filter(|vm| vm.leaving);
        Some(leaving.map(|vm| vm.server.into()).collect())
    }
}
