//! The operators' configuration, on platforms that store it as one document.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::utf8_percent_encode;

use crate::name::Customer;
use crate::name::Service;
use crate::number::numbers;
use crate::pipeline::host::Host;
use crate::pipeline::model::Model;
use crate::status;
use crate::time::Span;

numbers! {
    /// The version of a document, which only increases.
    Version;
}

/// How a route's requests may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// Responses are streams of events, which may continue on another server if the route is
    /// resumable.
    Stream,
}

/// A target of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its weight relative to the other targets.
    pub weight: u64,
}

/// A route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host name in requests.
    pub host: Arc<str>,
    /// The path prefix, which starts and ends with a slash.
    pub prefix: Arc<str>,
    /// How requests may be retried.
    pub kind: Kind,
    /// The maximum time to respond to a caller.
    pub timeout: Span,
    /// The latency objective for the response, or for the first event of a stream.
    pub latency_target: Span,
    /// The latency objective for the time between events.
    pub gap_target: Span,
    /// The priority relative to other routes; 0 is the highest.
    pub priority: u64,
    /// The targets among which requests are distributed.
    pub targets: Vec<Target>,
    /// The maximum number of backend servers on which one request may run.
    pub attempts: u64,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether a stream may continue on another backend server.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Returns whether a server's response with a status may be passed on although the server did not
    /// state that the request has not run.
    ///
    /// The caller of a request that may run once only repeats it after some statuses.
    #[must_use]
    pub fn may_forward(&self, status: u16) -> bool {
        self.may_repeat() || !status::promises_no_run(status)
    }

    /// Picks a target by weight; `draw` is a random number.
    #[must_use]
    pub fn pick_target(&self, draw: u64) -> Option<&Service> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut left = draw % total;
        for target in &self.targets {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        None
    }
}

/// What cannot stand in the target of a request. An escape of the configured path stays as it is.
const ESCAPED: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'<')
    .add(b'>')
    .add(b'\\')
    .add(b'^')
    .add(b'`')
    .add(b'{')
    .add(b'|')
    .add(b'}');

/// The path and query of health checks, as they can be sent.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::document::HealthPath;
/// assert_eq!(HealthPath::from("/healthz?a=%20").to_string(), "/healthz?a=%20");
/// assert_eq!(HealthPath::from("health check").to_string(), "/health%20check");
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HealthPath(Arc<str>);

impl HealthPath {
    /// Returns the path and query.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for HealthPath {
    fn from(text: &str) -> Self {
        let start = if text.starts_with('/') { "" } else { "/" };
        let rest = utf8_percent_encode(text, ESCAPED);
        Self(format!("{start}{rest}").into())
    }
}

impl fmt::Display for HealthPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The configuration of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// The maximum number of connections that a backend server accepts from all callers.
    pub connections: u64,
    /// The path of its backend servers' health checks, if known.
    pub health_path: Option<HealthPath>,
    /// The model, if the service runs one that is split by layers.
    pub model: Option<Arc<Model>>,
}

/// Limits on requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The maximum size of a request head in bytes.
    pub header_bytes: u64,
    /// The maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// The idle timeout of a connection.
    pub idle: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle: Span(15_000),
        }
    }
}

/// A customer and its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// The customer.
    pub customer: Customer,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
    /// Its priority, which overrides that of the route.
    pub priority: Option<u64>,
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Its version.
    pub version: Version,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: BTreeMap<Service, Backend>,
    /// Limits on requests and connections.
    pub limits: Limits,
    /// All customers, if requests need keys. If there are none, no key is valid.
    pub accounts: Option<Vec<Account>>,
}

/// A document with its lookup tables.
#[derive(Debug, Default)]
pub struct Table {
    /// The document.
    pub document: Document,
    routes: HashMap<Host, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, usize>,
}

impl Table {
    /// Builds the lookup tables of a document.
    #[must_use]
    pub fn new(document: Document) -> Self {
        let mut routes: HashMap<Host, Vec<Arc<Route>>> = HashMap::new();
        for route in &document.routes {
            let host = routes.entry(Host::from(&*route.host)).or_default();
            host.push(Arc::new(route.clone()));
        }
        for host in routes.values_mut() {
            // Longer prefixes take precedence.
            host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, account) in document.accounts.iter().flatten().enumerate() {
            for key in &account.keys {
                keys.insert(key.clone(), index);
            }
        }
        Self {
            document,
            routes,
            keys,
        }
    }

    /// Returns the route for a host and path. A route whose host has no port is for all ports.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::document::Document;
    /// # use jujube_core::pipeline::document::Table;
    /// let table = Table::new(Document::default());
    /// assert!(table.route("desk.example", "/notes/7").is_none());
    /// ```
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = Host::from(host);
        let routes = self.routes.get(&host);
        let routes = routes.or_else(|| self.routes.get(&host.without_port()))?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns whether requests need a key.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::document::Document;
    /// # use jujube_core::pipeline::document::Table;
    /// let without_customers = Document { accounts: Some(Vec::new()), ..Document::default() };
    /// let table = Table::new(without_customers);
    /// assert!(table.needs_key() && table.account("key-1").is_none());
    /// assert!(!Table::new(Document::default()).needs_key());
    /// ```
    #[must_use]
    pub fn needs_key(&self) -> bool {
        self.document.accounts.is_some()
    }

    /// Returns the account that a key belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let index = self.keys.get(key)?;
        self.document.accounts.as_ref()?.get(*index)
    }

    /// Returns the model of a service, if it runs one that is split by layers.
    #[must_use]
    pub fn model(&self, service: &Service) -> Option<&Arc<Model>> {
        self.document.services.get(service)?.model.as_ref()
    }
}
