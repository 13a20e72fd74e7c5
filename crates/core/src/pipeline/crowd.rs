//! How many callers' connections and requests an entry takes at the same time, by the memory that each
//! of them uses besides its bytes.

use crate::pipeline::memory::Size;
use crate::pipeline::share::besides_program;

/// The part of a machine's memory for the program itself, connections and requests, in percent.
const SHARE_PERCENT: u64 = 30;
/// The part of a machine's memory for connections and requests at least, in percent.
const MIN_PERCENT: u64 = 10;
/// The part of the capacity that connections leave to requests: one in this many bytes. Callers that
/// keep connections open must not block those that send requests.
const REQUESTS_DIVISOR: u64 = 8;

/// What an open connection uses: the buffers of the HTTP library and of its tasks.
const CONNECTION: Size = Size(16 << 10);
/// What a request in flight uses besides its body: its own state, and a connection to a server.
const REQUEST: Size = Size(30 << 10);
/// How much memory keeps one byte of a head: the buffer that it was read into grows by doubling.
const BYTES_PER_HEAD_BYTE: u64 = 2;

/// What takes a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Visitor {
    /// A caller's connection.
    Connection,
    /// A request in flight with a head of this size.
    Request(Size),
}

impl Visitor {
    /// Returns the memory that it uses.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::crowd::Visitor;
    /// # use jujube_core::pipeline::memory::Size;
    /// let (small, large) = (Visitor::Request(Size(100)), Visitor::Request(Size(15_000)));
    /// assert_eq!(large.size().0 - small.size().0, 2 * 14_900);
    /// ```
    #[must_use]
    pub fn size(self) -> Size {
        match self {
            Self::Connection => CONNECTION,
            Self::Request(head) => {
                let head = head.0.saturating_mul(BYTES_PER_HEAD_BYTE);
                Size(REQUEST.0.saturating_add(head))
            }
        }
    }
}

/// The connections and requests at an entry.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::crowd::Crowd;
/// # use jujube_core::pipeline::crowd::Visitor;
/// # use jujube_core::pipeline::memory::Size;
/// let mut crowd = Crowd::new(Some(Size(60_000_000)));
/// assert_eq!(crowd.capacity(), Size(10_000_000));
/// let connections = (0..1_000).filter(|_| crowd.admit(Visitor::Connection)).count();
/// assert_eq!(connections, 534);
/// assert!(crowd.admit(Visitor::Request(Size(500))), "connections leave room for requests");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    capacity: Size,
    /// What may be used now, at most the capacity.
    limit: Size,
    held: Size,
    connections: u64,
    /// How many connections and requests there may be, with a descriptor each.
    descriptors: u64,
    requests: u64,
}

impl Crowd {
    /// Creates the crowd of an entry on a machine with this memory. If it is unknown or zero, assumes
    /// that of the smallest entry.
    #[must_use]
    pub fn new(memory: Option<Size>) -> Self {
        let capacity = besides_program(memory, SHARE_PERCENT, MIN_PERCENT);
        Self {
            capacity,
            limit: capacity,
            held: Size(0),
            connections: 0,
            descriptors: u64::MAX,
            requests: 0,
        }
    }

    /// Limits the crowd to this many descriptors: a connection takes one, and a request takes another for
    /// a connection to a server.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::crowd::Crowd;
    /// # use jujube_core::pipeline::crowd::Visitor;
    /// # use jujube_core::pipeline::memory::Size;
    /// let mut crowd = Crowd::new(Some(Size(260_000_000))).with_descriptors(192);
    /// let connections = (0..256).filter(|_| crowd.admit(Visitor::Connection)).count();
    /// assert_eq!(connections, 168);
    /// let requests = (0..256).filter(|_| crowd.admit(Visitor::Request(Size(0)))).count();
    /// assert_eq!(requests, 24);
    /// ```
    #[must_use]
    pub fn with_descriptors(self, descriptors: u64) -> Self {
        Self {
            descriptors,
            ..self
        }
    }

    /// Returns the memory for connections and requests.
    #[must_use]
    pub fn capacity(&self) -> Size {
        self.capacity
    }

    /// Sets how much connections and requests may use, at most the capacity, because others need the
    /// rest. Those beyond it stay until they leave.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::crowd::Crowd;
    /// # use jujube_core::pipeline::crowd::Visitor;
    /// # use jujube_core::pipeline::memory::Size;
    /// let mut crowd = Crowd::new(None);
    /// crowd.set_limit(Size(100));
    /// assert!(!crowd.admit(Visitor::Connection));
    /// ```
    pub fn set_limit(&mut self, limit: Size) {
        self.limit = limit.min(self.capacity);
    }

    /// Returns the memory that connections and requests use.
    #[must_use]
    pub fn held(&self) -> Size {
        self.held
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.connections
    }

    /// Takes a place, which is to be given back by [`Crowd::leave`]; returns whether there is one.
    pub fn admit(&mut self, visitor: Visitor) -> bool {
        let held = self.held.0.saturating_add(visitor.size().0);
        let descriptors = self.connections + self.requests + 1;
        let part = |all: u64| match visitor {
            Visitor::Connection => all - all / REQUESTS_DIVISOR,
            Visitor::Request(_) => all,
        };
        if held > part(self.limit.0) || descriptors > part(self.descriptors) {
            return false;
        }
        self.held = Size(held);
        *self.count(visitor) += 1;
        true
    }

    /// Gives a place back.
    pub fn leave(&mut self, visitor: Visitor) {
        self.held = Size(self.held.0.saturating_sub(visitor.size().0));
        let count = self.count(visitor);
        *count = count.saturating_sub(1);
    }

    fn count(&mut self, visitor: Visitor) -> &mut u64 {
        match visitor {
            Visitor::Connection => &mut self.connections,
            Visitor::Request(_) => &mut self.requests,
        }
    }
}
