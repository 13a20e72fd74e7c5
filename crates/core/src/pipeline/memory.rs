//! How much memory an entry may hold for its callers and servers, and for whom.

use std::collections::BTreeMap;
use std::fmt;

use crate::number::numbers;
use crate::time::Instant;
use crate::time::Span;

numbers! {
    /// A number of bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::memory::Size;
    /// let size: Size = "4096".parse()?;
    /// assert_eq!(size, Size(4_096));
    /// assert_eq!(size.to_string(), "4096");
    /// # Ok::<(), std::num::ParseIntError>(())
    /// ```
    Size;
}

/// The memory of the smallest entry, assumed where the memory is unknown.
const DEFAULT_MEMORY: Size = Size(160_000_000);
/// The part of the memory that the budget gives out, in percent. The rest is for the program, the
/// buffers that each connection has, socket buffers and tables.
const CAPACITY_PERCENT: u64 = 40;
/// The part of the capacity that read-ahead and heads leave free, so that slow callers do not block new
/// requests: one in this many bytes.
const RESERVED_DIVISOR: u64 = 4;
/// The part of the capacity that a response may have that does not state its size: one in this many
/// bytes. A server that sends several at a time which never end must not take all of it.
const UNBOUNDED_DIVISOR: u64 = 16;
/// How long a caller must have taken nothing of the data that waits for it before it may be evicted.
/// Connections take data in large steps: a caller that reads 20 kB a second through a window of 64 kB
/// is seen to take something every seven seconds.
const MIN_IDLE: Span = Span(8_000);

/// Returns the memory of a machine, or of the smallest entry if it is unknown or zero.
pub(super) fn known(memory: Option<Size>) -> Size {
    let memory = memory.filter(|memory| memory.0 > 0);
    memory.unwrap_or(DEFAULT_MEMORY)
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// The part of a request's head that has arrived, beyond what each connection has room for.
    RequestHead,
    /// The part of a request body that has arrived.
    RequestBody,
    /// The part of a response that the caller has not taken.
    Response,
    /// What was read from a server while the caller was behind.
    ReadAhead,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 4] = [
        Self::RequestHead,
        Self::RequestBody,
        Self::Response,
        Self::ReadAhead,
    ];
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RequestHead => "request-head",
            Self::RequestBody => "request-body",
            Self::Response => "response",
            Self::ReadAhead => "read-ahead",
        })
    }
}

/// One holder of memory: a request with its connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Owner(u64);

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// There is no room in the memory budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no room for {size} bytes of {cause}")]
pub struct OutOfMemory {
    cause: Cause,
    size: Size,
    is_permanent: bool,
}

impl OutOfMemory {
    /// Returns whether the reservation would not fit even if nobody else held anything.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::memory::Cause;
    /// # use jujube_core::pipeline::memory::MemoryBudget;
    /// # use jujube_core::pipeline::memory::Size;
    /// # use jujube_core::time::Instant;
    /// let mut budget = MemoryBudget::new(Size(100));
    /// let owner = budget.open(Instant(0));
    /// let refused = budget.reserve(owner, Cause::RequestBody, Size(101));
    /// assert!(refused.is_err_and(|refused| refused.is_permanent()));
    /// ```
    #[must_use]
    pub fn is_permanent(&self) -> bool {
        self.is_permanent
    }
}

/// What one owner holds, and how its caller reads.
#[derive(Clone, Debug)]
struct Account {
    held: Held,
    /// When the caller last took bytes; at first, when the owner was opened.
    progressed: Instant,
    /// Since when data has been waiting for the caller.
    waiting: Option<Instant>,
}

impl Account {
    /// Returns how long the caller has taken nothing of the data that waits for it.
    fn idle(&self, now: Instant) -> Option<Span> {
        Some(now.since(self.waiting?.max(self.progressed)))
    }
}

/// The bytes held for each cause. Each is at most the capacity, and so is their sum.
#[derive(Clone, Copy, Debug, Default)]
struct Held([u64; Cause::ALL.len()]);

impl Held {
    fn of(&self, cause: Cause) -> u64 {
        self.0[cause as usize]
    }

    fn add(&mut self, cause: Cause, size: u64) {
        self.0[cause as usize] += size;
    }

    /// Subtracts a size that is at most what is held for the cause.
    fn subtract(&mut self, cause: Cause, size: u64) {
        self.0[cause as usize] -= size;
    }

    fn sum(&self) -> u64 {
        self.0.iter().sum()
    }
}

/// Decides which owner may hold how much memory, and who is evicted if there is not enough.
///
/// Request bodies and responses may use the whole capacity. Heads and read-ahead leave a quarter of it
/// free, and one owner may read ahead at most as much as is then still free for read-ahead: one slow
/// caller gets up to half, and each of n slow callers a share of 1/(n + 1).
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::memory::Cause;
/// # use jujube_core::pipeline::memory::MemoryBudget;
/// # use jujube_core::pipeline::memory::Size;
/// # use jujube_core::time::Instant;
/// let mut budget = MemoryBudget::new(Size(800));
/// let slow = budget.open(Instant(0));
/// assert!(budget.reserve(slow, Cause::ReadAhead, Size(301)).is_err());
/// assert!(budget.reserve(slow, Cause::ReadAhead, Size(300)).is_ok());
/// budget.set_waiting(Instant(0), slow, true);
///
/// let new = budget.open(Instant(1_000));
/// assert!(budget.reserve(new, Cause::RequestBody, Size(600)).is_err());
/// assert!(budget.evictable(Instant(7_999), Size(600)).is_empty());
/// assert_eq!(budget.evictable(Instant(8_000), Size(600)), [slow]);
/// budget.close(slow);
/// assert!(budget.reserve(new, Cause::RequestBody, Size(600)).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    capacity: Size,
    /// What may be held now, at most the capacity.
    limit: Size,
    /// What read-ahead leaves free at least, up to half of what may be held.
    spare: Size,
    accounts: BTreeMap<Owner, Account>,
    next: Owner,
    /// The sums over all accounts.
    held: Held,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is held.
    #[must_use]
    pub fn new(capacity: Size) -> Self {
        Self {
            capacity,
            limit: capacity,
            spare: Size(0),
            accounts: BTreeMap::new(),
            next: Owner(0),
            held: Held::default(),
        }
    }

    /// Sets how much read-ahead leaves free at least, up to half of what may be held.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::memory::Cause;
    /// # use jujube_core::pipeline::memory::MemoryBudget;
    /// # use jujube_core::pipeline::memory::Size;
    /// # use jujube_core::time::Instant;
    /// let mut budget = MemoryBudget::new(Size(800)).with_spare(Size(300));
    /// let slow = budget.open(Instant(0));
    /// assert!(budget.reserve(slow, Cause::ReadAhead, Size(251)).is_err());
    /// assert!(budget.reserve(slow, Cause::ReadAhead, Size(250)).is_ok());
    /// ```
    #[must_use]
    pub fn with_spare(self, spare: Size) -> Self {
        Self { spare, ..self }
    }

    /// Returns the part of a machine's memory that may be held for callers and servers. If the
    /// memory is unknown or zero, assumes that of the smallest entry.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::memory::MemoryBudget;
    /// # use jujube_core::pipeline::memory::Size;
    /// assert_eq!(MemoryBudget::capacity_of(None), Size(64_000_000));
    /// assert_eq!(MemoryBudget::capacity_of(Some(Size(1_000_000_000))), Size(400_000_000));
    /// ```
    #[must_use]
    pub fn capacity_of(memory: Option<Size>) -> Size {
        let memory = known(memory).0;
        Size(memory / 100 * CAPACITY_PERCENT + memory % 100 * CAPACITY_PERCENT / 100)
    }

    /// Returns the capacity.
    #[must_use]
    pub fn capacity(&self) -> Size {
        self.capacity
    }

    /// Sets how much may be held, at most the capacity, because others need the rest. What is held
    /// beyond it stays until it is released.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::memory::Cause;
    /// # use jujube_core::pipeline::memory::MemoryBudget;
    /// # use jujube_core::pipeline::memory::Size;
    /// # use jujube_core::time::Instant;
    /// let mut budget = MemoryBudget::new(Size(100));
    /// let owner = budget.open(Instant(0));
    /// budget.set_limit(Size(60));
    /// let refused = budget.reserve(owner, Cause::RequestBody, Size(61));
    /// assert!(refused.is_err_and(|refused| !refused.is_permanent()));
    /// ```
    pub fn set_limit(&mut self, limit: Size) {
        self.limit = limit.min(self.capacity);
    }

    /// Returns how much a response may have that does not state its size, and may never end.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::memory::MemoryBudget;
    /// # use jujube_core::pipeline::memory::Size;
    /// assert_eq!(MemoryBudget::new(Size(64_000_000)).unbounded_limit(), Size(4_000_000));
    /// ```
    #[must_use]
    pub fn unbounded_limit(&self) -> Size {
        Size(self.capacity.0 / UNBOUNDED_DIVISOR)
    }

    /// Opens an owner that holds nothing.
    pub fn open(&mut self, now: Instant) -> Owner {
        let owner = self.next;
        self.next = Owner(owner.0 + 1);
        let account = Account {
            held: Held::default(),
            progressed: now,
            waiting: None,
        };
        self.accounts.insert(owner, account);
        owner
    }

    /// Reserves memory for an owner.
    ///
    /// # Errors
    ///
    /// There is no room, or the owner was closed.
    pub fn reserve(&mut self, owner: Owner, cause: Cause, size: Size) -> Result<(), OutOfMemory> {
        let own = self.accounts.get(&owner).map(|account| account.held);
        let Some(own) = own.filter(|own| self.has_room(own, cause, size)) else {
            return Err(OutOfMemory {
                cause,
                size,
                is_permanent: self.never_fits(owner, cause, size),
            });
        };
        let mut held = own;
        held.add(cause, size.0);
        self.held.add(cause, size.0);
        self.set_held(owner, held);
        Ok(())
    }

    /// Releases memory that an owner holds for a cause. Does nothing if the owner holds less.
    pub fn release(&mut self, owner: Owner, cause: Cause, size: Size) {
        if let Some(held) = self.without(owner, cause, size) {
            self.held.subtract(cause, size.0);
            self.set_held(owner, held);
        }
    }

    /// Moves memory that an owner holds from one cause to another, without a change of the sum.
    ///
    /// Does nothing if the owner holds less, or if read-ahead would use the part of the capacity
    /// that it leaves free.
    pub fn transfer(&mut self, owner: Owner, from: Cause, to: Cause, size: Size) {
        let is_read_ahead = to == Cause::ReadAhead && from != to;
        let read_ahead = self.held.of(to).saturating_add(size.0);
        if is_read_ahead && read_ahead > self.read_ahead(self.limit) {
            return;
        }
        if let Some(mut held) = self.without(owner, from, size) {
            held.add(to, size.0);
            self.held.subtract(from, size.0);
            self.held.add(to, size.0);
            self.set_held(owner, held);
        }
    }

    /// Records that the caller of an owner has taken bytes.
    pub fn progressed(&mut self, now: Instant, owner: Owner) {
        if let Some(account) = self.accounts.get_mut(&owner) {
            account.progressed = now;
        }
    }

    /// Records whether data is waiting for an owner that its caller does not take.
    pub fn set_waiting(&mut self, now: Instant, owner: Owner, is_waiting: bool) {
        if let Some(account) = self.accounts.get_mut(&owner) {
            account.waiting = is_waiting.then(|| account.waiting.unwrap_or(now));
        }
    }

    /// Closes an owner and releases all that it holds.
    pub fn close(&mut self, owner: Owner) {
        if let Some(account) = self.accounts.remove(&owner) {
            for cause in Cause::ALL {
                self.held.subtract(cause, account.held.of(cause));
            }
        }
    }

    /// Returns how much all owners hold.
    #[must_use]
    pub fn held(&self) -> Size {
        Size(self.held.sum())
    }

    /// Returns how much all owners hold for a cause.
    #[must_use]
    pub fn held_for(&self, cause: Cause) -> Size {
        Size(self.held.of(cause))
    }

    /// Returns how much an owner holds.
    #[must_use]
    pub fn held_by(&self, owner: Owner) -> Size {
        let account = self.accounts.get(&owner);
        Size(account.map_or(0, |account| account.held.sum()))
    }

    /// Returns how long the caller of an owner has taken nothing of the data that waits for it;
    /// `None` if no data is waiting.
    #[must_use]
    pub fn idle(&self, now: Instant, owner: Owner) -> Option<Span> {
        self.accounts.get(&owner)?.idle(now)
    }

    /// Returns the owners to evict so that `size` fits, in the order of eviction: the one that was
    /// idle longest first, and of equally idle ones the one that holds most.
    ///
    /// Empty if `size` fits already, and if it would not fit after all evictions, which would then
    /// be of no use.
    #[must_use]
    pub fn evictable(&self, now: Instant, size: Size) -> Vec<Owner> {
        let free = self.limit.0.saturating_sub(self.held.sum());
        let mut missing = size.0.saturating_sub(free);
        let idle = self.accounts.iter().filter_map(|(owner, account)| {
            let idle = account.idle(now).filter(|idle| *idle >= MIN_IDLE)?;
            Some((idle, account.held.sum(), *owner))
        });
        let mut idle: Vec<_> = idle.filter(|(_, held, _)| *held > 0).collect();
        if missing > idle.iter().map(|(_, held, _)| held).sum() {
            return Vec::new();
        }
        idle.sort_unstable_by(|one, other| other.cmp(one));
        let evicted = idle.into_iter().take_while(|(_, held, _)| {
            let is_needed = missing > 0;
            missing = missing.saturating_sub(*held);
            is_needed
        });
        evicted.map(|(_, _, owner)| owner).collect()
    }

    fn has_room(&self, own: &Held, cause: Cause, size: Size) -> bool {
        let held = self.held.sum().saturating_add(size.0);
        match cause {
            Cause::RequestBody | Cause::Response => return held <= self.limit.0,
            Cause::RequestHead => return held <= yielding(self.limit),
            Cause::ReadAhead => {}
        }
        let free = self.read_ahead(self.limit).checked_sub(held);
        let own = own.of(cause).saturating_add(size.0);
        free.is_some_and(|free| own <= free)
    }

    /// Returns how much of a limit may be held if read-ahead is to grow.
    fn read_ahead(&self, limit: Size) -> u64 {
        let spare = self.spare.0.min(limit.0 / 2);
        yielding(limit).min(limit.0 - spare)
    }

    /// Returns whether a reservation would be refused even if nobody else held anything.
    fn never_fits(&self, owner: Owner, cause: Cause, size: Size) -> bool {
        match cause {
            // A body is kept until all of it has arrived.
            Cause::RequestBody => {
                let account = self.accounts.get(&owner);
                let own = account.map_or(0, |account| account.held.of(cause));
                own.saturating_add(size.0) > self.capacity.0
            }
            Cause::Response => size > self.capacity,
            Cause::RequestHead => size.0 > yielding(self.capacity),
            Cause::ReadAhead => size.0 > self.read_ahead(self.capacity) / 2,
        }
    }

    /// Returns what an owner would hold without some bytes; `None` if it holds less.
    fn without(&self, owner: Owner, cause: Cause, size: Size) -> Option<Held> {
        let mut held = self.accounts.get(&owner)?.held;
        if held.of(cause) < size.0 {
            return None;
        }
        held.subtract(cause, size.0);
        Some(held)
    }

    fn set_held(&mut self, owner: Owner, held: Held) {
        if let Some(account) = self.accounts.get_mut(&owner) {
            account.held = held;
        }
    }
}

/// Returns how much of a limit may be held if heads or read-ahead are to grow.
fn yielding(limit: Size) -> u64 {
    limit.0 - limit.0.div_ceil(RESERVED_DIVISOR)
}
