//! The stand-in weight store: `GET /weights/{name}`, limited to so many reads a second.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use jujube_core::time::Instant;
use jujube_program::clock;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_program::shutdown::Signal;
use tokio::net::TcpListener;

/// The store.
#[derive(Clone)]
pub struct Weights {
    a_second: u64,
    window: Arc<Mutex<(Instant, u64)>>,
}

impl Weights {
    /// Returns a store with a limit.
    #[must_use]
    pub fn new(a_second: u64) -> Self {
        Self {
            a_second,
            window: Arc::default(),
        }
    }

    /// Serves until told to stop.
    ///
    /// # Errors
    ///
    /// The listener fails for good.
    pub async fn serve(self, listener: TcpListener, stop: Signal) -> io::Result<()> {
        let handler = move |request| {
            let answer = self.answer(&request);
            async move { answer }
        };
        http::serve(listener, stop, handler).await
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Body> {
        const WINDOW_MILLIS: u64 = 1_000;
        let now = clock::now();
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(window.0).0 >= WINDOW_MILLIS {
            *window = (now, 0);
        }
        window.1 += 1;
        if window.1 > self.a_second {
            let mut response = http::text(StatusCode::TOO_MANY_REQUESTS, "slower");
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from_static("1"));
            return response;
        }
        let name = request
            .uri()
            .path()
            .trim_start_matches("/weights/")
            .to_string();
        http::text(StatusCode::OK, format!("weights of {name}"))
    }
}
