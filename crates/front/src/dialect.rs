//! What a platform calls the things that the entry reads and writes.

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
    /// The identifier of a request.
    pub request: HeaderName,
    /// How many milliseconds the caller, or the entry, will wait.
    pub deadline: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The customer that the key belongs to, for the backend server.
    pub customer: HeaderName,
    /// The run of the backend server that the request is meant for.
    pub expected_server: HeaderName,
    /// The version of weights that the request is meant for.
    pub expected_weights: HeaderName,
    /// The request's path.
    pub path: HeaderName,
    /// The request's rank at the engine.
    pub rank: HeaderName,
    /// The backend server's signature of its answer.
    pub signature: HeaderName,
    /// The backend server's word that it has not run the request.
    pub not_run: HeaderName,
    /// The address of the part of a path that is at fault.
    pub server_at_fault: HeaderName,
}

/// One key of the store, decoded.
#[derive(Debug)]
pub enum Record {
    /// The newest configuration.
    Configuration(Document),
    /// A backend server is registered.
    Server(Server),
    /// A backend server's registration was removed.
    Removed(ServerName),
    /// A backend server's registration cannot be read, and why.
    UnreadableServer(ServerName, anyhow::Error),
    /// Another value that the entry follows cannot be read, and why.
    Unreadable(anyhow::Error),
    /// Nothing that the entry follows.
    Other,
}

/// An engine's report on itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Whether an order is being carried out.
    pub busy: bool,
    /// How many orders it has taken.
    pub orders: u64,
    /// Memory of requests in use, in tokens times layers.
    pub used: f64,
    /// Memory for requests in all, in tokens times layers.
    pub room: f64,
    /// The layers that it holds, where it tells them.
    pub held: Option<Range>,
    /// How many times slower than usual it is.
    pub slowness: f64,
    /// When it started, by its own clock; `None` where it does not tell.
    pub born: Option<StartTime>,
}

/// A platform's names, as functions between its wire and the router's types.
pub trait Dialect: Copy + Default + 'static {
    /// The headers.
    const NAMES: Names;
    /// The path at which the platform asks whether callers may be sent here.
    const READY: &'static str;
    /// The path of an engine's report.
    const REPORT: &'static str;
    /// The path at which an engine takes orders.
    const ORDER: &'static str;

    /// Decodes a key of the store; `value` is `None` where it was removed.
    fn record(key: &str, value: Option<&Value>) -> Record;

    /// Reads what a request needs of an engine.
    fn need(headers: &HeaderMap) -> Option<Demand>;

    /// Writes a path.
    fn path(path: &Path) -> String;

    /// Writes the order to hold layers; `orders` is how many the engine must have taken before.
    fn place(layers: Range, handover: Handover, token: Token, orders: Option<u64>) -> Bytes;

    /// Writes the order to carry a request on along another path.
    fn repath(request: &str, path: &Path) -> Bytes;

    /// Reads which part of a path the engine names when it refuses to take the path.
    fn part_at_fault(body: &[u8]) -> Option<SocketAddr>;

    /// Reads a report.
    ///
    /// # Errors
    ///
    /// It is malformed.
    fn report(body: &[u8]) -> Result<Report>;
}
