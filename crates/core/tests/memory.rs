//! The memory budget against a plain model that keeps a list of all bytes.

#![allow(clippy::unwrap_used, reason = "a test that fails must panic")]

use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::MemoryBudget;
use jujube_core::pipeline::memory::Owner;
use jujube_core::pipeline::memory::Size;
use jujube_core::time::Instant;
use proptest::prelude::*;

/// How long a caller must have taken nothing before it may be evicted, in milliseconds.
const MIN_IDLE_MS: u64 = 8_000;

/// One call of the budget. Owners are indexes into the list of all that were opened, also those
/// that were closed since.
#[derive(Clone, Debug)]
enum Event {
    Open,
    Reserve(usize, Cause, u64),
    Release(usize, Cause, u64),
    Transfer(usize, Cause, Cause, u64),
    Progressed(usize),
    SetWaiting(usize, bool),
    Close(usize),
    /// Evicts owners so that a size fits, and reserves it for a new owner.
    Evict(u64),
    Pass(u64),
}

fn cause() -> impl Strategy<Value = Cause> {
    proptest::sample::select(Cause::ALL.to_vec())
}

fn event() -> impl Strategy<Value = Event> {
    // Mostly few owners, so that one of them often holds enough for a release or a transfer.
    let owner = || prop_oneof![4 => 0_usize..4, 1 => 0_usize..24];
    let size = || prop_oneof![16 => 0_u64..40, 6 => 0_u64..300, 1 => Just(u64::MAX)];
    prop_oneof![
        3 => Just(Event::Open),
        8 => (owner(), cause(), size()).prop_map(|(o, c, s)| Event::Reserve(o, c, s)),
        4 => (owner(), cause(), size()).prop_map(|(o, c, s)| Event::Release(o, c, s)),
        4 => (owner(), cause(), cause(), size())
            .prop_map(|(o, from, to, s)| Event::Transfer(o, from, to, s)),
        2 => owner().prop_map(Event::Progressed),
        4 => (owner(), any::<bool>()).prop_map(|(o, is)| Event::SetWaiting(o, is)),
        1 => owner().prop_map(Event::Close),
        1 => size().prop_map(Event::Evict),
        3 => (0_u64..6_000).prop_map(Event::Pass),
    ]
}

/// How the caller of one owner reads.
struct Caller {
    owner: Owner,
    is_open: bool,
    progressed: u64,
    waiting_since: Option<u64>,
}

/// Every byte that is held, with its owner and its cause.
struct Model {
    capacity: u64,
    now: u64,
    callers: Vec<Caller>,
    bytes: Vec<(Owner, Cause)>,
}

impl Model {
    fn count(&self, is_counted: impl Fn(Owner, Cause) -> bool) -> u64 {
        let counted = self.bytes.iter();
        counted.filter(|(o, cause)| is_counted(*o, *cause)).count() as u64
    }

    fn held_by(&self, owner: Owner) -> u64 {
        self.count(|other, _| other == owner)
    }

    fn may_hold(&self, caller: &Caller, cause: Cause, size: u64) -> bool {
        let held = (self.bytes.len() as u64).saturating_add(size);
        if !caller.is_open || held > self.capacity {
            return false;
        }
        let own = size + self.count(|other, of| other == caller.owner && of == cause);
        let usable = self.capacity - self.capacity.div_ceil(4);
        match cause {
            Cause::RequestBody | Cause::Response => true,
            Cause::RequestHead => held <= usable,
            Cause::ReadAhead => own + held <= usable,
        }
    }

    fn remove(&mut self, owner: Owner, cause: Cause, size: u64) {
        for _ in 0..size {
            let found = self.bytes.iter().position(|byte| *byte == (owner, cause));
            self.bytes.remove(found.unwrap());
        }
    }

    fn add(&mut self, owner: Owner, cause: Cause, size: u64) {
        self.bytes.extend((0..size).map(|_| (owner, cause)));
    }

    fn close(&mut self, owner: Owner) {
        self.bytes.retain(|(other, _)| *other != owner);
        let closed = self.callers.iter_mut();
        closed
            .filter(|caller| caller.owner == owner)
            .for_each(|caller| caller.is_open = false);
    }

    /// Returns the owners that may be evicted, with how long they were idle and what they hold.
    fn idle(&self) -> Vec<(u64, u64, Owner)> {
        let open = self.callers.iter().filter(|caller| caller.is_open);
        let idle = open.filter_map(|caller| {
            let since = caller.waiting_since?.max(caller.progressed);
            let held = self.held_by(caller.owner);
            let is_idle = self.now - since >= MIN_IDLE_MS && held > 0;
            is_idle.then_some((self.now - since, held, caller.owner))
        });
        idle.collect()
    }
}

fn check_sums(budget: &MemoryBudget, model: &Model) -> Result<(), TestCaseError> {
    let held = budget.held();
    prop_assert!(held.0 <= model.capacity, "beyond the capacity");
    prop_assert_eq!(held, Size(model.bytes.len() as u64));
    let of_causes = Cause::ALL.map(|cause| budget.held_for(cause).0);
    prop_assert_eq!(of_causes.iter().sum::<u64>(), held.0);
    for cause in Cause::ALL {
        prop_assert_eq!(budget.held_for(cause).0, model.count(|_, of| of == cause));
    }
    for caller in &model.callers {
        prop_assert_eq!(budget.held_by(caller.owner).0, model.held_by(caller.owner));
    }
    let usable = model.capacity - model.capacity.div_ceil(4);
    prop_assert!(budget.held_for(Cause::ReadAhead).0 <= usable, "the reserve");
    Ok(())
}

/// Checks that the owners to evict are those that were idle longest and as few as are needed.
fn check_evictable(evicted: &[Owner], model: &Model, size: u64) -> Result<(), TestCaseError> {
    let idle = model.idle();
    let free = model.capacity - model.bytes.len() as u64;
    let obtainable: u64 = idle.iter().map(|(_, held, _)| held).sum();
    if size <= free || free + obtainable < size {
        prop_assert!(evicted.is_empty(), "an eviction that is of no use");
        return Ok(());
    }
    let key = |owner: &Owner| idle.iter().find(|(_, _, other)| other == owner).copied();
    let keys: Option<Vec<_>> = evicted.iter().map(key).collect();
    prop_assert!(keys.is_some(), "a caller that reads would be evicted");
    let keys: Vec<_> = keys
        .unwrap()
        .iter()
        .map(|(idle, held, _)| (*idle, *held))
        .collect();
    prop_assert!(keys.is_sorted_by(|one, next| one >= next), "order");
    let last = keys.last().copied().unwrap();
    let kept = idle.iter().filter(|(_, _, owner)| !evicted.contains(owner));
    let mut kept = kept.map(|(idle, held, _)| (*idle, *held));
    prop_assert!(kept.all(|key| key <= last), "another had to be first");
    let freed: u64 = keys.iter().map(|(_, held)| held).sum();
    prop_assert!(
        free + freed >= size && free + freed - last.1 < size,
        "as few as needed"
    );
    Ok(())
}

fn apply(budget: &mut MemoryBudget, model: &mut Model, event: &Event) -> Result<(), TestCaseError> {
    let now = Instant(model.now);
    let caller = |index: &usize| model.callers.get(*index);
    match event {
        Event::Open => open(budget, model),
        Event::Reserve(index, cause, size) => {
            let Some(caller) = caller(index) else {
                return Ok(());
            };
            let (owner, is_expected) = (caller.owner, model.may_hold(caller, *cause, *size));
            let reserved = budget.reserve(owner, *cause, Size(*size));
            prop_assert_eq!(reserved.is_ok(), is_expected);
            if let Err(refused) = reserved {
                let is_larger = *size > model.capacity;
                prop_assert!(refused.is_permanent() || !is_larger, "could never fit");
            } else {
                model.add(owner, *cause, *size);
            }
        }
        Event::Release(index, cause, size) => {
            let Some(owner) = caller(index).map(|caller| caller.owner) else {
                return Ok(());
            };
            budget.release(owner, *cause, Size(*size));
            if model.count(|other, of| (other, of) == (owner, *cause)) >= *size {
                model.remove(owner, *cause, *size);
            }
        }
        Event::Transfer(index, from, to, size) => {
            let Some(owner) = caller(index).map(|caller| caller.owner) else {
                return Ok(());
            };
            let read_ahead = model
                .count(|_, of| of == Cause::ReadAhead)
                .saturating_add(*size);
            let usable = model.capacity - model.capacity.div_ceil(4);
            let is_refused = *to == Cause::ReadAhead && from != to && read_ahead > usable;
            budget.transfer(owner, *from, *to, Size(*size));
            let held = model.count(|other, of| (other, of) == (owner, *from));
            if !is_refused && held >= *size {
                model.remove(owner, *from, *size);
                model.add(owner, *to, *size);
            }
        }
        Event::Progressed(index) => {
            if let Some(caller) = model.callers.get_mut(*index) {
                budget.progressed(now, caller.owner);
                caller.progressed = now.0;
            }
        }
        Event::SetWaiting(index, is_waiting) => {
            if let Some(caller) = model.callers.get_mut(*index) {
                budget.set_waiting(now, caller.owner, *is_waiting);
                let since = caller.waiting_since.unwrap_or(now.0);
                caller.waiting_since = is_waiting.then_some(since);
            }
        }
        Event::Close(index) => {
            let Some(owner) = caller(index).map(|caller| caller.owner) else {
                return Ok(());
            };
            budget.close(owner);
            model.close(owner);
        }
        Event::Evict(size) => evict(budget, model, *size)?,
        Event::Pass(span) => model.now += span,
    }
    Ok(())
}

fn open(budget: &mut MemoryBudget, model: &mut Model) {
    model.callers.push(Caller {
        owner: budget.open(Instant(model.now)),
        is_open: true,
        progressed: model.now,
        waiting_since: None,
    });
}

fn evict(budget: &mut MemoryBudget, model: &mut Model, size: u64) -> Result<(), TestCaseError> {
    let evicted = budget.evictable(Instant(model.now), Size(size));
    check_evictable(&evicted, model, size)?;
    for owner in &evicted {
        budget.close(*owner);
        model.close(*owner);
    }
    open(budget, model);
    let owner = model.callers.last().unwrap().owner;
    let reserved = budget.reserve(owner, Cause::RequestBody, Size(size));
    prop_assert!(
        reserved.is_ok() || evicted.is_empty(),
        "evicted for nothing"
    );
    if reserved.is_ok() {
        model.add(owner, Cause::RequestBody, size);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against any sequence of calls that holds more than the capacity, loses count of what
    /// is held, lets read-ahead use the part that it has to leave free, or evicts the wrong owners.
    #[test]
    fn the_budget_holds_what_a_list_of_all_bytes_holds(
        capacity in prop_oneof![1 => Just(0), 1 => 1_u64..8, 8 => 8_u64..300],
        events in proptest::collection::vec(event(), 0..150),
    ) {
        let mut budget = MemoryBudget::new(Size(capacity));
        let mut model = Model { capacity, now: 0, callers: Vec::new(), bytes: Vec::new() };

        for event in &events {
            apply(&mut budget, &mut model, event)?;
            check_sums(&budget, &model)?;
        }
        model.callers.iter().for_each(|caller| budget.close(caller.owner));

        prop_assert_eq!(budget.held(), Size(0));
        prop_assert_eq!(Cause::ALL.map(|cause| budget.held_for(cause)), [Size(0); Cause::ALL.len()]);
    }

    /// Guards against slow callers that get unequal shares, or a share that depends on how many
    /// steps it was reserved in.
    #[test]
    fn slow_callers_get_equal_shares_of_read_ahead(callers in 1_u64..40, step in 1_u64..500) {
        let mut budget = MemoryBudget::new(Size(4_000_000));
        let owners: Vec<_> = (0..callers).map(|_| budget.open(Instant(0))).collect();

        let mut reserved = true;
        while reserved {
            let grown = owners.iter();
            let grown = grown.map(|owner| budget.reserve(*owner, Cause::ReadAhead, Size(step)));
            reserved = grown.filter(Result::is_ok).count() > 0;
        }

        let share = 3_000_000 / (callers + 1);
        let held = owners.iter().map(|owner| budget.held_by(*owner).0);
        for held in held {
            prop_assert!(held.abs_diff(share) <= (callers + 1) * step, "{held} of {share}");
        }
    }
}

/// Guards against slow callers that leave no room for new requests.
#[test]
fn a_quarter_is_free_of_read_ahead() {
    let mut budget = MemoryBudget::new(Size(1_000));
    for _ in 0..100 {
        let owner = budget.open(Instant(0));
        while budget.reserve(owner, Cause::ReadAhead, Size(1)).is_ok() {}
    }

    let new = budget.open(Instant(0));

    assert!(budget.reserve(new, Cause::RequestBody, Size(250)).is_ok());
}

/// Guards against read-ahead that gets at the part which it has to leave free by way of a transfer.
#[test]
fn a_transfer_to_read_ahead_keeps_to_its_part() {
    let mut budget = MemoryBudget::new(Size(1_000));
    let owner = budget.open(Instant(0));
    budget.reserve(owner, Cause::Response, Size(1_000)).unwrap();

    budget.transfer(owner, Cause::Response, Cause::ReadAhead, Size(750));
    budget.transfer(owner, Cause::Response, Cause::ReadAhead, Size(1));

    assert_eq!(budget.held_for(Cause::ReadAhead), Size(750));
    assert_eq!(budget.held(), Size(1_000));
}

/// Guards against a small read-ahead that is granted in the part that is left free because request
/// bodies use the rest.
#[test]
fn read_ahead_waits_while_bodies_use_its_part() {
    let mut budget = MemoryBudget::new(Size(1_000));
    let (body, slow) = (budget.open(Instant(0)), budget.open(Instant(0)));
    budget.reserve(body, Cause::RequestBody, Size(750)).unwrap();

    let refused = budget.reserve(slow, Cause::ReadAhead, Size(1));

    assert!(refused.is_err_and(|refused| !refused.is_permanent()));
}

/// Guards against callers that are told to come back although their request can never fit.
#[test]
fn what_can_never_fit_is_refused_for_good() {
    let mut budget = MemoryBudget::new(Size(1_000));
    let owner = budget.open(Instant(0));
    budget
        .reserve(owner, Cause::RequestBody, Size(600))
        .unwrap();
    let mut is_permanent = |cause, size| {
        let refused = budget.reserve(owner, cause, Size(size));
        refused.unwrap_err().is_permanent()
    };

    assert!(is_permanent(Cause::RequestBody, 401), "with what has come");
    assert!(
        !is_permanent(Cause::Response, 1_000),
        "once the body is gone"
    );
    assert!(is_permanent(Cause::Response, 1_001));
    assert!(!is_permanent(Cause::ReadAhead, 375));
    assert!(is_permanent(Cause::ReadAhead, 376));
}

/// Guards against a caller that is evicted although it reads slowly, or although its server had
/// sent nothing for a while before the data that waits.
#[test]
fn only_callers_that_take_nothing_are_evictable() {
    let mut budget = MemoryBudget::new(Size(100));
    let owner = budget.open(Instant(0));
    budget.reserve(owner, Cause::Response, Size(100)).unwrap();
    assert!(
        budget.evictable(Instant(60_000), Size(1)).is_empty(),
        "nothing waits"
    );

    budget.set_waiting(Instant(60_000), owner, true);
    assert!(
        budget.evictable(Instant(67_999), Size(1)).is_empty(),
        "it just came"
    );
    budget.progressed(Instant(67_900), owner);
    assert!(
        budget.evictable(Instant(75_899), Size(1)).is_empty(),
        "it reads"
    );
    budget.set_waiting(Instant(69_000), owner, true);

    assert_eq!(budget.evictable(Instant(75_900), Size(1)), [owner]);
}

/// Guards against an entry without memory that serves requests with bodies, or that panics.
#[test]
fn a_budget_of_zero_holds_nothing() {
    let mut budget = MemoryBudget::new(Size(0));
    let owner = budget.open(Instant(0));

    for cause in Cause::ALL {
        let refused = budget.reserve(owner, cause, Size(1));
        assert!(
            refused.is_err_and(|refused| refused.is_permanent()),
            "{cause}"
        );
    }

    assert!(budget.evictable(Instant(9_000), Size(1)).is_empty());
    assert_eq!(budget.held(), Size(0));
}

/// Guards against a capacity that overflows, or that is zero where the memory is unknown.
#[test]
fn the_capacity_follows_from_the_memory() {
    let capacity_of = |memory| MemoryBudget::capacity_of(memory).0;

    assert_eq!(capacity_of(None), 64_000_000);
    assert_eq!(capacity_of(Some(Size(0))), 64_000_000);
    assert_eq!(capacity_of(Some(Size(160_000_000))), 64_000_000);
    assert_eq!(capacity_of(Some(Size(99))), 39);
    assert_eq!(capacity_of(Some(Size(u64::MAX))), 7_378_697_629_483_820_646);
}
