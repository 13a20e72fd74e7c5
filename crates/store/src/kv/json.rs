//! The JSON form of the etcd v3 API, as far as it is used.
//!
//! Source: the published `rpc.proto` and its JSON mapping. Keys and values are base64; 64-bit numbers
//! are strings; fields with default values are left out.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;

/// Encodes a key or value.
///
/// # Examples
///
/// ```
/// # use jujube_store::kv::decode;
/// # use jujube_store::kv::encode;
/// assert_eq!(decode(&encode("key")).unwrap(), "key");
/// ```
#[must_use]
pub fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

/// Decodes a key or value; `None` when it is no base64 of UTF-8.
#[must_use]
pub fn decode(text: &str) -> Option<String> {
    String::from_utf8(STANDARD.decode(text).ok()?).ok()
}

/// Returns the end of the range of keys with a prefix: the prefix with its last byte raised.
#[must_use]
pub fn prefix_end(prefix: &str) -> String {
    let mut bytes = prefix.as_bytes().to_vec();
    if let Some(last) = bytes.last_mut() {
        *last += 1;
    }
    STANDARD.encode(bytes)
}

/// `KeyValue`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key, in base64.
    pub key: String,
    /// The value, in base64.
    pub value: String,
    /// The revision of the last write.
    pub mod_revision: String,
}

/// `RangeRequest`, of `/v3/kv/range`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key, in base64.
    pub key: String,
    /// The end of the range; empty for one key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

/// `RangeResponse`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// What was found.
    pub kvs: Vec<KeyValue>,
}

/// `Compare`, of `mod_revision` only.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// `EQUAL`.
    pub result: String,
    /// `MOD`.
    pub target: String,
    /// The key, in base64.
    pub key: String,
    /// The revision that it must have; 0 when it must not be there.
    pub mod_revision: String,
}

/// `RequestOp`: one of the two.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// A put.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A delete.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<RangeRequest>,
}

/// `PutRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key, in base64.
    pub key: String,
    /// The value, in base64.
    pub value: String,
    /// The lease; empty for none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub lease: String,
}

/// `TxnRequest`, of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// All must hold.
    pub compare: Vec<Compare>,
    /// Done if they do.
    pub success: Vec<RequestOp>,
}

/// `TxnResponse`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Whether the writes were done.
    pub succeeded: bool,
}

/// The request of `/v3/lease/grant` (`TTL`) and `/v3/lease/keepalive` (`ID`).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID", skip_serializing_if = "String::is_empty")]
    pub id: String,
    /// Seconds.
    #[serde(rename = "TTL", skip_serializing_if = "String::is_empty")]
    pub ttl: String,
}

/// Their response; that of the keep-alive has it under `result`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: String,
    /// Seconds left; absent or 0 when the lease has ended.
    #[serde(rename = "TTL")]
    pub ttl: String,
    /// The keep-alive's answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<Box<LeaseResponse>>,
}

/// The request of `/v3/watch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// `WatchCreateRequest`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The key, in base64.
    pub key: String,
    /// Changes from this revision on are reported.
    pub start_revision: String,
}

/// One line of the answer of `/v3/watch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Its content.
    pub result: WatchResult,
}

/// `WatchResponse` proper.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    /// Whether this line only confirms the watch.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// `Event`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// `DELETE`, or absent for a put.
    #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// The key with its new value.
    pub kv: KeyValue,
}
