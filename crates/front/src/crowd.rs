//! The places of callers' connections and requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::pipeline::crowd;
use jujube_core::pipeline::crowd::Visitor;
use jujube_core::pipeline::memory::Size;
use jujube_core::pipeline::total::Part;
use jujube_core::pipeline::total::Total;
use tokio::sync::Notify;

/// How long a new connection waits for the place of one that is asked to close.
const HANDOVER_TIME: Duration = Duration::from_millis(100);

/// The connections and requests at this entry.
#[derive(Clone)]
pub struct Crowd(Rc<Shared>);

struct Shared {
    crowd: RefCell<crowd::Crowd>,
    /// What is held beside it.
    total: Rc<RefCell<Total>>,
    /// The connections without a request, in the order in which they came to rest.
    resting: RefCell<BTreeMap<u64, Rc<Notify>>>,
    /// How often a connection came to rest.
    rests: Cell<u64>,
    /// The new connections that wait for a place, and what tells the first of them that one is free.
    waiting: Cell<u64>,
    freed: Notify,
}

impl Crowd {
    /// Creates the crowd of an entry on a machine with this memory.
    pub fn new(memory: Option<Size>) -> Self {
        Self(Rc::new(Shared {
            crowd: RefCell::new(crowd::Crowd::new(memory)),
            total: Rc::new(RefCell::new(Total::of(memory))),
            resting: RefCell::default(),
            rests: Cell::default(),
            waiting: Cell::default(),
            freed: Notify::new(),
        }))
    }

    /// Limits the crowd by the descriptors that it may have.
    pub fn limit_descriptors(&self, descriptors: u64) {
        let mut crowd = self.0.crowd.borrow_mut();
        *crowd = crowd.with_descriptors(descriptors);
    }

    /// Takes a place for a connection; `None` if there is none, or others wait for one.
    pub fn connect(&self) -> Option<Place> {
        let is_free = self.0.waiting.get() == 0;
        is_free.then(|| self.admit(Visitor::Connection)).flatten()
    }

    /// Takes a place; `None` if there is none.
    pub fn admit(&self, visitor: Visitor) -> Option<Place> {
        let mut crowd = self.0.crowd.borrow_mut();
        let mut total = self.0.total.borrow_mut();
        crowd.set_limit(total.limit(Part::Places));
        let is_admitted = crowd.admit(visitor);
        total.record(Part::Places, crowd.held());
        is_admitted.then(|| Place {
            crowd: self.clone(),
            visitor,
        })
    }

    /// Takes the place of the connection that has been at rest for longest; `None` if none is at rest, or
    /// it gets a request at the same time.
    pub async fn displace(&self) -> Option<Place> {
        let (_, longest) = self.0.resting.borrow_mut().pop_first()?;
        longest.notify_one();
        self.0.waiting.set(self.0.waiting.get() + 1);
        let handover = async {
            loop {
                if let Some(place) = self.admit(Visitor::Connection) {
                    return place;
                }
                self.0.freed.notified().await;
            }
        };
        let place = tokio::time::timeout(HANDOVER_TIME, handover).await.ok();
        self.0.waiting.set(self.0.waiting.get() - 1);
        place
    }

    /// Returns what connections and requests hold together with others.
    pub fn total(&self) -> &Rc<RefCell<Total>> {
        &self.0.total
    }

    /// Returns how things stand.
    pub fn view(&self) -> crowd::Crowd {
        *self.0.crowd.borrow()
    }
}

/// A place, which is given back on drop.
pub struct Place {
    crowd: Crowd,
    visitor: Visitor,
}

impl Place {
    /// Returns the record of whether the connection that has this place is at rest. It is at first.
    pub fn rest(&self) -> Rest {
        let rest = Rest {
            crowd: self.crowd.clone(),
            number: Cell::default(),
            asked: Rc::default(),
        };
        rest.begin();
        rest
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let Shared {
            crowd,
            total,
            freed,
            ..
        } = &*self.crowd.0;
        let mut crowd = crowd.borrow_mut();
        crowd.leave(self.visitor);
        total.borrow_mut().record(Part::Places, crowd.held());
        if self.visitor == Visitor::Connection {
            freed.notify_one();
        }
    }
}

/// Whether a connection is at rest: it may then be asked to close in favour of a new one.
pub struct Rest {
    crowd: Crowd,
    number: Cell<Option<u64>>,
    asked: Rc<Notify>,
}

impl Rest {
    /// Records that the connection has no request.
    pub fn begin(&self) {
        self.end();
        let Shared { resting, rests, .. } = &*self.crowd.0;
        let number = rests.get() + 1;
        rests.set(number);
        resting.borrow_mut().insert(number, self.asked.clone());
        self.number.set(Some(number));
    }

    /// Records that a request arrives, or is served.
    pub fn end(&self) {
        if let Some(number) = self.number.take() {
            self.crowd.0.resting.borrow_mut().remove(&number);
        }
    }

    /// Waits until the connection is asked to close.
    pub async fn displaced(&self) {
        self.asked.notified().await;
    }
}

impl Drop for Rest {
    fn drop(&mut self) {
        self.end();
    }
}
