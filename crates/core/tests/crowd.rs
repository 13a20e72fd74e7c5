//! Places of connections and requests against a plain list of all that have one.

use jujube_core::pipeline::crowd::Crowd;
use jujube_core::pipeline::crowd::Visitor;
use jujube_core::pipeline::descriptors::Descriptors;
use jujube_core::pipeline::memory::Size;
use proptest::prelude::*;

/// The memory of the smallest and the usual entries, and of none that exists.
const MEMORIES: [u64; 4] = [160_000_000, 260_000_000, 20_000_000, 0];

fn visitor() -> impl Strategy<Value = Visitor> {
    prop_oneof![
        2 => Just(Visitor::Connection),
        1 => (0_u64..66_000).prop_map(|head| Visitor::Request(Size(head))),
        1 => Just(Visitor::Request(Size(u64::MAX))),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(75),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against places that are given out beyond the capacity, or are not given back.
    #[test]
    fn places_never_exceed_the_capacity(
        memory in proptest::sample::select(MEMORIES.to_vec()),
        steps in proptest::collection::vec((visitor(), any::<bool>(), 1_usize..400), 0..60),
    ) {
        let mut crowd = Crowd::new(Some(Size(memory)));
        let mut present: Vec<Visitor> = Vec::new();

        for (visitor, comes, count) in steps {
            for _ in 0..count {
                if comes {
                    let is_admitted = crowd.admit(visitor);
                    present.extend(is_admitted.then_some(visitor));
                } else if let Some(left) = present.pop() {
                    crowd.leave(left);
                }
            }
            let held: u64 = present.iter().map(|visitor| visitor.size().0).sum();
            let connections = present.iter().filter(|it| **it == Visitor::Connection);
            prop_assert_eq!(crowd.held(), Size(held));
            prop_assert_eq!(crowd.connections(), connections.count() as u64);
            prop_assert!(crowd.held() <= crowd.capacity());
        }
    }
}

/// Guards against connections at rest that keep out the requests of others.
#[test]
fn connections_leave_places_for_requests() {
    for memory in MEMORIES {
        let mut crowd = Crowd::new(Some(Size(memory)));

        while crowd.admit(Visitor::Connection) {}

        assert!(crowd.admit(Visitor::Request(Size(1_000))), "{memory}");
        assert!(!crowd.admit(Visitor::Connection), "{memory}");
    }
}

/// Guards against a part of the memory that is given out twice: the budget for bytes has another.
#[test]
fn the_capacity_follows_from_the_memory() {
    let capacity = |memory| Crowd::new(memory).capacity().0;

    assert_eq!(capacity(Some(Size(260_000_000))), 70_000_000);
    assert_eq!(capacity(Some(Size(160_000_000))), 40_000_000);
    assert_eq!(capacity(None), 40_000_000);
    assert_eq!(capacity(Some(Size(20_000_000))), 2_000_000);
}

/// Guards against connections and requests that take the descriptors which the program itself needs.
#[test]
fn a_crowd_leaves_descriptors_to_the_program() {
    for limit in [0, 1, 16, 64, 256, 1_024, 4_200, 20_000] {
        let descriptors = Descriptors::new(Some(limit));
        let mut crowd = Crowd::new(Some(Size(1 << 30))).with_descriptors(descriptors.callers());
        // Checks, the metrics and what speaks with the store and other entries.
        let reserved = (limit / 4).min(800) + descriptors.idle_connections() as u64;
        let visitors = [Visitor::Connection, Visitor::Request(Size(0))];
        let taken = visitors.map(|visitor| (0..limit).filter(|_| crowd.admit(visitor)).count());
        assert!(
            taken.iter().sum::<usize>() as u64 <= limit - reserved,
            "{limit}"
        );

        (0..taken[0]).for_each(|_| crowd.leave(visitors[0]));
        (0..taken[1]).for_each(|_| crowd.leave(visitors[1]));
        assert_eq!((crowd.held(), crowd.connections()), (Size(0), 0), "{limit}");
        assert_eq!(crowd.admit(Visitor::Connection), limit > 0, "{limit}");
    }
}
