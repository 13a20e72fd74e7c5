//! Tests of how a placement closes a gap in a model's layers.
//!
//! A server that gives up layers gets no new streams and loads its new layers once its streams have ended.

#[path = "support/pipeline.rs"]
mod pipeline;

use jujube_core::layer::Range;
use jujube_core::layer::gaps;
use jujube_core::pipeline::placement::Handover;
use jujube_core::pipeline::placement::Holder;
use jujube_core::pipeline::placement::Order;
use jujube_core::pipeline::placement::Phase;
use jujube_core::pipeline::placement::plan;

use pipeline::carried_out;
use pipeline::model;
use pipeline::profile;

fn holder(name: &str, accelerator: &str, layers: (u32, u32), requests: u64) -> Holder {
    let held = Range::new(layers.0, layers.1);
    Holder {
        requests,
        ..Holder::new(name.into(), "a".into(), profile(accelerator), held)
    }
}

fn names(orders: &[Order]) -> Vec<&str> {
    let names = orders.iter().map(|order| &*order.server.server.0);
    names.collect()
}

/// Guards against a gap that stays open while a neighbour has memory for its layers.
#[test]
fn a_neighbour_adds_the_missing_layers() {
    let holders = [
        holder("left", "a100", (0, 26), 60),
        holder("right", "l40s", (29, 50), 60),
        holder("last", "a100", (50, 80), 0),
        holder("spare", "l40s", (50, 68), 10),
    ];

    let orders = plan(&model(), &holders);

    assert_eq!(names(&orders), ["left"]);
    assert_eq!(orders[0].layers, Range::new(0, 29));
}

/// Guards against a gap that stays open until streams end while an idle server could close it.
#[test]
fn the_server_with_the_fewest_requests_gives_up_its_layers() {
    let holders = [
        holder("left", "a100", (0, 34), 40),
        holder("busy", "l4", (70, 80), 30),
        holder("idle", "l4", (70, 80), 0),
        holder("right", "a100", (42, 80), 40),
    ];

    let orders = plan(&model(), &holders);

    assert_eq!(names(&orders), ["idle"]);
    assert_eq!(orders[0].layers, Range::new(34, 42));
}

/// Guards against a placement that opens one gap to close another while spare servers could close it.
#[test]
fn a_layer_keeps_its_last_holder() {
    let holders = [
        holder("only", "l40s", (0, 20), 0),
        holder("middle", "a100", (20, 54), 0),
        holder("spare-1", "l4", (30, 38), 50),
        holder("spare-2", "l4", (30, 38), 50),
        holder("spare-3", "l4", (38, 46), 50),
        holder("last", "l4", (74, 80), 0),
    ];
    let model = model();

    let orders = plan(&model, &holders);

    let placed = carried_out(&holders, &orders);
    let kept: Vec<&Holder> = placed
        .iter()
        .filter(|h| {
            names(&orders)
                .iter()
                .all(|name| **name != *h.server.server.0)
        })
        .collect();
    let lost = gaps(model.layers, kept.iter().map(|holder| holder.assigned));
    assert!(lost.iter().all(|gap| gap.start >= 54), "{orders:?}");
}

/// Guards against moves for capacity that remove further layers while requests are refused for lack of a path.
#[test]
fn no_server_moves_for_capacity_while_a_gap_is_being_closed() {
    let mut loading = holder("loading", "l4", (0, 8), 0);
    let mut holders = vec![holder("spare", "l4", (72, 80), 0)];
    for (start, end) in [(8, 32), (32, 56), (56, 80)] {
        for copy in ["first", "second"] {
            holders.push(holder(&format!("{copy}-{start}"), "a100", (start, end), 40));
        }
    }
    holders.push(loading.clone());
    let model = model();
    assert_eq!(
        names(&plan(&model, &holders)),
        ["spare"],
        "a move would add capacity"
    );

    loading.serving = Range::default();
    loading.phase = Phase::Loading;
    holders.pop();
    holders.push(loading);

    assert_eq!(plan(&model, &holders), []);
}

/// Returns a zone with a gap that only a server with requests can close.
fn gap_beside_requests() -> Vec<Holder> {
    vec![
        holder("left", "a100", (0, 38), 40),
        holder("busy", "l4", (70, 80), 30),
        holder("right", "a100", (42, 80), 40),
    ]
}

/// Guards against refusing all requests until those on one server have ended.
#[test]
fn requests_are_interrupted_when_there_is_no_other_path() {
    let orders = plan(&model(), &gap_beside_requests());

    assert_eq!(names(&orders), ["busy"]);
    assert_eq!(orders[0].handover, Handover::Break);
}

/// Guards against interrupting streams for a move while another availability zone serves.
#[test]
fn requests_are_drained_while_there_is_another_path() {
    let mut holders = gap_beside_requests();
    for (name, layers) in [("b-first", (0, 40)), ("b-second", (40, 80))] {
        let mut other = holder(name, "a100", layers, 20);
        other.zone = "b".into();
        holders.push(other);
    }

    let orders = plan(&model(), &holders);

    assert_eq!(names(&orders), ["busy"]);
    assert_eq!(orders[0].handover, Handover::Drain);
}

/// Guards against counting a gap as closed by an order that is blocked by the requests on its server.
#[test]
fn a_blocked_server_closes_no_gap_while_there_is_no_path() {
    let mut holders = gap_beside_requests();
    holders[1].assigned = Range::new(38, 42);
    holders[1].serving = Range::default();
    holders[1].phase = Phase::Blocked;
    holders.push(holder("other", "l4", (70, 80), 35));

    let orders = plan(&model(), &holders);

    assert_eq!(names(&orders), ["other"]);
    assert_eq!(orders[0].handover, Handover::Break);
}

/// Guards against orders to a server that refuses them until it has carried out its last one.
#[test]
fn a_blocked_server_gets_no_other_order() {
    let mut holders = gap_beside_requests();
    holders[1].serving = Range::default();
    holders[1].phase = Phase::Blocked;

    assert_eq!(plan(&model(), &holders), []);
}
