//! The bound of all that callers and servers take, against the places and bytes that are given out.

#![allow(clippy::unwrap_used, reason = "a test that fails must panic")]

use jujube_core::pipeline::crowd::Crowd;
use jujube_core::pipeline::crowd::Visitor;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::MemoryBudget;
use jujube_core::pipeline::memory::Size;
use jujube_core::pipeline::total::Part;
use jujube_core::pipeline::total::Total;
use jujube_core::time::Instant;
use proptest::prelude::*;

/// The memory of the smallest and the usual entries, a large one, and of none that exists.
const MEMORIES: [u64; 5] = [160_000_000, 260_000_000, 4_000_000_000, 20_000_000, 0];
/// What an idle connection is counted as.
const IDLE: u64 = 20_000;
/// How many of them are kept at least.
const MIN_IDLE: u64 = 64;

/// An entry's parts, each limited to what the other leaves.
struct Parts {
    total: Total,
    crowd: Crowd,
    budget: MemoryBudget,
}

impl Parts {
    fn new(memory: u64) -> Self {
        let memory = Some(Size(memory));
        Self {
            total: Total::of(memory),
            crowd: Crowd::new(memory),
            budget: MemoryBudget::new(MemoryBudget::capacity_of(memory)),
        }
    }

    fn admit(&mut self, visitor: Visitor) -> bool {
        self.crowd.set_limit(self.total.limit(Part::Places));
        let is_admitted = self.crowd.admit(visitor);
        self.total.record(Part::Places, self.crowd.held());
        is_admitted
    }

    fn leave(&mut self, visitor: Visitor) {
        self.crowd.leave(visitor);
        self.total.record(Part::Places, self.crowd.held());
    }

    /// Holds bytes for a new owner; returns whether there was room.
    fn hold(&mut self, size: u64) -> bool {
        self.budget.set_limit(self.total.limit(Part::Bytes));
        let owner = self.budget.open(Instant(0));
        let is_held = self
            .budget
            .reserve(owner, Cause::Response, Size(size))
            .is_ok();
        self.total.record(Part::Bytes, self.budget.held());
        is_held
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(81),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against parts that each keep to their bound and exceed the total together.
    #[test]
    fn all_parts_together_never_exceed_the_total(
        memory in proptest::sample::select(MEMORIES.to_vec()),
        steps in proptest::collection::vec((0_u8..4, 1_usize..400, 1_u64..1_000_000), 0..60),
    ) {
        let mut parts = Parts::new(memory);
        let mut present: Vec<Visitor> = Vec::new();

        for (kind, count, size) in steps {
            for _ in 0..count {
                match kind {
                    0 => {
                        let visitor = Visitor::Connection;
                        present.extend(parts.admit(visitor).then_some(visitor));
                    }
                    1 => {
                        let visitor = Visitor::Request(Size(size / 100));
                        present.extend(parts.admit(visitor).then_some(visitor));
                    }
                    2 => {
                        parts.hold(size);
                    }
                    _ => present.pop().into_iter().for_each(|left| parts.leave(left)),
                }
            }
            let held = parts.crowd.held().0 + parts.budget.held().0;
            let idle = parts.total.idle_connections() as u64 * IDLE;
            prop_assert!(held <= parts.total.capacity().0);
            prop_assert!(held + idle <= parts.total.capacity().0 + MIN_IDLE * IDLE);
        }
    }
}

/// Guards against a full budget that turns everybody away.
#[test]
fn a_full_budget_leaves_places_for_requests() {
    for memory in MEMORIES {
        let mut parts = Parts::new(memory);
        while parts.hold(100_000) {}

        let mut requests = 0;
        while parts.admit(Visitor::Connection) && parts.admit(Visitor::Request(Size(1_000))) {
            requests += 1;
        }

        // At least a tenth of the memory, of which a request with its connection takes some 48 KiB.
        let least = parts.crowd.capacity().0 / 3 / (49 << 10) * 7 / 8;
        assert!(requests >= least, "{memory}: {requests}, {least}");
    }
}

/// Guards against connections at rest and bytes that leave no room for a request between them.
#[test]
fn bytes_leave_room_for_requests_beside_connections_at_rest() {
    for memory in MEMORIES {
        let mut parts = Parts::new(memory);
        while parts.admit(Visitor::Connection) {}
        while parts.hold(10_000) {}

        assert!(parts.admit(Visitor::Request(Size(1_000))), "{memory}");
    }
}

/// Guards against a usual day, of some hundred connections and requests, that has less than before.
#[test]
fn a_usual_day_takes_nothing_from_the_parts() {
    let mut parts = Parts::new(160_000_000);
    for _ in 0..200 {
        assert!(parts.admit(Visitor::Connection));
        assert!(parts.admit(Visitor::Request(Size(1_000))));
    }

    assert!(parts.total.limit(Part::Bytes) >= parts.budget.capacity());
    assert!(parts.total.idle_connections() >= 1_000);
}

/// Guards against a total that leaves nothing of the machine for the store's keys and reports.
#[test]
fn the_total_follows_from_the_memory() {
    let capacity = |memory| Total::of(memory).capacity().0;

    assert_eq!(capacity(Some(Size(260_000_000))), 135_000_000);
    assert_eq!(capacity(Some(Size(160_000_000))), 80_000_000);
    assert_eq!(capacity(None), 80_000_000);
    assert_eq!(capacity(Some(Size(20_000_000))), 10_000_000);
}
