//! Compares the bound with exhaustive search and checks its flow.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

use jujube_core::layer::Range;
use jujube_core::path::Fleet;
use jujube_core::path::Group;
use jujube_core::path::bound;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const LAYERS: u32 = 3;

fn group() -> impl Strategy<Value = Group> {
    (0..2_usize, 0..LAYERS, 1..=LAYERS, 1..=6_u64).prop_map(|(zone, start, length, capacity)| {
        let end = (start + length).min(LAYERS);
        Group {
            zone: ["y", "z"][zone].into(),
            accelerator: "a".into(),
            layers: Range::new(start, end),
            servers: 1,
            layer_tokens: capacity,
            slots: 1_000,
        }
    })
}

fn fleet(groups: Vec<Group>, link: u64) -> Fleet {
    Fleet {
        layers: LAYERS,
        activation_bytes: 1,
        token_seconds: 0.0,
        groups,
        links: vec![
            ("y".into(), "z".into(), link),
            ("z".into(), "y".into(), link),
        ],
    }
}

/// The group and the layers of each step.
type Path = Vec<(usize, Range)>;

/// Returns all paths from a layer to the last one.
fn paths(groups: &[Group], from: u32) -> Vec<Path> {
    if from == LAYERS {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (index, group) in groups.iter().enumerate() {
        if group.layers.start > from || group.layers.end <= from {
            continue;
        }
        for end in from + 1..=group.layers.end {
            for rest in paths(groups, end) {
                let mut path = vec![(index, Range::new(from, end))];
                path.extend(rest);
                all.push(path);
            }
        }
    }
    all
}

/// The residual capacity of the groups and of both directions of the link.
#[derive(Clone)]
struct Residual {
    groups: Vec<u64>,
    links: [u64; 2],
}

impl Residual {
    /// Returns the capacity after a flow of one token per second on a path, if it fits.
    fn reserve(&self, groups: &[Group], path: &Path) -> Option<Self> {
        let mut residual = self.clone();
        for (index, layers) in path {
            residual.groups[*index] =
                residual.groups[*index].checked_sub(u64::from(layers.len()))?;
        }
        for pair in path.windows(2) {
            let (from, to) = (&groups[pair[0].0].zone, &groups[pair[1].0].zone);
            if from != to {
                let direction = usize::from(from < to);
                residual.links[direction] = residual.links[direction].checked_sub(1)?;
            }
        }
        Some(residual)
    }
}

/// Returns the maximum whole rate by exhaustive search.
fn max_whole_rate(groups: &[Group], paths: &[Path], residual: &Residual) -> u64 {
    let Some((first, rest)) = paths.split_first() else {
        return 0;
    };
    let without = max_whole_rate(groups, rest, residual);
    let with = residual
        .reserve(groups, first)
        .map(|residual| 1 + max_whole_rate(groups, paths, &residual));
    without.max(with.unwrap_or(0))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a bound that is too low, or a flow that exceeds a limit or falls short of it.
    #[test]
    fn the_bound_is_reached_and_never_exceeded(
        groups in proptest::collection::vec(group(), 1..4),
        link in 0..4_u64,
    ) {
        let fleet = fleet(groups.clone(), link);
        let paths = paths(&groups, 0);
        let residual = Residual {
            groups: groups.iter().map(|group| group.layer_tokens).collect(),
            links: [link; 2],
        };

        let bound = bound(&fleet).unwrap();
        let best = max_whole_rate(&groups, &paths, &residual) as f64;

        const TOLERANCE: f64 = 1e-6;
        assert!(best <= bound.rate + TOLERANCE, "{best} exceeds {}", bound.rate);
        // Rounding down loses less than one token per second on each path.
        assert!(bound.rate <= best + bound.flows.len() as f64 + TOLERANCE);
        let sum: f64 = bound.flows.iter().map(|flow| flow.rate).sum();
        assert!((sum - bound.rate).abs() < 1e-3, "flows {sum}, bound {}", bound.rate);
        for (index, group) in groups.iter().enumerate() {
            let used = bound.flows.iter().flat_map(|flow| {
                flow.steps.iter().map(move |step| (step, flow.rate))
            });
            let used = used.filter(|((at, _), _)| *at == index);
            let used: f64 = used.map(|((_, layers), rate)| f64::from(layers.len()) * rate).sum();
            assert!(used <= group.layer_tokens as f64 + 1e-3);
        }
        for flow in &bound.flows {
            let mut next = 0;
            for (_, layers) in &flow.steps {
                assert_eq!(layers.start, next);
                next = layers.end;
            }
            assert_eq!(next, LAYERS);
        }
    }
}

#[test]
fn slots_limit_the_rate_by_littles_law() {
    let mut fleet = fleet(Vec::new(), 1);
    fleet.token_seconds = 0.1;
    fleet.groups.push(Group {
        zone: "y".into(),
        accelerator: "a".into(),
        layers: Range::new(0, LAYERS),
        servers: 1,
        layer_tokens: 1_000_000,
        slots: 8,
    });

    let bound = bound(&fleet).unwrap();

    // Eight concurrent requests, each with a token every 0.1 s.
    assert_eq!(bound.rate.round(), 80.0);
}
