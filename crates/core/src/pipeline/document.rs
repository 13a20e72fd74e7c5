//! The operators' configuration on a platform that keeps it as one document.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::name::Customer;
use crate::name::Service;
use crate::number::numbers;
use crate::pipeline::model::Model;
use crate::time::Span;

numbers! {
    /// The version of a document; it only grows.
    Version;
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// Answered by events; may be continued elsewhere only where the route says so.
    Stream,
}

/// One target of a route and its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its share against the other targets' weights.
    pub weight: u64,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: Arc<str>,
    /// The start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest that a caller is kept waiting.
    pub timeout: Span,
    /// The time within which an answer, or its first event, is on time.
    pub latency_target: Span,
    /// The longest pause between events of an answer that is on time.
    pub gap_target: Span,
    /// Rank against other routes; 0 goes first.
    pub priority: u64,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// The most backend servers that one request may run on.
    pub attempts: u64,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether a stream may be continued at another backend server.
    pub resumable: bool,
}

impl Route {
    /// Tells whether a request may run more than once.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
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

/// What a service needs from the router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// The most connections that one backend server accepts from all callers.
    pub connections: u64,
    /// The model, where the service runs one spread by layers.
    pub model: Option<Arc<Model>>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The most bytes of a head.
    pub header_bytes: u64,
    /// The most bytes of a body.
    pub body_bytes: u64,
    /// How long a connection may idle.
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

/// A customer with its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// The customer.
    pub customer: Customer,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
    /// Its rank, where it goes before the route's.
    pub priority: Option<u64>,
}

/// A whole configuration as it is read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Its version.
    pub version: Version,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: BTreeMap<Service, Backend>,
    /// What callers may send.
    pub limits: Limits,
    /// All customers; where there are none, no keys are asked for.
    pub accounts: Vec<Account>,
}

/// A document with its look-up tables.
#[derive(Debug, Default)]
pub struct Table {
    /// The document.
    pub document: Document,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, usize>,
}

impl Table {
    /// Builds the tables of a document.
    #[must_use]
    pub fn new(document: Document) -> Self {
        let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &document.routes {
            let host = routes.entry(route.host.clone()).or_default();
            host.push(Arc::new(route.clone()));
        }
        for host in routes.values_mut() {
            // The longest prefix is found first.
            host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, account) in document.accounts.iter().enumerate() {
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

    /// Returns the route of a host and path.
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
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Tells whether callers need keys.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.document.accounts.is_empty()
    }

    /// Returns whose key this is.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let index = self.keys.get(key)?;
        self.document.accounts.get(*index)
    }

    /// Returns the model of a service, if it runs one spread by layers.
    #[must_use]
    pub fn model(&self, service: &Service) -> Option<&Arc<Model>> {
        self.document.services.get(service)?.model.as_ref()
    }
}
