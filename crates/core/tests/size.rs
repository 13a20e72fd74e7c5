//! Placement of hundreds to thousands of servers: what a plan gives out, and that little moves.

#![allow(clippy::unwrap_used, reason = "a test that fails must panic")]

#[path = "support/pipeline.rs"]
mod pipeline;

use jujube_core::pipeline::chooser::Context;
use jujube_core::pipeline::chooser::Demand;
use jujube_core::pipeline::load::Load;
use jujube_core::pipeline::outlier::Outliers;
use jujube_core::pipeline::placement::Holder;
use jujube_core::pipeline::placement::Phase;
use jujube_core::pipeline::placement::plan;
use jujube_core::pipeline::placement::served_tokens;
use jujube_core::pipeline::suspicion::Suspicion;
use jujube_core::time::Instant;

use pipeline::carried_out;
use pipeline::fleet;
use pipeline::holders;
use pipeline::model;

const SIZES: [usize; 3] = [300, 1_000, 3_000];
const ZONES: [&str; 3] = ["a", "b", "c"];
/// The most servers that move after the loss of one, in its availability zone.
const MAX_MOVES: usize = 6;

/// Returns empty servers of three kinds, most of them small.
fn empty(count: usize) -> Vec<Holder> {
    let each = count / ZONES.len();
    let (large, middle) = (each / 15, each / 4);
    let kinds = [
        ("a100", large),
        ("l40s", middle),
        ("l4", each - large - middle),
    ];
    ZONES
        .iter()
        .flat_map(|zone| holders(zone, &kinds))
        .collect()
}

fn serving(holders: &[Holder]) -> Vec<Holder> {
    let serving = holders.iter().cloned().map(|mut holder| {
        holder.serving = holder.assigned;
        holder.phase = Phase::Settled;
        holder
    });
    serving.collect()
}

/// Guards against servers that are ordered twice before callers arrive: each further load takes a
/// server out of service.
#[test]
fn each_server_is_placed_once() {
    for size in SIZES {
        let (model, empty) = (model(), empty(size));

        let orders = plan(&model, &empty);
        let placed = serving(&carried_out(&empty, &orders));
        let again = plan(&model, &placed);

        assert_eq!(orders.len(), empty.len(), "{size} servers");
        assert_eq!(again, [], "{size} servers");
    }
}

/// Guards against second plans that move servers whose orders are still on their way.
#[test]
fn servers_that_still_load_get_no_second_order() {
    for size in SIZES {
        let (model, empty) = (model(), empty(size));
        let orders = plan(&model, &empty);
        let mut half = carried_out(&empty, &orders);
        for (index, holder) in half.iter_mut().enumerate() {
            match index % 2 {
                0 => holder.serving = holder.assigned,
                _ => holder.phase = Phase::Loading,
            }
        }

        let again = plan(&model, &half);

        assert_eq!(again, [], "{size} servers");
    }
}

/// Guards against a loss that moves servers all over the deployment.
#[test]
fn the_loss_of_a_server_moves_few_others() {
    for size in SIZES {
        let (model, empty) = (model(), empty(size));
        let placed = serving(&carried_out(&empty, &plan(&model, &empty)));
        let lost = &placed[0];
        let mut left = placed.clone();
        left.retain(|holder| holder.server != lost.server);

        let orders = plan(&model, &left);

        let is_local = |name: &_| {
            left.iter()
                .any(|h| h.server == *name && h.zone == lost.zone)
        };
        assert!(
            orders.len() <= MAX_MOVES,
            "{size} servers: {} moves",
            orders.len()
        );
        assert!(
            orders.iter().all(|order| is_local(&order.server)),
            "{size} servers"
        );
    }
}

/// Guards against capacity that grows slower than the servers.
#[test]
fn capacity_grows_with_the_servers() {
    let each = SIZES.map(|size| {
        let (model, empty) = (model(), empty(size));
        let placed = serving(&carried_out(&empty, &plan(&model, &empty)));
        served_tokens(&model, &placed) / size as f64
    });

    assert!(
        each[2] >= 0.9 * each[0],
        "tokens a server at each size: {each:?}"
    );
}

const DEMAND: Demand = Demand {
    prompt_tokens: 760.0,
    answer_tokens: 200.0,
};

/// Guards against requests that crowd on the servers that a sample happens to name, and against
/// full samples that hide free servers.
#[test]
fn a_thousand_streams_spread_over_the_servers() {
    let (model, empty) = (model(), empty(1_000));
    let placed = serving(&carried_out(&empty, &plan(&model, &empty)));
    let fleet = fleet(&model, &placed);
    let mut load = Load::default();

    let chosen = (0..1_000).map(|random| {
        let context = Context {
            now: Instant(0),
            load: &load,
            suspicion: &Suspicion::default(),
            outliers: &Outliers::default(),
            avoid: &[],
            local_zone: &ZONES[random as usize % ZONES.len()].into(),
            herd_size: 1.0,
            random,
        };
        let choice = fleet.choose(DEMAND, &context).unwrap();
        load.start_path(&choice.path, DEMAND.tokens());
        choice.lacks_capacity()
    });

    assert!(chosen.collect::<Vec<_>>().iter().all(|lacks| !lacks));
    let most = placed
        .iter()
        .map(|holder| load.requests(&holder.server))
        .max();
    assert!(most <= Some(100), "{most:?} streams at one server");
}
