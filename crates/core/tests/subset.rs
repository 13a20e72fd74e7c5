//! Tests of the subset of backend servers that one entry connects to.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

use std::collections::BTreeMap;
use std::fmt::Write;

use jujube_core::bundle::Bundle;
use jujube_core::bundle::parse;
use jujube_core::layer;
use jujube_core::layer::Range;
use jujube_core::request::BootId;
use jujube_core::subset::Settings;
use jujube_core::subset::subset;

const EACH: usize = 3;

/// Two zones and two ranges of layers with 20 backend servers each; zone `y` lacks the second range.
fn bundle() -> Bundle {
    let mut text = String::from(
        "[bundle]\nserial = 1\n[accelerator a]\nlayer-tokens = 1\n\
         [service m]\nkind = model\nlayers = 8\n",
    );
    for (index, zone, layers) in [(0, "x", "0-4"), (20, "x", "4-8"), (40, "y", "0-4")] {
        for number in index..index + 20 {
            write!(
                text,
                "[server s{number}]\nservice = m\naddress = 127.0.0.1:{}\nzone = {zone}\n\
                 accelerator = a\nlayers = {layers}\n",
                1000 + number
            )
            .unwrap();
        }
    }
    parse(&text).unwrap()
}

fn settings(zone: &str) -> Settings {
    Settings {
        zones: [zone.into()].into(),
        each: EACH,
    }
}

#[test]
fn subsets_cover_the_model_and_spread_over_servers() {
    let bundle = bundle();
    let mut selections: BTreeMap<String, usize> = BTreeMap::new();

    for entry in 0..100 {
        let members = subset(&bundle, BootId(entry), &settings("x"));
        let held: Vec<Range> = members.values().map(|member| member.layers).collect();
        assert_eq!(members.len(), 2 * EACH);
        assert_eq!(layer::first_gap(8, &held), None);
        for server in members.keys() {
            *selections.entry(server.to_string()).or_default() += 1;
        }
    }

    // 100 entries select 3 of 20 servers each, so every server is expected 15 times.
    assert_eq!(selections.len(), 40);
    assert!(
        selections.values().all(|count| (4..32).contains(count)),
        "{selections:?}"
    );
}

#[test]
fn zones_that_lack_layers_are_extended_to_all_zones() {
    let members = subset(&bundle(), BootId(1), &settings("y"));

    let held: Vec<Range> = members.values().map(|member| member.layers).collect();
    assert_eq!(layer::first_gap(8, &held), None);
    assert_eq!(members.len(), 3 * EACH);
}

#[test]
fn the_default_settings_select_all_servers() {
    let members = subset(&bundle(), BootId(1), &Settings::default());

    assert_eq!(members.len(), 60);
}
