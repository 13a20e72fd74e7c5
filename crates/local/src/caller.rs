//! A small caller: completions and plain requests as any client would send them.

use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use jujube_core::bundle::Bundle;
use jujube_core::name::Service;
use jujube_entry::tokenizer::Tokenizer;
use jujube_entry::tokenizer::Words;
use jujube_program::http;
use jujube_standin::model;
use serde_json::Value;
use serde_json::json;

/// An answer, whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as JSON; `null` when it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// How long a whole answer may take.
const PATIENCE: Duration = Duration::from_secs(60);

async fn read(
    response: impl Future<Output = Result<Response<Incoming>, http::Error>>,
) -> Result<Answer> {
    let (parts, body) = response.await?.into_parts();
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: body
            .collect()
            .await
            .context("the answer was cut")?
            .to_bytes(),
    })
}

/// A caller with an API key.
#[derive(Clone)]
pub struct Caller {
    base: String,
    key: String,
    http: http::Client,
}

impl Caller {
    /// Returns a caller of an entry.
    ///
    /// # Examples
    ///
    /// ```
    /// let _caller = jujube_local::caller::Caller::new("http://127.0.0.1:8080", "jj-trial");
    /// ```
    #[must_use]
    pub fn new(base: &str, key: &str) -> Self {
        Self {
            base: base.into(),
            key: key.into(),
            http: http::Client::new(Duration::from_secs(2)),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// No connection, or the answer is cut.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer> {
        let url = format!("{}{path}", self.base);
        let mut request = Request::builder().method(method).uri(url);
        request = request.header(AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let answer = read(self.http.send(request.body(http::whole(body))?));
        tokio::time::timeout(PATIENCE, answer)
            .await
            .context("no whole answer in time")?
    }

    /// Streams a completion and returns its text.
    ///
    /// # Errors
    ///
    /// A refusal, an error event, or an answer that does not end in `[DONE]`.
    pub async fn stream(&self, model: &str, prompt: &str, max_tokens: usize) -> Result<String> {
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let answer = self
            .send(Method::POST, "/v1/completions", &[], body.to_string())
            .await?;
        if answer.status != StatusCode::OK {
            bail!(
                "{}: {}",
                answer.status,
                String::from_utf8_lossy(&answer.body)
            );
        }
        read_events(&String::from_utf8_lossy(&answer.body))
    }
}

/// Reads the text out of server-sent events.
///
/// # Errors
///
/// An error event, or no `[DONE]` at the end.
pub fn read_events(events: &str) -> Result<String> {
    let mut text = String::new();
    let mut done = false;
    for event in events.split("\n\n").filter(|event| !event.is_empty()) {
        if event.starts_with("event: error") {
            bail!("failed: {event}");
        }
        let data = event
            .strip_prefix("data: ")
            .context("an event without data")?;
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data)?;
        text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
    }
    if !done {
        bail!("the stream was cut after {text:?}");
    }
    Ok(text)
}

/// Returns the text that the naive version gives: one process, one request at a time.
#[must_use]
pub fn expected(bundle: &Bundle, service: &str, prompt: &str, max_tokens: usize) -> String {
    let offer = bundle.services.get(&Service::from(service));
    let layers = offer.map_or(0, |offer| offer.layers);
    let tokens = model::generate(layers, &Words.encode(prompt), max_tokens);
    tokens.iter().map(|token| Words.decode(*token)).collect()
}
