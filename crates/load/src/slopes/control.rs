//! What the control thread and the choice of paths cost.

use std::collections::BTreeMap;

use anyhow::Result;
use jujube_core::layer::Range;
use jujube_core::membership::Heartbeat;
use jujube_core::membership::Membership;
use jujube_core::membership::Settings;
use jujube_core::name::Server;
use jujube_core::path::Candidate;
use jujube_core::path::Chooser;
use jujube_core::path::Fleet;
use jujube_core::path::Table;
use jujube_core::time::Instant;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Slope;
use super::micros;
use super::shortest;

const SIZES: [usize; 4] = [500, 2_000, 5_500, 11_000];
const KINDS: usize = 7;
const LAYERS: u32 = 48;

/// Returns candidates of one model over zones and kinds of accelerator, with uneven ranges.
fn candidates(count: usize, zones: usize) -> Vec<Candidate> {
    let parts = [2, 3, 4, 6];
    let one = |index: usize| {
        let kind = index % KINDS;
        let part = parts[kind % parts.len()];
        let length = LAYERS / part;
        let start = (index / KINDS) as u32 % part * length;
        Candidate {
            server: format!("server-{index}").into(),
            address: format!("10.0.0.1:{index}").into(),
            zone: format!("zone-{}", index / (KINDS * 12) % zones).into(),
            accelerator: format!("kind-{kind}").into(),
            layers: Range::new(start, start + length),
            speed: 10_000 * (kind as u64 + 1),
            slots: 16,
            others: 0,
        }
    };
    (0..count).map(one).collect()
}

/// Returns one model's share: links between its zones that differ a hundredfold.
fn fleet(zones: usize) -> Fleet {
    let name = |zone: usize| format!("zone-{zone}").into();
    let mut links = Vec::new();
    for from in 0..zones {
        for to in 0..zones {
            if from != to {
                let bytes = if (from + to) % 3 == 0 {
                    10_000_000
                } else {
                    1_000_000_000
                };
                links.push((name(from), name(to), bytes));
            }
        }
    }
    Fleet {
        layers: LAYERS,
        activation_bytes: 8192,
        token_seconds: 0.032,
        groups: Vec::new(),
        links,
    }
}

pub(super) fn measure() -> Result<Vec<Slope>> {
    Ok(vec![
        solve_all(),
        solve(),
        solve_by_zones(),
        choose(),
        loads(),
        notice(),
    ])
}

/// All models of the aim, each with its share of the backend servers in four zones.
fn solve_all() -> Slope {
    const MODELS: usize = 22;
    let points = SIZES.map(|size| {
        let each = candidates(size / MODELS, 4);
        let took = shortest(3, || {
            for _ in 0..MODELS {
                let _table = Table::build(each.clone(), fleet(4));
            }
        });
        (size as f64, micros(took) / 1000.0)
    });
    Slope {
        what: "flow of 22 models in 4 zones each, solved",
        size: "backend servers in all",
        unit: "ms",
        points: points.into(),
    }
}

/// 500 backend servers of one model in four zones are a twenty-second part of the aim.
fn solve() -> Slope {
    let points = SIZES.map(|size| {
        let candidates = candidates(size, 4);
        let took = shortest(3, || {
            let _table = Table::build(candidates.clone(), fleet(4));
        });
        (size as f64, micros(took) / 1000.0)
    });
    Slope {
        what: "flow of one model in 4 zones, solved",
        size: "backend servers",
        unit: "ms",
        points: points.into(),
    }
}

fn solve_by_zones() -> Slope {
    let points = [2, 4, 6, 8].map(|zones| {
        let took = shortest(2, || {
            let _table = Table::build(candidates(1_000, zones), fleet(zones));
        });
        (zones as f64, micros(took) / 1000.0)
    });
    Slope {
        what: "flow of one model of 1,000, solved",
        size: "zones that share it",
        unit: "ms",
        points: points.into(),
    }
}

fn choose() -> Slope {
    const CHOICES: usize = 2_000;
    let points = SIZES.map(|size| {
        let table = Table::build(candidates(size, 4), fleet(4));
        let mut chooser = Chooser::default();
        let mut random = StdRng::seed_from_u64(1);
        let took = shortest(3, || {
            for _ in 0..CHOICES {
                if let Some(stages) = chooser.choose(&table, &[], &mut random) {
                    chooser.end(&stages);
                }
            }
        });
        (size as f64, micros(took) / CHOICES as f64)
    });
    Slope {
        what: "path chosen",
        size: "backend servers of the model",
        unit: "microseconds",
        points: points.into(),
    }
}

fn loads() -> Slope {
    let points = SIZES.map(|size| {
        let table = Table::build(candidates(size, 4), fleet(4));
        let took = shortest(5, || {
            let _fresh = table.with_loads(|_| 1);
        });
        (size as f64, micros(took))
    });
    Slope {
        what: "snapshot with fresh loads",
        size: "backend servers",
        unit: "microseconds",
        points: points.into(),
    }
}

fn notice() -> Slope {
    let points = SIZES.map(|size| {
        let mut membership = Membership::new(Settings::default());
        let names = (0..size).map(|index| Server::from(format!("server-{index}")));
        let names: Vec<Server> = names.collect();
        membership.set_servers(names.iter().cloned());
        for name in &names {
            let beat = Heartbeat {
                healthy: true,
                ..Heartbeat::default()
            };
            membership.record_heartbeat(Instant(1), name, beat);
        }
        let took = shortest(5, || {
            let states = names
                .iter()
                .map(|name| (name, membership.state(Instant(2), name)));
            let _states: BTreeMap<_, _> = states.map(|(n, s)| (n, format!("{s:?}"))).collect();
        });
        (size as f64, micros(took))
    });
    Slope {
        what: "states of all members looked at",
        size: "backend servers",
        unit: "microseconds",
        points: points.into(),
    }
}
