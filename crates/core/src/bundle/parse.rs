//! Parses the INI text of a bundle.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::model::Bundle;
use super::model::Capacity;
use super::model::Kind;
use super::model::Link;
use super::model::Member;
use super::model::Offer;
use super::model::Tenant;
use crate::layer::Range;
use crate::name::Customer;
use crate::name::Zone;
use crate::section;
use crate::section::Fault;
use crate::section::Reader;
use crate::time::Span;

/// The maximum length of a bundle's text: it has to fit into one value of the key-value service
/// together with the signatures.
pub const MAX_BYTES: usize = 900_000;

/// Parses the text of a bundle and collects all faults instead of stopping at the first.
///
/// # Errors
///
/// Returns the faults when the text is not valid INI or too long, or when a section or key is
/// unknown, missing or of the wrong type.
///
/// # Examples
///
/// ```
/// # use jujube_core::bundle::parse;
/// let faults = parse("[bundle]\nserial = one\n").unwrap_err();
/// assert_eq!(faults[0].to_string(), "[bundle] serial: `one`: expected a whole number");
/// ```
pub fn parse(text: &str) -> Result<Bundle, Vec<Fault>> {
    if text.len() > MAX_BYTES {
        let what = format!("{} bytes: expected at most {MAX_BYTES}", text.len());
        return Err(vec![Fault::new("bundle", "-", what)]);
    }
    let ini = section::load(text).map_err(|fault| vec![fault])?;
    let mut bundle = Bundle::default();
    let mut faults = Vec::new();
    let mut seen = BTreeSet::new();
    for (header, properties) in &ini {
        let Some(header) = header else {
            let stray = properties.iter().next();
            if let Some((key, _)) = stray {
                faults.push(Fault::new("", key, "key outside of any section"));
            }
            continue;
        };
        if !seen.insert(header.to_string()) {
            faults.push(Fault::new(header, "-", "duplicate section"));
            continue;
        }
        let mut reader = Reader::new(header, properties);
        read_section(header, &mut reader, &mut bundle);
        faults.extend(reader.finish().into_iter().map(|finding| finding.fault));
    }
    if !seen.contains("bundle") {
        faults.push(Fault::new("bundle", "-", "missing section"));
    }
    if faults.is_empty() {
        return Ok(bundle);
    }
    Err(faults)
}

fn read_section(header: &str, reader: &mut Reader<'_>, bundle: &mut Bundle) {
    let words: Vec<&str> = header.split_whitespace().collect();
    match words.as_slice() {
        ["bundle"] => {
            bundle.serial = reader.number("serial", None);
            bundle.consents = reader.list("consent");
        }
        ["customer", name] => {
            let tenant = read_customer(reader);
            bundle.customers.insert((*name).into(), tenant);
        }
        ["service", name] => {
            let offer = read_service(reader);
            bundle.services.insert((*name).into(), offer);
        }
        ["server", name] => {
            let member = read_server(reader);
            bundle.servers.insert((*name).into(), member);
        }
        ["accelerator", name] => {
            let layer_tokens = reader.number("layer-tokens", None);
            let capacity = Capacity { layer_tokens };
            bundle.accelerators.insert((*name).into(), capacity);
        }
        ["link", one, other] => {
            let link = Link {
                bytes: reader.number("bytes", None),
                latency_micros: reader.number("latency-micros", Some(0)),
            };
            let (one, other) = (Zone::from(*one), Zone::from(*other));
            let pair = if one <= other {
                (one, other)
            } else {
                (other, one)
            };
            bundle.links.insert(pair, link);
        }
        _ => reader.fault(
            "-",
            "unknown section: expected bundle, customer NAME, service NAME, server NAME, \
             accelerator NAME or link ZONE ZONE",
        ),
    }
}

fn read_customer(reader: &mut Reader<'_>) -> Tenant {
    Tenant {
        keys: reader.list("keys"),
        weight: reader.number("weight", Some(1)),
        max_in_flight: reader.number("max-in-flight", Some(64)),
    }
}

fn read_service(reader: &mut Reader<'_>) -> Offer {
    const DEFAULT_MAX_WAIT_MILLIS: u64 = 10_000;
    const DEFAULT_ACTIVATION_BYTES: u64 = 8192;
    let kind = reader.value("kind", "`model` or `plain`", None);
    let customers: BTreeSet<Arc<str>> = reader.list("customers");
    let methods: BTreeSet<Arc<str>> = reader.list("idempotent");
    let safe = ["GET", "HEAD", "OPTIONS"].map(Arc::from);
    Offer {
        kind,
        layers: match kind {
            Kind::Model => reader.number("layers", None) as u32,
            Kind::Plain => 0,
        },
        priority: reader.number("priority", Some(1)),
        customers: customers.into_iter().map(Customer).collect(),
        idempotent: safe.into_iter().chain(methods).collect(),
        max_wait: Span(reader.number("max-wait-ms", Some(DEFAULT_MAX_WAIT_MILLIS))),
        activation_bytes: reader.number("activation-bytes", Some(DEFAULT_ACTIVATION_BYTES)),
    }
}

fn read_server(reader: &mut Reader<'_>) -> Member {
    let name = "a name";
    let layers = "`start-end` with start below end, such as `0-12`";
    Member {
        service: reader.text("service", name, None).into(),
        address: reader.text("address", "an IP number and port", None).into(),
        zone: reader.text("zone", name, None).into(),
        accelerator: reader.text("accelerator", name, Some("none")).into(),
        layers: reader.value("layers", layers, Some(Range::default())),
        slots: reader.number("slots", Some(64)),
        in_use: reader.value("in-use", "`true` or `false`", Some(true)),
    }
}
