//! The data model of a bundle.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::layer::Range;
use crate::name::Accelerator;
use crate::name::Customer;
use crate::name::Server;
use crate::name::Service;
use crate::name::Zone;
use crate::time::Span;

/// The kind of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Kind {
    /// A model whose layers are distributed over stages.
    #[default]
    Model,
    /// An HTTP service that a single backend server answers.
    Plain,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Model => "model",
            Self::Plain => "plain",
        })
    }
}

impl FromStr for Kind {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "model" => Ok(Self::Model),
            "plain" => Ok(Self::Plain),
            _ => Err("`model` or `plain`"),
        }
    }
}

/// The keys and limits of a customer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tenant {
    /// SHA-256 digests of its API keys, in hex; a bundle never contains the keys themselves.
    pub keys: BTreeSet<Arc<str>>,
    /// Its relative share of a contended service.
    pub weight: u64,
    /// The maximum number of its requests in flight at one entry.
    pub max_in_flight: u64,
}

/// The terms on which a service is offered to customers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Offer {
    /// The kind of the service.
    pub kind: Kind,
    /// The number of layers of a model; 0 for a plain service.
    pub layers: u32,
    /// The scheduling priority; smaller values go first.
    pub priority: u64,
    /// The customers that may use it; empty means all customers.
    pub customers: BTreeSet<Customer>,
    /// The HTTP methods that may be retried.
    pub idempotent: BTreeSet<Arc<str>>,
    /// The maximum queueing time of a request.
    pub max_wait: Span,
    /// The size of one activation on a link.
    pub activation_bytes: u64,
}

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The service that it belongs to.
    pub service: Service,
    /// The IP address and port of its sidecar.
    pub address: Arc<str>,
    /// Its availability zone.
    pub zone: Zone,
    /// Its accelerator; `none` for plain services.
    pub accelerator: Accelerator,
    /// The layers that its engine holds; empty for plain services.
    pub layers: Range,
    /// The maximum number of concurrent requests.
    pub slots: u64,
    /// Whether it may get new work.
    pub in_use: bool,
}

/// The speed of a kind of accelerator.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Layer-tokens per second at the batch size where throughput levels off.
    pub layer_tokens: u64,
}

/// A symmetric link between two availability zones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Link {
    /// Bytes per second in each direction.
    pub bytes: u64,
    /// One-way latency in microseconds.
    pub latency_micros: u64,
}

/// A complete configuration as written by operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bundle {
    /// The serial number that the operators give this text.
    pub serial: u64,
    /// Names of the consents to removals that [`guard`](super::guard) requires.
    pub consents: BTreeSet<Arc<str>>,
    /// The customers by name.
    pub customers: BTreeMap<Customer, Tenant>,
    /// The services by name.
    pub services: BTreeMap<Service, Offer>,
    /// The backend servers by name.
    pub servers: BTreeMap<Server, Member>,
    /// The capacities by kind of accelerator.
    pub accelerators: BTreeMap<Accelerator, Capacity>,
    /// The links by pair of availability zones, in alphabetical order.
    pub links: BTreeMap<(Zone, Zone), Link>,
}

impl Bundle {
    /// Returns the customer that an API key's digest belongs to.
    ///
    /// Takes time linear in the number of customers; the `blackboard` module keeps an index.
    #[must_use]
    pub fn customer_of(&self, key_digest: &str) -> Option<&Customer> {
        let owns = |tenant: &Tenant| tenant.keys.contains(key_digest);
        self.customers.iter().find(|(_, t)| owns(t)).map(|(c, _)| c)
    }

    /// Returns whether a customer may use a service.
    #[must_use]
    pub fn may_use(&self, customer: &Customer, service: &Service) -> bool {
        let Some(offer) = self.services.get(service) else {
            return false;
        };
        offer.customers.is_empty() || offer.customers.contains(customer)
    }

    /// Returns the link between two availability zones, or an unlimited link when none is
    /// configured.
    #[must_use]
    pub fn link(&self, from: &Zone, to: &Zone) -> Link {
        const UNLIMITED: Link = Link {
            bytes: u64::MAX,
            latency_micros: 0,
        };
        let pair = if from <= to { (from, to) } else { (to, from) };
        let pair = (pair.0.clone(), pair.1.clone());
        self.links.get(&pair).copied().unwrap_or(UNLIMITED)
    }

    /// Returns the backend servers of a service that may get new work.
    pub fn in_use(&self, service: &Service) -> impl Iterator<Item = (&Server, &Member)> {
        let service = service.clone();
        let usable = move |member: &Member| member.in_use && member.service == service;
        self.servers.iter().filter(move |(_, m)| usable(m))
    }
}
