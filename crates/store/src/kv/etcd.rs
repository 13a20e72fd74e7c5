//! The adapter to a service that speaks the JSON form of the etcd v3 API.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use jujube_core::revision::Revision;
use jujube_core::time::Span;
use jujube_program::http;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::json::Compare;
use super::json::KeyValue;
use super::json::LeaseRequest;
use super::json::LeaseResponse;
use super::json::PutRequest;
use super::json::RangeRequest;
use super::json::RangeResponse;
use super::json::RequestOp;
use super::json::TxnRequest;
use super::json::TxnResponse;
use super::json::WatchCreate;
use super::json::WatchRequest;
use super::json::WatchResponse;
use super::json::decode;
use super::json::encode;
use super::json::prefix_end;
use super::store::Condition;
use super::store::Error;
use super::store::Lease;
use super::store::Pair;
use super::store::Store;
use super::store::Write;

/// The longest that an answer is waited for. The service answers in milliseconds; a request that
/// needs it is refused at once rather than held.
const PATIENCE: Duration = Duration::from_millis(800);

/// The longest that one watch is kept open.
const WATCH: Duration = Duration::from_secs(60);

/// A client of the service.
#[derive(Clone)]
pub struct Etcd {
    base: String,
    http: http::Client,
}

impl Etcd {
    /// Returns a client of the service at `http://HOST:PORT`.
    ///
    /// # Examples
    ///
    /// ```
    /// let _store = jujube_store::kv::Etcd::new("http://127.0.0.1:2379");
    /// ```
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').to_string(),
            http: http::Client::new(Duration::from_millis(500)),
        }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let url = format!("{}{path}", self.base);
        let answer = self.http.post(&url, body, PATIENCE).await;
        answer.map_err(|error| match error {
            http::Error::NotSent(why) => Error::Down(why),
            http::Error::Cut(why) => Error::Cut(why),
            http::Error::Unknown(why) => Error::Unknown(why),
            http::Error::Unusable(why) => Error::Unusable(why),
        })
    }

    async fn range(&self, key: String, range_end: String) -> Result<Vec<Pair>, Error> {
        let request = RangeRequest { key, range_end };
        let response: RangeResponse = self.post("/v3/kv/range", &request).await?;
        response.kvs.into_iter().map(pair).collect()
    }

    /// Reads one line of a watch: a change, or `None` for a confirmation.
    fn read_line(line: &[u8]) -> Result<Option<Pair>, Error> {
        let malformed = |e: serde_json::Error| Error::Unknown(e.to_string());
        let response: WatchResponse = serde_json::from_slice(line).map_err(malformed)?;
        let last = response.result.events.into_iter().last();
        last.map(|event| pair(event.kv)).transpose()
    }

    async fn watch(&self, key: &str, after: Revision) -> Result<Option<Pair>, Error> {
        let create_request = WatchCreate {
            key: encode(key),
            start_revision: (after.0 + 1).to_string(),
        };
        let body = serde_json::to_vec(&WatchRequest { create_request });
        let body = body.map_err(|e| Error::Down(e.to_string()))?;
        let request = Request::post(format!("{}/v3/watch", self.base)).body(http::whole(body));
        let request = request.map_err(|e| Error::Down(e.to_string()))?;
        let unknown = |e: String| Error::Unknown(e);
        let response = self
            .http
            .send(request)
            .await
            .map_err(|e| unknown(e.to_string()))?;
        let mut body = response.into_body();
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| unknown(e.to_string()))?;
            buffer.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                if let Some(pair) = Self::read_line(&line)? {
                    return Ok(Some(pair));
                }
            }
        }
        Err(Error::Unknown("the watch ended".into()))
    }
}

fn pair(kv: KeyValue) -> Result<Pair, Error> {
    let malformed = || Error::Unknown("a malformed key or value".into());
    Ok(Pair {
        key: decode(&kv.key).ok_or_else(malformed)?,
        value: decode(&kv.value).ok_or_else(malformed)?,
        revision: Revision(kv.mod_revision.parse().unwrap_or(0)),
    })
}

fn compare(condition: &Condition) -> Compare {
    Compare {
        result: "EQUAL".into(),
        target: "MOD".into(),
        key: encode(&condition.key),
        mod_revision: condition.revision.to_string(),
    }
}

fn operation(write: &Write) -> RequestOp {
    match write {
        Write::Put { key, value, lease } => RequestOp {
            request_put: Some(PutRequest {
                key: encode(key),
                value: encode(value),
                lease: lease.map(|lease| lease.0.to_string()).unwrap_or_default(),
            }),
            request_delete_range: None,
        },
        Write::Delete { key } => RequestOp {
            request_put: None,
            request_delete_range: Some(RangeRequest {
                key: encode(key),
                range_end: String::new(),
            }),
        },
    }
}

impl Store for Etcd {
    async fn get(&self, key: &str) -> Result<Option<Pair>, Error> {
        let found = self.range(encode(key), String::new()).await?;
        Ok(found.into_iter().next())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Pair>, Error> {
        self.range(encode(prefix), prefix_end(prefix)).await
    }

    async fn swap(&self, conditions: &[Condition], writes: &[Write]) -> Result<bool, Error> {
        let request = TxnRequest {
            compare: conditions.iter().map(compare).collect(),
            success: writes.iter().map(operation).collect(),
        };
        let response: TxnResponse = self.post("/v3/kv/txn", &request).await?;
        Ok(response.succeeded)
    }

    async fn grant(&self, ttl: Span) -> Result<Lease, Error> {
        let seconds = ttl.0.div_ceil(1000);
        let request = LeaseRequest {
            ttl: seconds.to_string(),
            ..LeaseRequest::default()
        };
        let response: LeaseResponse = self.post("/v3/lease/grant", &request).await?;
        let id = response
            .id
            .parse()
            .map_err(|_| Error::Unknown("no lease".into()))?;
        Ok(Lease(id))
    }

    async fn renew(&self, lease: Lease) -> Result<bool, Error> {
        let request = LeaseRequest {
            id: lease.0.to_string(),
            ..LeaseRequest::default()
        };
        let response: LeaseResponse = self.post("/v3/lease/keepalive", &request).await?;
        let ttl = response.result.map(|result| result.ttl).unwrap_or_default();
        Ok(ttl.parse::<u64>().unwrap_or(0) > 0)
    }

    async fn changed(&self, key: &str, after: Revision) -> Result<Option<Pair>, Error> {
        let watch = tokio::time::timeout(WATCH, self.watch(key, after)).await;
        watch.unwrap_or(Ok(None))
    }
}
