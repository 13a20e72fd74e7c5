//! The stand-in plain service: it counts how often each idempotency key ran.
//!
//! `GET /counter` shows the counts; `/echo` streams the body back; anything else answers with what
//! was asked. `?delay=N` waits N milliseconds before it answers, after the run was counted.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_program::shutdown::Signal;
use serde_json::json;
use tokio::net::TcpListener;

use crate::fault::Switch;

/// The service.
#[derive(Clone, Default)]
pub struct Plain {
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
    /// The faults.
    pub switch: Switch,
}

impl Plain {
    /// Returns how often each idempotency key ran; requests without one count under `-`.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Serves until told to stop.
    ///
    /// # Errors
    ///
    /// The listener fails for good.
    pub async fn serve(self, listener: TcpListener, stop: Signal) -> io::Result<()> {
        let handler = move |request| {
            let service = self.clone();
            async move { service.answer(request).await }
        };
        http::serve(listener, stop, handler).await
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_string();
        if path == "/counter" {
            return http::json(StatusCode::OK, &self.runs());
        }
        if path == "/healthz" {
            return http::json(StatusCode::OK, &true);
        }
        if path == "/faults" {
            let body = request.into_body().collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            return crate::engine::set_faults(&self.switch, &body);
        }
        if !self.switch.pass().await {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let run = self.count(&request);
        if path == "/echo" {
            let body = request.into_body().map_err(io::Error::other);
            return Response::new(body.boxed_unsync());
        }
        let delay = delay(request.uri().query().unwrap_or_default());
        let method = request.method().to_string();
        let body = request.into_body().collect().await;
        let bytes = body.map(|body| body.to_bytes().len()).unwrap_or_default();
        tokio::time::sleep(delay).await;
        let answer = json!({"method": method, "path": path, "bytes": bytes, "run": run});
        http::json(StatusCode::OK, &answer)
    }

    fn count(&self, request: &Request<Incoming>) -> u64 {
        let key = request.headers().get("idempotency-key");
        let key = key.and_then(|value| value.to_str().ok()).unwrap_or("-");
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let run = runs.entry(key.to_string()).or_default();
        *run += 1;
        *run
    }
}

fn delay(query: &str) -> Duration {
    let value = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("delay="));
    let millis = value.and_then(|value| value.parse().ok()).unwrap_or(0);
    Duration::from_millis(millis)
}
