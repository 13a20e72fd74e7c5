//! The examples hold, and can be served and measured.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

use std::path::Path;
use std::path::PathBuf;

use jujube_core::name::Service;
use jujube_ctl::roll;
use jujube_load::bound;
use jujube_load::experiment::Experiment;
use jujube_load::report;
use jujube_load::result::Outcome;
use jujube_load::result::Recorder;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

#[test]
fn bundles_hold_and_have_a_bound() {
    for (name, model) in [
        ("hoshizaki", "survey-writer"),
        ("okonkwo", "draft-llm"),
        ("mixed", "mixed"),
    ] {
        let text = std::fs::read_to_string(example(name).join("bundle.ini")).unwrap();

        let bundle = roll::check(&text).expect(name);

        assert!(
            bound::engines(&bundle, &Service::from(model)) > 0.0,
            "{name}"
        );
        assert!(bound::describe(&text).unwrap().contains(model), "{name}");
    }
}

#[test]
fn experiments_can_be_read() {
    for name in ["hoshizaki", "okonkwo"] {
        let experiment = Experiment::read(&example("experiments").join(format!("{name}.ini")));

        assert_eq!(experiment.expect(name).name, name);
    }
}

#[test]
fn reports_set_results_side_by_side() {
    let mut recorder = Recorder::default();
    for millis in 1..=100 {
        recorder.record(std::time::Duration::from_millis(millis));
    }
    let outcome = |name: &str| Outcome {
        name: name.into(),
        requests: 7,
        first_token: recorder.distribution(),
        ..Outcome::default()
    };

    let page = report::page(&[outcome("one"), outcome("two")]).unwrap();

    assert!(page.contains("| one | two |"), "{page}");
    assert!(page.contains("| requests | 7 | 7 |"), "{page}");
    assert!(
        page.contains("| first token p95, ms | 95.0 | 95.0 |"),
        "{page}"
    );
}
