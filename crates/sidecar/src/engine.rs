//! The client of the engine beside the sidecar.

use std::time::Duration;

use jujube_core::fence::Token;
use jujube_core::layer::Range;
use jujube_core::request::Position;
use jujube_core::request::Request;
use jujube_program::http;
use serde::Deserialize;
use serde::Serialize;

#[derive(Serialize)]
struct Step<'a> {
    request: String,
    layers: Range,
    first: Position,
    inputs: &'a [u64],
    rebuild: bool,
}

#[derive(Deserialize)]
struct Stepped {
    outputs: Vec<u64>,
}

#[derive(Serialize)]
struct Free {
    request: String,
}

#[derive(Serialize)]
struct Order {
    token: Token,
    layers: Range,
}

/// What one run is to do.
pub(crate) struct Work<'a> {
    pub(crate) request: Request,
    pub(crate) layers: Range,
    pub(crate) first: Position,
    pub(crate) inputs: &'a [u64],
    pub(crate) rebuild: bool,
}

/// The engine over HTTP.
#[derive(Clone)]
pub(crate) struct Engine {
    base: String,
    patience: Duration,
    http: http::Client,
}

impl Engine {
    pub(crate) fn new(base: &str, patience: Duration) -> Self {
        Self {
            base: base.trim_end_matches('/').to_string(),
            patience,
            http: http::Client::new(Duration::from_millis(300)),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    pub(crate) async fn run(&self, work: &Work<'_>) -> Result<Vec<u64>, http::Error> {
        let step = Step {
            request: work.request.to_string(),
            layers: work.layers,
            first: work.first,
            inputs: work.inputs,
            rebuild: work.rebuild,
        };
        let url = self.url("/v1/step");
        let stepped: Stepped = self.http.post(&url, &step, self.patience).await?;
        Ok(stepped.outputs)
    }

    pub(crate) async fn free(&self, request: Request) -> Result<(), http::Error> {
        let free = Free {
            request: request.to_string(),
        };
        let _done: bool = self
            .http
            .post(&self.url("/v1/free"), &free, self.patience)
            .await?;
        Ok(())
    }

    pub(crate) async fn order(&self, token: Token, layers: Range) -> Result<(), http::Error> {
        let order = Order { token, layers };
        let _done: bool = self
            .http
            .post(&self.url("/v1/order"), &order, self.patience)
            .await?;
        Ok(())
    }

    pub(crate) async fn healthy(&self) -> bool {
        let url = self.url("/healthz");
        let answer = self
            .http
            .get::<bool>(&url, Duration::from_millis(500))
            .await;
        answer.unwrap_or(false)
    }
}
