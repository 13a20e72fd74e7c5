//! The mapping between a platform's wire format and the entry's types.

use std::net::SocketAddr;

use anyhow::Result;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use jujube_core::fence::Token;
use jujube_core::layer::Range;
use jujube_core::name::Server as ServerName;
use jujube_core::pipeline::chooser::Demand;
use jujube_core::pipeline::document::Document;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::placement::Handover;
use jujube_core::pipeline::server::Server;
use jujube_core::pipeline::server::StartTime;
use jujube_store::kv::Value;

/// The names of headers.
#[derive(Clone, Debug)]
pub struct Names {
    /// The request ID.
    pub request: HeaderName,
    /// The remaining time of the caller, or of the entry, in milliseconds.
    pub deadline: HeaderName,
    /// The caller's API key.
    pub key: HeaderName,
    /// The customer that the API key belongs to, for the backend server.
    pub customer: HeaderName,
    /// The incarnation of the backend server that the request is meant for.
    pub expected_server: HeaderName,
    /// The name of the backend server that answers a health check.
    pub server: HeaderName,
    /// The weights version that the request is meant for.
    pub expected_weights: HeaderName,
    /// The request's path.
    pub path: HeaderName,
    /// The request's priority at the engine.
    pub priority: HeaderName,
    /// The signature of the backend server on its response.
    pub signature: HeaderName,
    /// Set by the backend server when it has not run the request.
    pub not_run: HeaderName,
    /// The address of the part of a path that caused a failure.
    pub server_at_fault: HeaderName,
    /// The limit that a backend server names, in requests per second from all entries together.
    pub limit: HeaderName,
    /// Set to 1 by a backend server that is leaving.
    pub leaving: HeaderName,
}

/// A decoded key of the store.
#[derive(Debug)]
pub enum Record {
    /// The current configuration.
    Configuration(Document),
    /// The registration of a backend server.
    Server(Server),
    /// A backend server's registration was removed.
    Removed(ServerName),
    /// A registration that cannot be decoded, and why.
    UnreadableServer(ServerName, anyhow::Error),
    /// Another followed value that cannot be decoded, and why.
    Unreadable(anyhow::Error),
    /// A key that the entry does not follow.
    Other,
}

/// An engine's status report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// How many orders it has accepted.
    pub orders: u64,
    /// KV memory in use, in tokens times layers.
    pub kv_used: f64,
    /// KV memory capacity, in tokens times layers.
    pub kv_capacity: f64,
    /// The layers that it holds, if reported.
    pub held: Option<Range>,
    /// The slowdown compared with normal speed, as a factor.
    pub slowness: f64,
    /// The start time by its own clock, if reported.
    pub born: Option<StartTime>,
}

/// Conversions between a platform's wire format and the router's types.
pub trait Dialect: Copy + Default + 'static {
    /// The names of headers.
    const NAMES: Names;
    /// The path of the platform's readiness check.
    const READY: &'static str;
    /// The path of an engine's report.
    const REPORT: &'static str;
    /// The path at which an engine accepts orders.
    const ORDER: &'static str;
    /// The key of the configuration.
    const CONFIGURATION: &'static str;
    /// The prefix of the keys of registrations.
    const SERVERS: &'static str;

    /// Decodes a key of the store; `value` is `None` if the key was removed.
    fn record(key: &str, value: Option<&Value>) -> Record;

    /// Decodes what a request needs from an engine.
    fn demand(headers: &HeaderMap) -> Option<Demand>;

    /// Decodes the identifiers of the parts of a request's prompt that other requests may share.
    fn shared_parts(headers: &HeaderMap) -> impl Iterator<Item = &str>;

    /// Encodes a path.
    fn path(path: &Path) -> String;

    /// Encodes an order to hold layers; `orders` is the number of orders that the engine must have
    /// accepted before it.
    fn place(layers: Range, handover: Handover, token: Token, orders: Option<u64>) -> Bytes;

    /// Encodes an order to continue a request along another path.
    fn repath(request: &str, path: &Path) -> Bytes;

    /// Decodes the part of a path that an engine names when it rejects the path.
    fn part_at_fault(body: &[u8]) -> Option<SocketAddr>;

    /// Decodes a status report.
    ///
    /// # Errors
    ///
    /// The report is malformed.
    fn report(body: &[u8]) -> Result<Report>;
}
