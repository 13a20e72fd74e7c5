//! What a bundle says, as plain values.

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

/// What a service is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Kind {
    /// A model whose layers are spread over stages.
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

/// A customer: who it is and its share.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tenant {
    /// SHA-256 digests of its API keys, in hex. The keys themselves are never in a bundle.
    pub keys: BTreeSet<Arc<str>>,
    /// Its share of a contended service against the other customers.
    pub weight: u64,
    /// The most requests that one entry keeps in flight for it.
    pub max_in_flight: u64,
}

/// A service as it is offered to customers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Offer {
    /// Model or plain.
    pub kind: Kind,
    /// The number of layers of a model; 0 for a plain service.
    pub layers: u32,
    /// Smaller goes first.
    pub priority: u64,
    /// Who may use it; empty stands for every customer.
    pub customers: BTreeSet<Customer>,
    /// The HTTP methods that may be repeated.
    pub idempotent: BTreeSet<Arc<str>>,
    /// The longest that a request may wait before it starts.
    pub max_wait: Span,
    /// Bytes of one activation on a link.
    pub activation_bytes: u64,
}

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The service that it works for.
    pub service: Service,
    /// The address of its sidecar, IP number and port.
    pub address: Arc<str>,
    /// Where it is.
    pub zone: Zone,
    /// Its accelerator; `none` for plain services.
    pub accelerator: Accelerator,
    /// The layers that its engine holds; empty for plain services.
    pub layers: Range,
    /// How many requests it takes at a time.
    pub slots: u64,
    /// Whether new work may go to it.
    pub in_use: bool,
}

/// The speed of a kind of accelerator.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Layer-tokens a second at the plateau of the batch curve.
    pub layer_tokens: u64,
}

/// A link between two availability zones; it counts both ways.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Link {
    /// Bytes a second each way.
    pub bytes: u64,
    /// One-way latency in microseconds.
    pub latency_micros: u64,
}

/// All that operators say.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bundle {
    /// The operators' own number of this text.
    pub serial: u64,
    /// Consents that the blast-radius guard asks for, by name.
    pub consents: BTreeSet<Arc<str>>,
    /// By customer.
    pub customers: BTreeMap<Customer, Tenant>,
    /// By service.
    pub services: BTreeMap<Service, Offer>,
    /// By backend server.
    pub servers: BTreeMap<Server, Member>,
    /// By kind of accelerator.
    pub accelerators: BTreeMap<Accelerator, Capacity>,
    /// By pair of availability zones, the smaller name first.
    pub links: BTreeMap<(Zone, Zone), Link>,
}

impl Bundle {
    /// Returns the customer that an API key's digest belongs to.
    ///
    /// Linear in the customers: callers keep an index, see `blackboard`.
    #[must_use]
    pub fn customer_of(&self, key_digest: &str) -> Option<&Customer> {
        let owns = |tenant: &Tenant| tenant.keys.contains(key_digest);
        self.customers.iter().find(|(_, t)| owns(t)).map(|(c, _)| c)
    }

    /// Tells whether a customer may use a service.
    #[must_use]
    pub fn may_use(&self, customer: &Customer, service: &Service) -> bool {
        let Some(offer) = self.services.get(service) else {
            return false;
        };
        offer.customers.is_empty() || offer.customers.contains(customer)
    }

    /// Returns the link between two availability zones; within one, and where none is named, a
    /// link that never limits.
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
        let wanted = service.clone();
        let usable = move |member: &Member| member.in_use && member.service == wanted;
        self.servers.iter().filter(move |(_, m)| usable(m))
    }
}
