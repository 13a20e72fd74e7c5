//! The key-value service: compare-and-swap, leases and watches.

mod etcd;
mod feed;
mod json;
mod store;

pub use jujube_core::revision::Revision;

pub use etcd::Etcd;
pub use feed::Change;
pub use feed::Feed;
pub use feed::News;
pub use feed::Progress;
pub use feed::Value;
pub use json::Compare;
pub use json::Event;
pub use json::KeyValue;
pub use json::LeaseRequest;
pub use json::LeaseResponse;
pub use json::RangeRequest;
pub use json::RangeResponse;
pub use json::RequestOp;
pub use json::TxnRequest;
pub use json::TxnResponse;
pub use json::WatchCreate;
pub use json::WatchRequest;
pub use json::WatchResponse;
pub use json::WatchResult;
pub use json::decode;
pub use json::encode;
pub use json::prefix_end;
pub use store::Condition;
pub use store::Error;
pub use store::Lease;
pub use store::Pair;
pub use store::Store;
pub use store::Write;
