//! Semantic checks of a parsed bundle.

use core::net::SocketAddr;
use std::collections::BTreeMap;

use super::model::Bundle;
use super::model::Kind;
use super::model::Member;
use super::model::Offer;
use crate::layer;
use crate::layer::Range;
use crate::name::Service;
use crate::section::Fault;
use crate::section::suggest;

/// Returns the semantic faults of a parsed bundle, such as references to unknown names.
///
/// # Examples
///
/// ```
/// # use jujube_core::bundle;
/// let text = "[bundle]\nserial = 1\n[service desk]\nkind = plain\n";
/// let faults = bundle::check(&bundle::parse(text)?);
/// assert_eq!(faults[0].to_string(), "[service desk] -: no backend server in use");
/// # Ok::<(), Vec<bundle::Fault>>(())
/// ```
#[must_use]
pub fn check(bundle: &Bundle) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_customers(bundle, &mut faults);
    check_services(bundle, &mut faults);
    check_servers(bundle, &mut faults);
    check_links(bundle, &mut faults);
    faults
}

/// Returns whether the value of a header can be this text, and is read as the same.
fn fits_header(text: &str) -> bool {
    const TAB: char = '\t';
    let is_control = |char: char| char.is_ascii_control() && char != TAB;
    text.trim_matches([' ', TAB]) == text && !text.contains(is_control)
}

fn check_customers(bundle: &Bundle, faults: &mut Vec<Fault>) {
    let mut owners = BTreeMap::new();
    for (name, tenant) in &bundle.customers {
        let section = format!("customer {name}");
        if !fits_header(&name.0) {
            let what = "expected a name without control characters and without blanks at its ends";
            faults.push(Fault::new(&section, "-", what));
        }
        if tenant.weight == 0 {
            faults.push(Fault::new(&section, "weight", "0: expected 1 or more"));
        }
        if tenant.max_in_flight == 0 {
            faults.push(Fault::new(
                &section,
                "max-in-flight",
                "0: expected 1 or more",
            ));
        }
        if tenant.keys.is_empty() {
            faults.push(Fault::new(
                &section,
                "keys",
                "missing: expected SHA-256 digests in hex",
            ));
        }
        for key in &tenant.keys {
            if key.len() != 64 || !key.bytes().all(|b| b.is_ascii_hexdigit()) {
                faults.push(Fault::new(
                    &section,
                    "keys",
                    "expected SHA-256 digests in hex",
                ));
            }
            if let Some(other) = owners.insert(key.clone(), name) {
                let what = format!("duplicate key, also listed for customer {other}");
                faults.push(Fault::new(&section, "keys", what));
            }
        }
    }
}

fn check_services(bundle: &Bundle, faults: &mut Vec<Fault>) {
    for (name, offer) in &bundle.services {
        let section = format!("service {name}");
        for customer in &offer.customers {
            if !bundle.customers.contains_key(customer) {
                let hint = suggest(&customer.0, bundle.customers.keys().map(|c| &*c.0));
                let what = format!("unknown customer `{customer}`{hint}");
                faults.push(Fault::new(&section, "customers", what));
            }
        }
        if bundle.in_use(name).next().is_none() {
            faults.push(Fault::new(&section, "-", "no backend server in use"));
            continue;
        }
        if offer.kind == Kind::Model {
            check_coverage(bundle, name, offer, &section, faults);
        }
    }
}

/// Reports the first layer that no backend server in use holds.
fn check_coverage(
    bundle: &Bundle,
    name: &Service,
    offer: &Offer,
    section: &str,
    faults: &mut Vec<Fault>,
) {
    if offer.layers == 0 {
        faults.push(Fault::new(section, "layers", "0: expected 1 or more"));
        return;
    }
    let held: Vec<Range> = bundle
        .in_use(name)
        .map(|(_, member)| member.layers)
        .collect();
    if let Some(layer) = layer::first_gap(offer.layers, &held) {
        let what = format!("no backend server in use holds layer {layer}");
        faults.push(Fault::new(section, "layers", what));
    }
}

fn check_servers(bundle: &Bundle, faults: &mut Vec<Fault>) {
    let mut addresses = BTreeMap::new();
    for (name, member) in &bundle.servers {
        let section = format!("server {name}");
        if member.address.parse::<SocketAddr>().is_err() {
            let what = format!("`{}`: expected an IP number and port", member.address);
            faults.push(Fault::new(&section, "address", what));
        }
        if let Some(other) = addresses.insert(member.address.clone(), name) {
            let what = format!("duplicate address, also used by server {other}");
            faults.push(Fault::new(&section, "address", what));
        }
        if member.slots == 0 {
            faults.push(Fault::new(&section, "slots", "0: expected 1 or more"));
        }
        match bundle.services.get(&member.service) {
            Some(offer) => check_member(bundle, member, offer, &section, faults),
            None => {
                let hint = suggest(&member.service.0, bundle.services.keys().map(|s| &*s.0));
                let what = format!("unknown service `{}`{hint}", member.service);
                faults.push(Fault::new(&section, "service", what));
            }
        }
    }
}

fn check_member(
    bundle: &Bundle,
    member: &Member,
    offer: &Offer,
    section: &str,
    faults: &mut Vec<Fault>,
) {
    if offer.kind == Kind::Plain {
        return;
    }
    if member.layers.is_empty() {
        faults.push(Fault::new(
            section,
            "layers",
            "missing: expected `start-end`",
        ));
    }
    if !Range::new(0, offer.layers).contains(member.layers) {
        let what = format!("{}: the model has layers 0-{}", member.layers, offer.layers);
        faults.push(Fault::new(section, "layers", what));
    }
    match bundle.accelerators.get(&member.accelerator) {
        Some(capacity) if capacity.layer_tokens > 0 => {}
        Some(_) => {
            let header = format!("accelerator {}", member.accelerator);
            faults.push(Fault::new(&header, "layer-tokens", "0: expected 1 or more"));
        }
        None => {
            let known = bundle.accelerators.keys().map(|a| &*a.0);
            let hint = suggest(&member.accelerator.0, known);
            let what = format!("unknown accelerator `{}`{hint}", member.accelerator);
            faults.push(Fault::new(section, "accelerator", what));
        }
    }
}

fn check_links(bundle: &Bundle, faults: &mut Vec<Fault>) {
    let has_servers = |zone| bundle.servers.values().any(|m| &m.zone == zone);
    for ((one, other), link) in &bundle.links {
        let section = format!("link {one} {other}");
        if link.bytes == 0 {
            faults.push(Fault::new(&section, "bytes", "0: expected 1 or more"));
        }
        for zone in [one, other] {
            if !has_servers(zone) {
                let hint = suggest(&zone.0, bundle.servers.values().map(|m| &*m.zone.0));
                let what = format!("no backend server in zone `{zone}`{hint}");
                faults.push(Fault::new(&section, "-", what));
            }
        }
    }
}
