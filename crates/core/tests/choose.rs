//! Tests of path selection: flow weights, repairs and herding of entries.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

use std::collections::BTreeMap;

use jujube_core::layer::Range;
use jujube_core::path::Candidate;
use jujube_core::path::Chooser;
use jujube_core::path::Fleet;
use jujube_core::path::Route;
use jujube_core::path::Settings;
use jujube_core::path::Table;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LAYERS: u32 = 8;

fn candidate(name: &str, layers: Range, speed: u64, others: u64) -> Candidate {
    Candidate {
        server: name.into(),
        address: name.into(),
        zone: "z".into(),
        accelerator: format!("kind-{speed}").into(),
        layers,
        speed,
        slots: 100,
        others,
    }
}

fn table(candidates: Vec<Candidate>) -> Table {
    let fleet = Fleet {
        layers: LAYERS,
        ..Fleet::default()
    };
    Table::build(candidates, fleet)
}

fn mixed() -> Vec<Candidate> {
    let whole = Range::new(0, LAYERS);
    let (first, second) = (Range::new(0, 4), Range::new(4, LAYERS));
    vec![
        candidate("fast", whole, 800, 0),
        candidate("slow-1", first, 100, 0),
        candidate("slow-2", second, 100, 0),
    ]
}

#[test]
fn choices_follow_the_rates_of_the_flow() {
    let table = table(mixed());
    let mut chooser = Chooser::default();
    let mut random = StdRng::seed_from_u64(1);
    let mut through_fast = 0;

    for _ in 0..1_000 {
        let stages = chooser.choose(&table, &[], &mut random).unwrap();
        through_fast += usize::from(stages[0].server == "fast".into());
        chooser.end(&stages);
    }

    // 800 layer-tokens/s over 8 layers give 100 tokens/s; the slow pair gives 100 / 4 = 25.
    assert_eq!(table.rate.round(), 125.0);
    assert_eq!(through_fast, 800);
}

#[test]
fn a_repair_keeps_remaining_stages_and_covers_lost_layers() {
    let mut candidates = mixed();
    candidates.push(candidate("spare-1", Range::new(0, 2), 50, 0));
    candidates.push(candidate("spare-2", Range::new(2, 5), 50, 0));
    let table = table(candidates);
    let mut chooser = Chooser::default();
    let mut random = StdRng::seed_from_u64(1);
    let mut stages = chooser
        .choose(&table, &["fast".into()], &mut random)
        .unwrap();
    stages.retain(|stage| stage.server == "slow-2".into());
    let first = jujube_core::path::Stage {
        server: "slow-1".into(),
        address: "slow-1".into(),
        layers: Range::new(0, 4),
    };
    stages.insert(0, first);

    let excluded = ["slow-1".into(), "fast".into()];
    let repaired = chooser
        .repair(&table, &stages, &excluded, &mut random)
        .unwrap();

    let route = Route {
        entry: "e".into(),
        stages: repaired.clone(),
    };
    assert!(route.is_partition(LAYERS), "{repaired:?}");
    let names: Vec<String> = repaired.iter().map(|s| s.server.to_string()).collect();
    assert_eq!(names, ["spare-1", "spare-2", "slow-2"]);
    assert_eq!(repaired[1].layers, Range::new(2, 4));
}

/// Returns how many of 40 entries choose the same stage from the same stale report.
fn herd_size(compared: usize) -> usize {
    const ENTRIES: u64 = 40;
    let whole = Range::new(0, LAYERS);
    let idle = candidate("idle", whole, 100, 0);
    let busy = (0..9).map(|index| candidate(&format!("busy-{index}"), whole, 100, 5));
    let table = table(std::iter::once(idle).chain(busy).collect());
    let mut choices: BTreeMap<String, usize> = BTreeMap::new();
    for entry in 0..ENTRIES {
        let settings = Settings {
            compared,
            ..Settings::default()
        };
        let mut chooser = Chooser::new(settings);
        let mut random = StdRng::seed_from_u64(entry);
        let stages = chooser.choose(&table, &[], &mut random).unwrap();
        *choices.entry(stages[0].server.to_string()).or_default() += 1;
    }
    choices.values().copied().max().unwrap()
}

/// Guards against entries that herd to the stage that a stale report shows as idle, which overloads
/// it while other stages have capacity.
#[test]
fn entries_do_not_chase_the_same_idle_stage() {
    let all_compared = herd_size(0);
    let two_compared = herd_size(Settings::default().compared);

    assert_eq!(all_compared, 40);
    assert!(
        two_compared <= 14,
        "{two_compared} of 40 chose the same stage"
    );
}
