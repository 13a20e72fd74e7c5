//! The stand-in key-value service: the JSON form of the etcd v3 API, as far as it is used, in memory.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_program::shutdown::Signal;
use jujube_store::kv::Compare;
use jujube_store::kv::Event;
use jujube_store::kv::KeyValue;
use jujube_store::kv::LeaseRequest;
use jujube_store::kv::LeaseResponse;
use jujube_store::kv::RangeRequest;
use jujube_store::kv::RangeResponse;
use jujube_store::kv::RequestOp;
use jujube_store::kv::TxnRequest;
use jujube_store::kv::TxnResponse;
use jujube_store::kv::WatchRequest;
use jujube_store::kv::WatchResponse;
use jujube_store::kv::WatchResult;
use jujube_store::kv::decode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::engine::set_faults;
use crate::fault::LOST;
use crate::fault::Switch;

struct Value {
    value: String,
    revision: u64,
    lease: String,
}

struct Lease {
    seconds: u64,
    renewed: Instant,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    /// By decoded key; values stay in base64.
    values: BTreeMap<String, Value>,
    leases: BTreeMap<String, Lease>,
    calls: BTreeMap<String, u64>,
}

/// The service.
#[derive(Clone)]
pub struct Service {
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
    /// The faults.
    pub switch: Switch,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            inner: Arc::default(),
            changed: watch::channel(0).0,
            switch: Switch::default(),
        }
    }
}

impl Inner {
    fn expire(&mut self) {
        let lapsed = |lease: &Lease| lease.renewed.elapsed() > Duration::from_secs(lease.seconds);
        self.leases.retain(|_, lease| !lapsed(lease));
        let leases = &self.leases;
        let lives = |value: &Value| value.lease.is_empty() || leases.contains_key(&value.lease);
        self.values.retain(|_, value| lives(value));
    }

    fn holds(&self, compare: &Compare) -> bool {
        let key = decode(&compare.key).unwrap_or_default();
        let revision = self.values.get(&key).map_or(0, |value| value.revision);
        compare.mod_revision.parse() == Ok(revision)
    }

    fn apply(&mut self, operation: RequestOp) {
        if let Some(put) = operation.request_put {
            let key = decode(&put.key).unwrap_or_default();
            let value = Value {
                value: put.value,
                revision: self.revision,
                lease: put.lease,
            };
            self.values.insert(key, value);
        }
        if let Some(delete) = operation.request_delete_range {
            self.values.remove(&decode(&delete.key).unwrap_or_default());
        }
    }

    fn key_value(key: &str, value: &Value) -> KeyValue {
        KeyValue {
            key: jujube_store::kv::encode(key),
            value: value.value.clone(),
            mod_revision: value.revision.to_string(),
        }
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
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
        let body = request.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        if path == "/faults" {
            return set_faults(&self.switch, &body);
        }
        if path == "/calls" {
            return http::json(StatusCode::OK, &self.lock().calls);
        }
        if !self.switch.pass().await {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        *self.lock().calls.entry(path.clone()).or_default() += 1;
        match path.as_str() {
            "/v3/kv/range" => answer(&body, |request| self.range(&request)),
            "/v3/kv/txn" => self.answer_txn(&body).await,
            "/v3/lease/grant" => answer(&body, |request| self.grant(&request)),
            "/v3/lease/keepalive" => answer(&body, |request| self.keep_alive(&request)),
            "/v3/lease/revoke" => answer(&body, |request| self.revoke(&request)),
            "/v3/watch" => self.watch(&body),
            _ => http::text(StatusCode::NOT_FOUND, "not found"),
        }
    }

    fn range(&self, request: &RangeRequest) -> RangeResponse {
        let mut inner = self.lock();
        inner.expire();
        let key = decode(&request.key).unwrap_or_default();
        let end = decode(&request.range_end).filter(|end| !end.is_empty());
        let found = inner
            .values
            .range(key.clone()..)
            .take_while(|(k, _)| match &end {
                Some(end) => *k < end,
                None => **k == key,
            });
        let kvs = found
            .map(|(key, value)| Inner::key_value(key, value))
            .collect();
        RangeResponse { kvs }
    }

    async fn answer_txn(&self, body: &Bytes) -> Response<Body> {
        let response = answer(body, |request| self.txn(request));
        if self.switch.loses_answer() {
            tokio::time::sleep(LOST).await;
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "lost");
        }
        response
    }

    fn txn(&self, request: TxnRequest) -> TxnResponse {
        let mut inner = self.lock();
        inner.expire();
        let succeeded = request.compare.iter().all(|compare| inner.holds(compare));
        if succeeded {
            inner.revision += 1;
            for operation in request.success {
                inner.apply(operation);
            }
            self.changed.send_replace(inner.revision);
        }
        TxnResponse { succeeded }
    }

    fn grant(&self, request: &LeaseRequest) -> LeaseResponse {
        let mut inner = self.lock();
        let id = (inner.leases.len() as u64 + 1 + rand_id()).to_string();
        let lease = Lease {
            seconds: request.ttl.parse().unwrap_or(0),
            renewed: Instant::now(),
        };
        inner.leases.insert(id.clone(), lease);
        LeaseResponse {
            id,
            ttl: request.ttl.clone(),
            result: None,
        }
    }

    fn keep_alive(&self, request: &LeaseRequest) -> LeaseResponse {
        let mut inner = self.lock();
        inner.expire();
        let mut ttl = 0;
        if let Some(lease) = inner.leases.get_mut(&request.id) {
            lease.renewed = Instant::now();
            ttl = lease.seconds;
        }
        let result = LeaseResponse {
            id: request.id.clone(),
            ttl: ttl.to_string(),
            result: None,
        };
        LeaseResponse {
            result: Some(Box::new(result)),
            ..LeaseResponse::default()
        }
    }

    fn revoke(&self, request: &LeaseRequest) -> LeaseResponse {
        let mut inner = self.lock();
        inner.leases.remove(&request.id);
        inner.expire();
        LeaseResponse::default()
    }

    /// Streams one line for each change of a key.
    fn watch(&self, body: &Bytes) -> Response<Body> {
        let Ok(request) = serde_json::from_slice::<WatchRequest>(body) else {
            return http::text(StatusCode::BAD_REQUEST, "no watch request");
        };
        let create = request.create_request;
        let key = decode(&create.key).unwrap_or_default();
        let next: u64 = create.start_revision.parse().unwrap_or(0);
        let state = (self.clone(), self.changed.subscribe(), key, next);
        let lines =
            futures::stream::unfold(state, |(service, mut changed, key, next)| async move {
                loop {
                    if let Some((line, seen)) = service.change(&key, next) {
                        return Some((line, (service, changed, key, seen + 1)));
                    }
                    changed.changed().await.ok()?;
                }
            });
        let frames = lines.map(|line| Ok::<_, io::Error>(Frame::data(Bytes::from(line))));
        Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
    }

    fn change(&self, key: &str, from: u64) -> Option<(String, u64)> {
        let inner = self.lock();
        let value = inner
            .values
            .get(key)
            .filter(|value| value.revision >= from)?;
        let event = Event {
            kind: String::new(),
            kv: Inner::key_value(key, value),
        };
        let response = WatchResponse {
            result: WatchResult {
                created: false,
                events: vec![event],
            },
        };
        let line = serde_json::to_string(&response).ok()?;
        Some((line + "\n", value.revision))
    }
}

/// Leases must not share a number after one has ended.
fn rand_id() -> u64 {
    use std::sync::atomic::AtomicU64;
    use std::sync::atomic::Ordering;

    static NEXT: AtomicU64 = AtomicU64::new(1000);
    NEXT.fetch_add(1000, Ordering::Relaxed)
}

fn answer<Q, A>(body: &Bytes, act: impl FnOnce(Q) -> A) -> Response<Body>
where
    Q: DeserializeOwned,
    A: Serialize,
{
    match serde_json::from_slice(body) {
        Ok(request) => http::json(StatusCode::OK, &act(request)),
        Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
    }
}
