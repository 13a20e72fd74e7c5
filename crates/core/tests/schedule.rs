//! The order in which servers load, and how many at the same time.

#[path = "support/fleets.rs"]
mod fleets;
#[path = "support/pipeline.rs"]
mod pipeline;

use std::collections::BTreeMap;

use jujube_core::layer::Range;
use jujube_core::pipeline::assignment::Assignments;
use jujube_core::pipeline::assignment::Load;
use jujube_core::pipeline::bandwidth::Bandwidth;
use jujube_core::pipeline::model::Model;
use jujube_core::pipeline::placement::Holder;
use jujube_core::pipeline::placement::Order;
use jujube_core::pipeline::placement::Phase;
use jujube_core::pipeline::placement::has_path;
use jujube_core::pipeline::placement::plan;
use jujube_core::pipeline::placement::schedule;
use jujube_core::time::Instant;
use jujube_core::time::Span;

use fleets::Fleet;
use pipeline::carried_out;
use pipeline::holders;
use pipeline::model;

/// Servers that may load at the same time.
const CONCURRENT: usize = 5;

/// Returns the orders to give now.
fn next(model: &Model, holders: &[Holder], concurrent: usize) -> Vec<Order> {
    schedule(model, holders, plan(model, holders), concurrent)
}

/// Returns the holders while they load the layers that they are ordered to hold.
fn loading(holders: &[Holder], orders: &[Order]) -> Vec<Holder> {
    let ordered = carried_out(holders, orders).into_iter().zip(holders);
    let loading = ordered.map(|(after, before)| match after.assigned == before.assigned {
        true => before.clone(),
        false => Holder {
            serving: before.serving,
            phase: Phase::Loading,
            ..after
        },
    });
    loading.collect()
}

fn fleets() -> [Fleet; 3] {
    [fleets::small(), fleets::middle(), fleets::large()]
}

/// Guards against loads that share the rate, and all end late.
#[test]
fn no_more_servers_load_than_have_the_full_rate() {
    for fleet in fleets() {
        let concurrent = fleet.model.concurrent_loads as usize;

        let first = next(&fleet.model, &fleet.holders, concurrent);
        let under_way = loading(&fleet.holders, &first);

        assert_eq!(first.len(), concurrent);
        assert_eq!(next(&fleet.model, &under_way, concurrent), []);
    }
}

/// Guards against first loads that belong to several copies, none of which is complete.
#[test]
fn the_first_loads_complete_one_copy() {
    for fleet in fleets() {
        let concurrent = fleet.model.concurrent_loads as usize;
        let mut placed = fleet.holders.clone();
        let mut rounds = 0;

        while !has_path(&fleet.model, &placed) {
            placed = carried_out(&placed, &next(&fleet.model, &placed, concurrent));
            rounds += 1;
        }

        assert!(rounds <= 2, "a copy has up to {} parts", 2 * concurrent);
    }
}

/// Guards against a placement that ends up elsewhere because it is planned again while a part of it
/// is under way.
#[test]
fn a_placement_in_steps_is_that_of_one_go() {
    let layers = |holders: &[Holder]| -> BTreeMap<_, _> {
        let held = holders.iter().map(|h| (h.server.clone(), h.assigned));
        held.collect()
    };
    for fleet in fleets() {
        let at_once = carried_out(&fleet.holders, &plan(&fleet.model, &fleet.holders));
        let mut placed = fleet.holders.clone();

        loop {
            let orders = next(&fleet.model, &placed, CONCURRENT);
            if orders.is_empty() {
                break;
            }
            placed = carried_out(&placed, &orders);
        }

        assert_eq!(layers(&placed), layers(&at_once));
    }
}

/// Guards against a gap that stays open until loads of further copies have ended.
#[test]
fn loads_of_further_copies_hold_up_no_gap() {
    let model = model();
    let mut servers = holders("a", &[("a100", 4), ("l4", 6)]);
    let held = [(0, 27), (27, 54), (54, 80), (0, 27)];
    for (server, (start, end)) in servers.iter_mut().zip(held) {
        server.assigned = Range::new(start, end);
        server.serving = server.assigned;
    }
    for server in &mut servers[4..9] {
        server.assigned = Range::new(0, 8);
        server.phase = Phase::Loading;
    }
    servers.remove(1);

    let orders = next(&model, &servers, CONCURRENT);

    assert!(!orders.is_empty(), "layers 27 to 54 have no holder");
}

/// Guards against loads that are held back although no layers need to be loaded.
#[test]
fn orders_that_load_nothing_are_given_at_once() {
    let model = model();
    let mut servers = holders("a", &[("a100", 1)]);
    servers[0].assigned = Range::new(0, 40);
    servers[0].serving = servers[0].assigned;
    let release = Order::new(servers[0].server.clone(), Range::new(0, 20));

    let orders = schedule(&model, &servers, vec![release.clone()], 0);

    assert_eq!(orders, [release]);
}

/// Guards against one load that seems quick, after which all servers load at the same time.
#[test]
fn a_single_quick_load_does_not_show_a_fast_storage() {
    let (model, now) = (model(), Instant(1_000));
    let configured = Load {
        layers: 8,
        took: Span(1_600),
    };
    let quick = Load {
        took: Span(100),
        ..configured
    };
    let mut bandwidth = Bandwidth::default();

    for load in [configured, quick, configured, quick, quick] {
        bandwidth.record(now, &model, load, CONCURRENT);
        assert_eq!(bandwidth.concurrent_loads(now, &model), CONCURRENT);
    }
    bandwidth.record(now, &model, quick, CONCURRENT);
    assert!(bandwidth.concurrent_loads(now, &model) > CONCURRENT);
}

/// Guards against a load whose begin is unknown and that therefore seems quick.
#[test]
fn loads_that_another_planner_ordered_are_not_measured() {
    let order = Order::new("a".into(), Range::new(0, 8));
    let accepted = BTreeMap::from([(order.server.clone(), order.layers)]);
    let mut inherited = Assignments::inherited(Instant(0), &accepted, |_, _| Span(0));
    let mut refused = Assignments::default();
    refused.record(Instant(0), &order, Range::default());
    refused.refuse(&order);
    refused.begin(Instant(700), &order);

    for orders in [&mut inherited, &mut refused] {
        let completed = orders.settle(Instant(800), |_| Some(order.layers));
        assert_eq!(completed[0].load, None);
    }
}
