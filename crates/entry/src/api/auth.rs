//! Who calls.

use hyper::header::AUTHORIZATION;
use hyper::header::HeaderMap;
use jujube_core::blackboard::Snapshot;
use jujube_core::bundle;
use jujube_core::bundle::Kind;
use jujube_core::bundle::Offer;
use jujube_core::name::Customer;
use jujube_core::name::Service;
use jujube_core::refusal::Reason;
use jujube_core::refusal::Refusal;

/// Returns the customer that a request's API key belongs to.
pub(crate) fn customer(snapshot: &Snapshot, headers: &HeaderMap) -> Result<Customer, Refusal> {
    let unauthenticated = || Refusal::not_run(Reason::Unauthenticated, "expected a known API key");
    let header = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let key = header.and_then(|header| header.strip_prefix("Bearer "));
    let key = key.ok_or_else(unauthenticated)?;
    let digest = bundle::digest(key);
    snapshot
        .keys
        .get(digest.0.as_str())
        .cloned()
        .ok_or_else(unauthenticated)
}

/// Returns a service of a kind if the customer may use it.
pub(crate) fn offer<'a>(
    snapshot: &'a Snapshot,
    customer: &Customer,
    service: &Service,
    kind: Kind,
) -> Result<&'a Offer, Refusal> {
    let unknown = || Refusal::not_run(Reason::Unknown, format!("no {kind} service `{service}`"));
    let offer = snapshot.bundle.services.get(service).ok_or_else(unknown)?;
    if !snapshot.bundle.may_use(customer, service) {
        return Err(Refusal::not_run(
            Reason::Forbidden,
            "this service is not yours to use",
        ));
    }
    if offer.kind != kind {
        return Err(unknown());
    }
    Ok(offer)
}
