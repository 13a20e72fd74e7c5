//! Tests of configurations: monotonic generations, signatures, deltas and invalid input.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

use jujube_core::blackboard::Blackboard;
use jujube_core::bundle;
use jujube_core::bundle::Signed;
use jujube_core::bundle::Trust;
use jujube_core::bundle::parse;
use jujube_core::delta::Delta;
use jujube_core::head::Config;
use jujube_core::head::ConfigError;
use jujube_core::head::Generation;
use jujube_core::head::Head;
use jujube_core::membership::Settings;
use jujube_core::request::BootId;
use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const AUTHOR: [u8; 32] = [1; 32];
const REVIEWER: [u8; 32] = [2; 32];
const STRANGER: [u8; 32] = [3; 32];

fn trust() -> Trust {
    let keys = [AUTHOR, REVIEWER].map(|secret| bundle::sign(&secret, &bundle::digest("")).key);
    Trust {
        keys: keys.into_iter().map(Into::into).collect(),
    }
}

fn text(serial: u64) -> String {
    format!(
        "[bundle]\nserial = {serial}\n[service desk]\nkind = plain\n[server d]\nservice = desk\n\
         address = 127.0.0.1:{}\nzone = z\n",
        1000 + serial
    )
}

fn config(generation: u64, signers: &[[u8; 32]], operator: &[u8; 32]) -> Config {
    let text = text(generation);
    let digest = bundle::digest(&text);
    let head = Head {
        generation: Generation(generation),
        bundle: digest.to_string(),
        ..Head::default()
    };
    Config {
        head: head.signed(operator),
        signed: Signed {
            text: text.into(),
            signatures: signers
                .iter()
                .map(|secret| bundle::sign(secret, &digest))
                .collect(),
        },
    }
}

fn valid(generation: u64) -> Config {
    config(generation, &[AUTHOR, REVIEWER], &AUTHOR)
}

fn board() -> Blackboard {
    let subset = jujube_core::subset::Settings::default();
    Blackboard::new(trust(), Settings::default(), BootId(1), subset)
}

/// Guards against a roll-back to the stale configuration of a process that was paused.
#[test]
fn older_configurations_are_rejected() {
    let mut board = board();
    board.apply(valid(5)).unwrap();

    let older = board.apply(valid(4));
    let same = board.apply(valid(5));

    assert!(matches!(older, Err(ConfigError::NotNewer { .. })));
    assert!(matches!(same, Err(ConfigError::NotNewer { .. })));
    assert_eq!(board.generation(), Generation(5));
    assert_eq!(board.bundle.serial, 5);
}

#[test]
fn signatures_of_two_trusted_people_and_an_operator_are_required() {
    let mut board = board();
    let twice = config(1, &[AUTHOR, AUTHOR], &AUTHOR);
    let stranger = config(1, &[AUTHOR, STRANGER], &AUTHOR);
    let alone = config(1, &[AUTHOR], &AUTHOR);
    let head_by_stranger = config(1, &[AUTHOR, REVIEWER], &STRANGER);
    let mut other_text = valid(1);
    other_text.signed.text = text(9).into();
    let mut other_generation = valid(1);
    other_generation.head.generation = Generation(9);

    for invalid in [
        twice,
        stranger,
        alone,
        head_by_stranger,
        other_text,
        other_generation,
    ] {
        assert!(board.apply(invalid.clone()).is_err(), "{invalid:?}");
    }

    assert_eq!(board.generation(), Generation(0));
}

/// Guards against calls that reach a service without the name of their customer, because no header can
/// have it.
#[test]
fn customers_that_no_header_can_name_are_refused() {
    let key = "0".repeat(64);
    let faults = |name: &str| {
        let mut bundle = parse(&text(1)).unwrap();
        let customer = format!("[customer crew]\nkeys = {key}\n");
        let crew = parse(&format!("{}{customer}", text(1))).unwrap().customers;
        let crew = crew.into_values().next().unwrap();
        bundle.customers.insert(name.into(), crew);
        bundle::check(&bundle)
    };

    for name in ["crew", "a b", "a\tb", "a:b,c", "\u{e9}", "%0a"] {
        assert_eq!(faults(name), [], "{name}");
    }
    for name in [
        "a\nb", "a\rb", "a\u{0}b", "a\u{7f}", " crew", "crew ", "\tcrew",
    ] {
        assert_eq!(faults(name).len(), 1, "{name:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In any order of arrival, the generation never decreases and the highest one wins.
    #[test]
    fn the_generation_never_decreases(offers in proptest::collection::vec(1..9_u64, 1..12)) {
        let mut board = board();
        let mut previous = Generation(0);
        for generation in &offers {
            let _rejected_when_older = board.apply(valid(*generation));
            assert!(board.generation() >= previous);
            previous = board.generation();
        }
        assert_eq!(Some(&board.generation().0), offers.iter().max());
        assert_eq!(board.bundle.serial, board.generation().0);
    }

    /// A delta between any two texts reproduces the newer one exactly.
    #[test]
    fn deltas_reproduce_the_newer_text(
        older in "(\\[[a-c]\\]\n(x = [0-3]\n){0,2}){0,6}",
        newer in "(\\[[a-c]\\]\n(x = [0-3]\n){0,2}){0,6}",
    ) {
        let config = |text: &str, generation| Config {
            head: Head { generation: Generation(generation), ..Head::default() },
            signed: Signed { text: text.into(), signatures: Vec::new() },
        };
        let (older, newer) = (config(&older, 1), config(&newer, 2));

        let delta = Delta::between(&older, &newer);

        assert_eq!(delta.apply(&older), Some(newer.clone()));
        assert_eq!(delta.apply(&newer), None);
    }

    /// Guards against panics on invalid input.
    #[test]
    fn invalid_input_does_not_panic(text in "\\PC{0,200}", cut in 0..200_usize, at in 0..200_usize) {
        let _result = parse(&text);
        let mut mutated = self::text(1);
        mutated.truncate(cut.min(mutated.len()));
        mutated.insert_str(at.min(mutated.len()), &text);
        if let Ok(bundle) = parse(&mutated) {
            let _faults = bundle::check(&bundle);
        }
    }
}
