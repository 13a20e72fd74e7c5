//! The stand-in VM list: `GET /vms`, and `POST /vms` to set it.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_program::shutdown::Signal;
use jujube_store::vms::Vm;
use tokio::net::TcpListener;

use crate::fault::Switch;

/// The list.
#[derive(Clone, Default)]
pub struct Vms {
    vms: Arc<Mutex<Vec<Vm>>>,
    /// The faults.
    pub switch: Switch,
}

impl Vms {
    /// Serves until told to stop.
    ///
    /// # Errors
    ///
    /// The listener fails for good.
    pub async fn serve(self, listener: TcpListener, stop: Signal) -> io::Result<()> {
        let handler = move |request| {
            let vms = self.clone();
            async move { vms.answer(request).await }
        };
        http::serve(listener, stop, handler).await
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        let body = request.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        if path == "/faults" {
            return crate::engine::set_faults(&self.switch, &body);
        }
        if !self.switch.pass().await {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let mut vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        if method == Method::POST {
            match serde_json::from_slice(&body) {
                Ok(list) => *vms = list,
                Err(error) => return http::text(StatusCode::BAD_REQUEST, error.to_string()),
            }
        }
        http::json(StatusCode::OK, &*vms)
    }
}
