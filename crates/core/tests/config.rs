//! Configurations: one order, never back, nothing unsigned.

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

fn good(generation: u64) -> Config {
    config(generation, &[AUTHOR, REVIEWER], &AUTHOR)
}

fn board() -> Blackboard {
    let subset = jujube_core::subset::Settings::default();
    Blackboard::new(trust(), Settings::default(), BootId(1), subset)
}

/// A process that slept for a minute and wakes offers what it slept on; nobody goes back to it.
#[test]
fn older_configurations_are_refused() {
    let mut board = board();
    board.apply(good(5)).unwrap();

    let older = board.apply(good(4));
    let same = board.apply(good(5));

    assert!(matches!(older, Err(ConfigError::NotNewer { .. })));
    assert!(matches!(same, Err(ConfigError::NotNewer { .. })));
    assert_eq!(board.generation(), Generation(5));
    assert_eq!(board.bundle.serial, 5);
}

#[test]
fn signatures_are_needed_from_two_trusted_people_and_an_operator() {
    let mut board = board();
    let twice = config(1, &[AUTHOR, AUTHOR], &AUTHOR);
    let stranger = config(1, &[AUTHOR, STRANGER], &AUTHOR);
    let alone = config(1, &[AUTHOR], &AUTHOR);
    let head_by_stranger = config(1, &[AUTHOR, REVIEWER], &STRANGER);
    let mut other_text = good(1);
    other_text.signed.text = text(9).into();
    let mut other_generation = good(1);
    other_generation.head.generation = Generation(9);

    for bad in [
        twice,
        stranger,
        alone,
        head_by_stranger,
        other_text,
        other_generation,
    ] {
        assert!(board.apply(bad.clone()).is_err(), "{bad:?}");
    }

    assert_eq!(board.generation(), Generation(0));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever order configurations come in, the generation only grows, and the highest wins.
    #[test]
    fn generation_only_grows(offers in proptest::collection::vec(1..9_u64, 1..12)) {
        let mut board = board();
        let mut before = Generation(0);
        for generation in &offers {
            let _refused_when_older = board.apply(good(*generation));
            assert!(board.generation() >= before);
            before = board.generation();
        }
        assert_eq!(Some(&board.generation().0), offers.iter().max());
        assert_eq!(board.bundle.serial, board.generation().0);
    }

    /// A difference gives the newer text to the letter, from any text to any other.
    #[test]
    fn differences_give_the_newer_text(
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

    /// Bad input of every kind gets an error, never a panic.
    #[test]
    fn garbage_is_refused(text in "\\PC{0,200}", cut in 0..200_usize, at in 0..200_usize) {
        let _refused = parse(&text);
        let mut good = self::text(1);
        good.truncate(cut.min(good.len()));
        good.insert_str(at.min(good.len()), &text);
        if let Ok(bundle) = parse(&good) {
            let _faults = bundle::check(&bundle);
        }
    }
}
