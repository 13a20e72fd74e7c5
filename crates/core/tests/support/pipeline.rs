//! Fixtures of models and backend servers for the tests of path-routed engines.

#![allow(dead_code, reason = "each test file uses its part")]

use std::sync::Arc;

use jujube_core::layer::Range;
use jujube_core::pipeline::chooser::Candidate;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::model::Model;
use jujube_core::pipeline::model::Profile;
use jujube_core::pipeline::placement::Holder;
use jujube_core::pipeline::placement::Order;

/// Returns the profile of an accelerator.
pub fn profile(name: &str) -> Profile {
    let (memory_mb, step_factor, prefill_factor) = match name {
        "a100" => (72_000.0, 2.4, 3.2),
        "l40s" => (43_200.0, 5.6, 2.7),
        _ => (21_600.0, 16.0, 8.2),
    };
    Profile {
        memory_mb,
        step_factor,
        prefill_factor,
    }
}

/// Returns a model with 80 layers.
pub fn model() -> Model {
    Model {
        layers: 80,
        layer_mb: 1_750.0,
        kv_bytes_per_token: 918_000.0,
        step_ms: 1.02,
        step_ms_per_request: 0.007_14,
        step_ms_per_1000_context: 0.009_56,
        prefill_tokens_per_second: 105_000.0,
        prefill_chunk: 512.0,
        tokens_per_event: 3.0,
        load_seconds: 14.0,
        concurrent_loads: 5,
        mean_prompt_tokens: 774.0,
        mean_answer_tokens: 200.0,
        profiles: ["a100", "l40s", "l4"]
            .map(|name| (name.into(), profile(name)))
            .into(),
    }
}

/// Returns servers of one zone without layers, named by zone, kind and number.
pub fn holders(zone: &str, counts: &[(&str, usize)]) -> Vec<Holder> {
    let mut holders = Vec::new();
    for (name, count) in counts {
        for number in 0..*count {
            let server = format!("{zone}-{name}-{number}").as_str().into();
            holders.push(Holder::new(
                server,
                zone.into(),
                profile(name),
                Range::default(),
            ));
        }
    }
    holders
}

/// Returns the servers of a deployment in three availability zones.
pub fn region() -> Vec<Holder> {
    let mut servers = holders("a", &[("a100", 1), ("l40s", 3), ("l4", 8)]);
    servers.extend(holders("b", &[("a100", 1), ("l40s", 6), ("l4", 5)]));
    servers.extend(holders("c", &[("a100", 2), ("l40s", 2), ("l4", 5)]));
    servers
}

/// Returns the holders after the orders are carried out.
pub fn carried_out(holders: &[Holder], orders: &[Order]) -> Vec<Holder> {
    let mut holders = holders.to_vec();
    for order in orders {
        for holder in holders.iter_mut().filter(|h| h.server == order.server) {
            holder.assigned = order.layers;
            holder.serving = order.layers;
        }
    }
    holders
}

/// Returns the fleet of the holders with assigned layers.
pub fn fleet(model: &Model, holders: &[Holder]) -> Fleet {
    let holding = holders.iter().filter(|holder| !holder.assigned.is_empty());
    let candidates = holding.enumerate().map(|(index, holder)| Candidate {
        server: holder.server.clone(),
        address: ([10, 0, 0, index as u8], 8000).into(),
        zone: holder.zone.clone(),
        held: holder.assigned,
        profile: holder.profile,
        kv_capacity: model.kv_capacity(holder.profile, holder.assigned.len()),
    });
    Fleet::new(Arc::new(model.clone()), candidates.collect())
}
