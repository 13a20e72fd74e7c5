//! Differences between two bundles, and the guard that limits how much a change may remove.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::fmt::Debug;

use super::model::Bundle;
use crate::name::Service;
use crate::section::Fault;

/// One difference between two bundles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A section that only the newer bundle has.
    Added(String),
    /// A section that only the older bundle has.
    Removed(String),
    /// A section whose content differs between the two bundles.
    Altered(String),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(section) => write!(f, "+ [{section}]"),
            Self::Removed(section) => write!(f, "- [{section}]"),
            Self::Altered(section) => write!(f, "~ [{section}]"),
        }
    }
}

/// Returns the differences from `older` to `newer`, section by section.
///
/// # Examples
///
/// ```
/// # use jujube_core::bundle;
/// let older = bundle::parse("[bundle]\nserial = 1\n")?;
/// let newer = bundle::parse("[bundle]\nserial = 2\n[accelerator a]\nlayer-tokens = 9\n")?;
/// let changes = bundle::diff(&older, &newer);
/// assert_eq!(changes[0].to_string(), "+ [accelerator a]");
/// # Ok::<(), Vec<bundle::Fault>>(())
/// ```
#[must_use]
pub fn diff(older: &Bundle, newer: &Bundle) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("customer", &older.customers, &newer.customers, &mut changes);
    compare("service", &older.services, &newer.services, &mut changes);
    compare("server", &older.servers, &newer.servers, &mut changes);
    compare(
        "accelerator",
        &older.accelerators,
        &newer.accelerators,
        &mut changes,
    );
    let links_by_name = |bundle: &Bundle| -> BTreeMap<String, super::Link> {
        let links = bundle.links.iter();
        links
            .map(|((a, b), link)| (format!("{a} {b}"), *link))
            .collect()
    };
    compare(
        "link",
        &links_by_name(older),
        &links_by_name(newer),
        &mut changes,
    );
    changes
}

fn compare<K: fmt::Display + Ord, V: Eq + Debug>(
    kind: &str,
    older: &BTreeMap<K, V>,
    newer: &BTreeMap<K, V>,
    changes: &mut Vec<Change>,
) {
    let keys: BTreeSet<&K> = older.keys().chain(newer.keys()).collect();
    for key in keys {
        let section = format!("{kind} {key}");
        match (older.get(key), newer.get(key)) {
            (None, Some(_)) => changes.push(Change::Added(section)),
            (Some(_), None) => changes.push(Change::Removed(section)),
            (Some(a), Some(b)) if a != b => changes.push(Change::Altered(section)),
            _ => {}
        }
    }
}

/// The limit on what a bundle may remove without a consent in its signed text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guard {
    /// The maximum share of a service's backend servers that may be removed, in percent.
    pub largest_loss_percent: u64,
}

impl Default for Guard {
    fn default() -> Self {
        Self {
            largest_loss_percent: 34,
        }
    }
}

/// Returns the removals from `older` to `newer` that exceed `limits` and lack a consent.
///
/// Guards against a truncated bundle: each section that is left is valid, but the roll-out would
/// remove part of the fleet. The consent is a line of the signed text, so that the reviewer sees it.
#[must_use]
pub fn guard(older: &Bundle, newer: &Bundle, limits: Guard) -> Vec<Fault> {
    let mut faults = Vec::new();
    for customer in older.customers.keys() {
        if newer.customers.contains_key(customer) {
            continue;
        }
        let consent = format!("drop-customer:{customer}");
        let what = format!("drops customer {customer}");
        require_consent(newer, &consent, what, &mut faults);
    }
    for service in older.services.keys() {
        if !newer.services.contains_key(service) {
            let consent = format!("drop-service:{service}");
            let what = format!("drops service {service}");
            require_consent(newer, &consent, what, &mut faults);
            continue;
        }
        check_capacity(older, newer, service, limits, &mut faults);
    }
    faults
}

fn check_capacity(
    older: &Bundle,
    newer: &Bundle,
    service: &Service,
    limits: Guard,
    faults: &mut Vec<Fault>,
) {
    let before: BTreeSet<_> = older.in_use(service).map(|(name, _)| name).collect();
    let after: BTreeSet<_> = newer.in_use(service).map(|(name, _)| name).collect();
    let lost = before.difference(&after).count() as u64;
    let total = before.len() as u64;
    if lost * 100 <= total * limits.largest_loss_percent {
        return;
    }
    let consent = format!("shrink:{service}");
    let what = format!("takes {lost} of {total} backend servers of {service} out of use");
    require_consent(newer, &consent, what, faults);
}

fn require_consent(newer: &Bundle, consent: &str, what: String, faults: &mut Vec<Fault>) {
    if newer.consents.contains(consent) {
        return;
    }
    let what = format!("{what}: expected `consent = {consent}` in the signed text");
    faults.push(Fault::new("bundle", "consent", what));
}
