//! Compares model requests under random faults and message order with a reference model.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

mod support;

use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use support::world::Fault;
use support::world::World;
use support::world::layout;

/// Returns any server but the third of each range, so that a path always exists.
fn victim() -> impl Strategy<Value = usize> {
    (0..layout().len()).prop_filter("the third server of a range stays alive", |index| {
        index % 3 != 2
    })
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        victim().prop_map(Fault::Kill),
        victim().prop_map(Fault::Restart),
        victim().prop_map(Fault::EngineRestart),
        victim().prop_map(Fault::Freeze),
        Just(Fault::Lose),
        Just(Fault::Double),
        Just(Fault::Late),
        Just(Fault::CallerGone),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against wrong or incomplete answers when messages are reordered and up to four faults
    /// occur among concurrent requests.
    #[test]
    fn answers_match_the_naive_version(
        seed in 0..1000_u64,
        prompts in proptest::collection::vec(proptest::collection::vec(0..500_u64, 1..6), 1..4),
        tokens in 1..5_usize,
        faults_by_step in proptest::collection::vec((0..120_usize, fault()), 0..5),
    ) {
        let mut world = World::new(seed, true);
        for (number, prompt) in prompts.iter().enumerate() {
            world.accept(number as u64, prompt, tokens);
        }
        let mut faults_by_step = faults_by_step;
        faults_by_step.sort_by_key(|(step, _)| *step);
        let mut done = 0;
        for (step, fault) in &faults_by_step {
            while done < *step && world.step() {
                done += 1;
            }
            world.inject(fault);
        }

        world.finish();

        world.observer.check(true);
        assert!(world.observer.violations.is_empty(), "{:?}", world.observer.violations);
    }
}
