//! What a placement plan costs the planner, and a path among the placed servers an entry.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Result;
use jujube_core::layer::Range;
use jujube_core::pipeline::chooser::Candidate;
use jujube_core::pipeline::chooser::Context;
use jujube_core::pipeline::chooser::Demand;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::load::Load;
use jujube_core::pipeline::model::Model;
use jujube_core::pipeline::model::Profile;
use jujube_core::pipeline::outlier::Outliers;
use jujube_core::pipeline::placement;
use jujube_core::pipeline::placement::Holder;
use jujube_core::pipeline::placement::Order;
use jujube_core::pipeline::suspicion::Suspicion;
use jujube_core::time::Instant;

use super::Slope;
use super::micros;
use super::shortest;

const SIZES: [usize; 4] = [30, 300, 1_000, 3_000];
const ZONES: [&str; 3] = ["a", "b", "c"];
/// The most plans until a placement is settled.
const ROUNDS: usize = 6;
const RUNS: usize = 5;
const MICROS_PER_MS: f64 = 1e3;

pub(super) fn measure() -> Result<Vec<Slope>> {
    let mut first = Vec::new();
    let mut idle = Vec::new();
    let mut loss = Vec::new();
    let mut paths = Vec::new();
    for size in SIZES {
        let model = model();
        let empty = holders(size);
        let settled = settled(&model, &empty);
        let left = settled[1..].to_vec();
        let time = |holders: &[Holder]| {
            let plan = || drop(placement::plan(&model, holders));
            micros(shortest(RUNS, plan)) / MICROS_PER_MS
        };
        first.push((size as f64, time(&empty)));
        idle.push((size as f64, time(&settled)));
        loss.push((size as f64, time(&left)));
        paths.push((size as f64, path(&model, &settled)));
    }
    Ok(vec![
        slope("first placement planned", first),
        slope("settled placement planned again", idle),
        slope("placement planned after the loss of one server", loss),
        slope("path chosen among the placed servers", paths),
    ])
}

fn slope(what: &'static str, points: Vec<(f64, f64)>) -> Slope {
    Slope {
        what,
        size: "backend servers in 3 zones",
        unit: "ms",
        points,
    }
}

/// Returns the time to choose a path while nothing runs, in milliseconds.
fn path(model: &Model, holders: &[Holder]) -> f64 {
    const DEMAND: Demand = Demand {
        prompt_tokens: 760.0,
        answer_tokens: 140.0,
    };
    let candidates = holders.iter().map(|holder| Candidate {
        server: holder.server.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: holder.zone.clone(),
        held: holder.assigned,
        profile: holder.profile,
        kv_capacity: model.kv_capacity(holder.profile, holder.assigned.len()),
    });
    let fleet = Fleet::new(Arc::new(model.clone()), candidates.collect());
    let (load, suspicion, outliers) = (Load::default(), Suspicion::default(), Outliers::default());
    let local_zone = ZONES[0].into();
    let context = Context {
        now: Instant(0),
        load: &load,
        suspicion: &suspicion,
        outliers: &outliers,
        avoid: &[],
        local_zone: &local_zone,
        herd_size: 1.0,
        random: 1,
    };
    micros(shortest(RUNS, || drop(fleet.choose(DEMAND, &context)))) / MICROS_PER_MS
}

fn model() -> Model {
    let profile = |memory_mb: f64, step_factor: f64, prefill_factor: f64| Profile {
        memory_mb,
        step_factor,
        prefill_factor,
    };
    let profiles = [
        ("large", profile(36_000.0, 3.1, 3.2)),
        ("middle", profile(21_600.0, 16.0, 8.2)),
        ("small", profile(14_400.0, 15.0, 15.0)),
    ];
    Model {
        layers: 80,
        layer_mb: 1_750.0,
        kv_bytes_per_token: 328_000.0,
        load_seconds: 14.0,
        concurrent_loads: 5,
        profiles: profiles
            .map(|(name, profile)| (name.into(), profile))
            .into(),
        ..Model::default()
    }
}

/// Returns empty servers: in each zone one in 15 large, the others half middle and half small.
fn holders(count: usize) -> Vec<Holder> {
    const LARGE_SHARE: usize = 15;
    let profiles: Vec<Profile> = model().profiles.into_values().collect();
    let holders = (0..count).map(|index| {
        let (zone, place) = (ZONES[index % ZONES.len()], index / ZONES.len());
        let kind = match place % LARGE_SHARE {
            0 => 0,
            place => 1 + place % 2,
        };
        let server = format!("s{index}").as_str().into();
        Holder::new(server, zone.into(), profiles[kind], Range::default())
    });
    holders.collect()
}

fn settled(model: &Model, holders: &[Holder]) -> Vec<Holder> {
    let mut holders = holders.to_vec();
    for _ in 0..ROUNDS {
        let orders = placement::plan(model, &holders);
        holders
            .iter_mut()
            .for_each(|holder| carry_out(holder, &orders));
    }
    holders
}

fn carry_out(holder: &mut Holder, orders: &[Order]) {
    let order = orders.iter().find(|order| order.server == holder.server);
    holder.assigned = order.map_or(holder.assigned, |order| order.layers);
    holder.serving = holder.assigned;
}
