//! Orders to hold layers, from sending until they appear in the registrations.

#[path = "support/pipeline.rs"]
mod pipeline;

use std::collections::BTreeMap;

use jujube_core::layer::Range;
use jujube_core::pipeline::assignment::Assignments;
use jujube_core::pipeline::assignment::expected_duration;
use jujube_core::pipeline::placement::Handover;
use jujube_core::pipeline::placement::Order;
use jujube_core::pipeline::placement::Phase;
use jujube_core::time::Instant;
use jujube_core::time::Span;

use pipeline::model;

const HELD: Range = Range { start: 0, end: 8 };

fn order(handover: Handover) -> Order {
    Order {
        handover,
        ..Order::new("a".into(), Range::new(8, 16))
    }
}

fn phase(orders: &Assignments, now: u64, requests: u64) -> Phase {
    let assignment = orders.get(&"a".into());
    assignment.map_or(Phase::Settled, |assignment| {
        assignment.phase(Instant(now), requests, &model(), orders.len())
    })
}

/// Guards against a gap that the next planner assumes closed by an order that no server accepted.
#[test]
fn an_order_that_no_server_accepted_is_not_inherited() {
    let (accepted, lost) = (
        order(Handover::Drain),
        Order::new("b".into(), Range::new(0, 8)),
    );
    let mut orders = Assignments::default();
    orders.record(Instant(0), &accepted, HELD);
    orders.record(Instant(0), &lost, HELD);
    orders.accept(&accepted);

    let next = Assignments::inherited(Instant(9), &orders.accepted(), |_, _| Span(0));

    assert_eq!(
        next.accepted(),
        BTreeMap::from([("a".into(), Range::new(8, 16))])
    );
}

/// Guards against an order that counts as loading while its server waits for requests.
#[test]
fn a_server_with_requests_is_blocked_unless_they_are_interrupted() {
    for (handover, requests, expected) in [
        (Handover::Drain, 3, Phase::Blocked),
        (Handover::Drain, 0, Phase::Loading),
        (Handover::Break, 3, Phase::Loading),
    ] {
        let mut orders = Assignments::default();
        orders.record(Instant(0), &order(handover), HELD);

        assert_eq!(phase(&orders, 100, requests), expected, "{handover:?}");
    }
}

#[test]
fn a_server_that_keeps_its_layers_is_not_blocked() {
    let mut orders = Assignments::default();
    let added = Order::new("a".into(), Range::new(0, 16));

    orders.record(Instant(0), &added, HELD);

    assert_eq!(phase(&orders, 100, 3), Phase::Loading);
}

/// Guards against requests that no entry tracks any more but that still delay a load.
#[test]
fn an_overdue_load_counts_as_blocked() {
    let mut orders = Assignments::default();
    orders.record(Instant(0), &order(Handover::Drain), HELD);

    assert_eq!(phase(&orders, 2_900, 0), Phase::Loading);
    assert_eq!(phase(&orders, 2_901, 0), Phase::Blocked);
}

/// Loads beyond the concurrent ones share the bandwidth and take proportionally longer.
#[test]
fn concurrent_loads_take_longer() {
    let mut orders = Assignments::default();
    for server in ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"] {
        let order = Order::new(server.into(), Range::new(8, 16));
        orders.record(Instant(0), &order, HELD);
    }

    assert_eq!(phase(&orders, 4_300, 0), Phase::Loading);
    assert_eq!(phase(&orders, 4_301, 0), Phase::Blocked);
}

/// Guards against plans that rely on a server that still executes another order.
/// Guards against a load time so long that its end is computed to lie before its beginning: the order
/// counted as blocked at once.
#[test]
fn a_load_of_any_length_is_not_overdue_early() {
    let mut model = model();
    model.load_seconds = 1e300;

    let expected = expected_duration(&model, Range::new(0, model.layers), 1);

    assert_eq!(expected, Span(u64::MAX));
}

#[test]
fn a_refused_order_is_blocked_until_accepted() {
    let mut orders = Assignments::default();
    let order = order(Handover::Break);
    orders.record(Instant(0), &order, HELD);

    orders.refuse(&order);
    assert_eq!(phase(&orders, 100, 0), Phase::Blocked);
    orders.accept(&order);
    assert_eq!(phase(&orders, 100, 0), Phase::Loading);
}

#[test]
fn a_completed_order_is_reported_once_and_dropped() {
    let mut orders = Assignments::default();
    let order = order(Handover::Drain);
    orders.record(Instant(0), &order, HELD);

    let early = orders.settle(Instant(100), |_| Some(HELD));
    let completed = orders.settle(Instant(700), |_| Some(order.layers));

    assert_eq!(early, []);
    assert_eq!(completed.len(), 1);
    assert!(orders.is_empty());
}

/// Guards against an order that takes away the layers that a server has just loaded for an earlier
/// planner.
#[test]
fn a_refused_order_is_dropped_when_its_server_holds_other_layers() {
    let mut orders = Assignments::default();
    let order = order(Handover::Break);
    orders.record(Instant(0), &order, HELD);
    orders.refuse(&order);

    orders.settle(Instant(100), |_| Some(HELD));
    assert!(orders.is_latest(&order));
    orders.settle(Instant(700), |_| Some(Range::new(40, 48)));

    assert!(!orders.is_latest(&order));
}
