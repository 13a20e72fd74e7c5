//! Which exchanges with a server may share a connection.

use jujube_core::pipeline::carried::Carried;
use jujube_core::pipeline::carried::Exchange;

fn request(id: &str) -> Exchange {
    Exchange::Request(id.into())
}

fn after(exchanges: &[Exchange]) -> Carried {
    let mut carried = Carried::default();
    for exchange in exchanges {
        carried.sent(exchange);
        carried.turned_away(exchange);
    }
    carried
}

/// Guards against a retry over the connection on which a second copy of its rejection may arrive,
/// also after other requests.
#[test]
fn request_that_was_turned_away_takes_another_connection() {
    let carried = after(&[request("once"), request("other")]);

    assert!(!carried.may_carry(&request("once")));
    assert!(carried.may_carry(&request("next")));
}

/// Guards against an order that counts as refused or done by a second copy of the response to an
/// earlier order, a health check or a request without an identifier.
#[test]
fn order_takes_a_connection_on_which_every_response_has_a_name() {
    assert!(after(&[request("once")]).may_carry(&Exchange::Unnamed));
    for earlier in [Exchange::Unnamed, Exchange::Check] {
        assert!(!after(&[earlier]).may_carry(&Exchange::Unnamed));
    }
}

/// Guards against a server that counts as dead because a second response to an order is no report.
#[test]
fn health_check_follows_other_health_checks_but_no_order() {
    assert!(after(&[Exchange::Check]).may_carry(&Exchange::Check));
    assert!(!after(&[Exchange::Unnamed]).may_carry(&Exchange::Check));
}

/// Guards against memory that grows with the number of requests turned away.
#[test]
fn few_requests_are_remembered() {
    let many: Vec<Exchange> = (0..1_000).map(|id| request(&id.to_string())).collect();
    let carried = after(&many);

    let remembered = many.iter().filter(|request| !carried.may_carry(request));
    assert!(remembered.count() < 10);
    assert!(!carried.may_carry(&request("999")));
}
