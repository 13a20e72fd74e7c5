//! The memory budget of an entry, as its tasks use it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::MemoryBudget;
use jujube_core::pipeline::memory::OutOfMemory;
use jujube_core::pipeline::memory::Owner;
use jujube_core::pipeline::memory::Size;
use jujube_core::pipeline::total::Part;
use jujube_core::pipeline::total::Total;
use jujube_core::time::Span;
use jujube_program::clock;
use tokio::sync::Notify;

/// How long a wait for room takes at least. Each release wakes all that wait, which may be hundreds
/// of slow callers, and with busy callers there are thousands of releases a second.
const MIN_ROOM_WAIT: Duration = Duration::from_millis(25);
/// How long a wait for room takes at most. Callers that take nothing become evictable without a
/// release that would end the wait.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(500);

/// What read-ahead leaves free for one event of each of some hundred callers, which are not known to take
/// nothing before they have it.
const EVENTS: Size = Size(32_000_000);

/// What kept data needs besides its bytes.
const OVERHEAD: u64 = 64;

/// Returns data that keeps no more memory than [`kept_size`] of it.
///
/// What arrives shares a read buffer that is larger, also one of 16 KiB with nothing else: events of 98
/// bytes would use 42 times what is counted.
pub fn detach(bytes: &Bytes) -> Bytes {
    Bytes::copy_from_slice(bytes)
}

/// Returns how much memory data uses while it is kept.
pub fn kept_size(bytes: &Bytes) -> Size {
    Size(bytes.len() as u64 + OVERHEAD)
}

/// The memory that is held for callers and servers.
pub struct Memory {
    budget: RefCell<MemoryBudget>,
    /// What is held beside it, if that limits it.
    total: Option<Rc<RefCell<Total>>>,
    /// The number of releases so far.
    releases: Cell<u64>,
    released: Notify,
    evictions: RefCell<BTreeMap<Owner, Rc<Eviction>>>,
}

/// Tells one owner that it was evicted.
#[derive(Default)]
struct Eviction {
    evicted: Cell<Option<Evicted>>,
    happened: Notify,
}

/// An owner was evicted; its connection has to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Evicted {
    /// How long its caller had taken nothing.
    pub idle: Span,
    /// What it held.
    pub held: Size,
}

impl Memory {
    /// Creates a budget of which nothing is held.
    pub fn new(capacity: Size) -> Self {
        Self {
            budget: RefCell::new(MemoryBudget::new(capacity)),
            total: None,
            releases: Cell::new(0),
            released: Notify::new(),
            evictions: RefCell::default(),
        }
    }

    /// Limits the budget to what others leave of a total, and has read-ahead leave room for events.
    pub fn within(self, total: Rc<RefCell<Total>>) -> Self {
        let budget = self.budget.into_inner().with_spare(EVENTS);
        Self {
            budget: RefCell::new(budget),
            total: Some(total),
            ..self
        }
    }

    /// Opens an owner that holds nothing.
    pub fn open(memory: &Rc<Self>) -> Reservation {
        let owner = memory.budget.borrow_mut().open(clock::now());
        let eviction = Rc::new(Eviction::default());
        let mut evictions = memory.evictions.borrow_mut();
        evictions.insert(owner, eviction.clone());
        Reservation {
            memory: memory.clone(),
            owner,
            eviction,
            releases_at_refusal: Cell::new(0),
        }
    }

    /// Returns the capacity.
    pub fn capacity(&self) -> Size {
        self.budget.borrow().capacity()
    }

    /// Returns how much all owners hold for a cause.
    pub fn held_for(&self, cause: Cause) -> Size {
        self.budget.borrow().held_for(cause)
    }

    /// Evicts owners so that `size` fits for `owner`; returns whether any was evicted.
    ///
    /// An owner that would have to be evicted itself gets nothing, and nobody is evicted: the callers
    /// of the others have waited less long.
    fn make_room(&self, owner: Owner, size: Size) -> bool {
        let now = clock::now();
        let evictable = self.budget.borrow().evictable(now, size);
        if evictable.is_empty() || evictable.contains(&owner) {
            return false;
        }
        for evicted in evictable {
            self.evict(evicted);
        }
        true
    }

    fn evict(&self, owner: Owner) {
        let budget = self.budget.borrow();
        let evicted = Evicted {
            idle: budget.idle(clock::now(), owner).unwrap_or_default(),
            held: budget.held_by(owner),
        };
        drop(budget);
        if let Some(eviction) = self.evictions.borrow().get(&owner) {
            eviction.evicted.set(Some(evicted));
            eviction.happened.notify_waiters();
        }
        self.close(owner);
    }

    fn reserve(&self, owner: Owner, cause: Cause, size: Size) -> Result<(), OutOfMemory> {
        let mut budget = self.budget.borrow_mut();
        if let Some(total) = &self.total {
            budget.set_limit(total.borrow().limit(Part::Bytes));
        }
        let reserved = budget.reserve(owner, cause, size);
        self.record(&budget);
        reserved
    }

    /// Records what is held in the total.
    fn record(&self, budget: &MemoryBudget) {
        if let Some(total) = &self.total {
            total.borrow_mut().record(Part::Bytes, budget.held());
        }
    }

    fn close(&self, owner: Owner) {
        let mut budget = self.budget.borrow_mut();
        let held = budget.held_by(owner);
        budget.close(owner);
        self.record(&budget);
        drop(budget);
        self.evictions.borrow_mut().remove(&owner);
        self.notify_released(held);
    }

    fn notify_released(&self, size: Size) {
        if size > Size(0) {
            self.releases.set(self.releases.get() + 1);
            self.released.notify_waiters();
        }
    }
}

/// The memory of one owner: a request with its connection. All of it is released on drop.
///
/// An owner that was evicted holds nothing, and every reservation of it is refused.
pub struct Reservation {
    memory: Rc<Memory>,
    owner: Owner,
    eviction: Rc<Eviction>,
    /// The number of releases by all owners when a reservation was last refused.
    releases_at_refusal: Cell<u64>,
}

impl Reservation {
    /// Reserves memory. If there is no room for a request body or a response, evicts owners whose
    /// callers take nothing; heads and read-ahead evict nobody.
    ///
    /// # Errors
    ///
    /// There is no room, or this owner was evicted.
    pub fn reserve(&self, cause: Cause, size: Size) -> Result<(), OutOfMemory> {
        let reserve = || self.memory.reserve(self.owner, cause, size);
        let mut reserved = reserve();
        let may_evict =
            !matches!(cause, Cause::ReadAhead | Cause::RequestHead) && !self.is_evicted();
        if reserved.is_err() && may_evict && self.memory.make_room(self.owner, size) {
            reserved = reserve();
        }
        if reserved.is_err() {
            self.releases_at_refusal.set(self.memory.releases.get());
        }
        reserved
    }

    /// Reserves memory that is free, and evicts nobody for it.
    ///
    /// # Errors
    ///
    /// There is no room, or this owner was evicted.
    pub fn reserve_free(&self, cause: Cause, size: Size) -> Result<(), OutOfMemory> {
        self.memory.reserve(self.owner, cause, size)
    }

    /// Releases memory that is held for a cause. Does nothing if less is held.
    pub fn release(&self, cause: Cause, size: Size) {
        let mut budget = self.memory.budget.borrow_mut();
        let held = budget.held();
        budget.release(self.owner, cause, size);
        let released = Size(held.0 - budget.held().0);
        self.memory.record(&budget);
        drop(budget);
        self.memory.notify_released(released);
    }

    /// Moves memory from one cause to another. Does nothing if less is held, or if read-ahead would
    /// use the part of the capacity that it leaves free.
    pub fn transfer(&self, from: Cause, to: Cause, size: Size) {
        let mut budget = self.memory.budget.borrow_mut();
        budget.transfer(self.owner, from, to, size);
    }

    /// Records that the caller has taken bytes.
    pub fn progressed(&self) {
        let mut budget = self.memory.budget.borrow_mut();
        budget.progressed(clock::now(), self.owner);
    }

    /// Records whether data is waiting that the caller does not take.
    pub fn set_waiting(&self, is_waiting: bool) {
        let mut budget = self.memory.budget.borrow_mut();
        budget.set_waiting(clock::now(), self.owner, is_waiting);
    }

    /// Returns how much a response may have that does not state its size.
    pub fn unbounded_limit(&self) -> Size {
        self.memory.budget.borrow().unbounded_limit()
    }

    /// Returns how much this owner holds.
    pub fn held(&self) -> Size {
        self.memory.budget.borrow().held_by(self.owner)
    }

    /// Waits until something was released, by any owner, since a reservation was last refused, or owners
    /// may have become evictable.
    pub async fn room(&self) {
        tokio::time::sleep(MIN_ROOM_WAIT).await;
        let released = self.memory.released.notified();
        if self.memory.releases.get() == self.releases_at_refusal.get() {
            let _is_released = tokio::time::timeout(MAX_ROOM_WAIT, released).await;
        }
    }

    /// Waits until this owner is evicted. Its connection has to end then.
    pub async fn evicted(&self) -> Evicted {
        loop {
            let happened = self.eviction.happened.notified();
            if let Some(evicted) = self.eviction.evicted.get() {
                return evicted;
            }
            happened.await;
        }
    }

    /// Returns how this owner was evicted, if it was.
    pub fn eviction(&self) -> Option<Evicted> {
        self.eviction.evicted.get()
    }

    fn is_evicted(&self) -> bool {
        self.eviction().is_some()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.close(self.owner);
    }
}
