//! The share of requests served after servers returned without layers, while loads share a rate.
//!
//! The users' target is 12 s from the machines' return. The first plan comes up to 4.5 s after it: the
//! killed planner's lease runs out, another entry acquires it, and the servers have registered.

#[path = "support/fleets.rs"]
mod fleets;
#[path = "support/pipeline.rs"]
mod pipeline;
#[path = "support/servers.rs"]
mod servers;

use std::ops::Range;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use fleets::Fleet;
use servers::STEP_MS;
use servers::Site;

/// The simulated returns of each fleet in CI; `RETURN_SEEDS=0..300` runs others.
const RETURNS: Range<u64> = 0..40;
/// The users' target, and until when service is measured, in milliseconds after the return.
const RECOVERY_MS: u64 = 12_000;
const END_MS: u64 = 20_000;
/// The share of requests that must be served.
const MIN_SHARE: f64 = 0.25;
/// When the first plan is made at the latest, in milliseconds after the return.
const PLANNED_BY_MS: u64 = 4_500;
/// The probability that a server of a partial loss still holds its layers.
const SURVIVORS: f64 = 0.4;

/// Simulates a return; returns the least share served at any moment later than the recovery time.
fn least_share(seed: u64, fleet: &Fleet, survivors: f64) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut site = Site::draw_return(&mut random, fleet, survivors, PLANNED_BY_MS);
    let is_replaced = random.random_bool(0.3);
    let hand_over = random.random_range(PLANNED_BY_MS..RECOVERY_MS) / STEP_MS * STEP_MS;
    let knows = random.random_bool(0.5);
    let mut least: f64 = 1.0;
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        if is_replaced && now == hand_over {
            site.replace_planner(now, knows);
        }
        site.step(now);
        if now >= RECOVERY_MS {
            least = least.min(site.served_share(now));
        }
    }
    least
}

fn seeds() -> Range<u64> {
    let range = std::env::var("RETURN_SEEDS").ok();
    let ends = range.as_deref().and_then(|range| range.split_once(".."));
    let parsed = ends.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    parsed.unwrap_or(RETURNS)
}

fn check(fleet: &Fleet, survivors: f64) {
    let shares = seeds().map(|seed| (seed, least_share(seed, fleet, survivors)));
    let failed: Vec<_> = shares.filter(|(_, share)| *share < MIN_SHARE).collect();
    assert!(failed.is_empty(), "seed, share: {failed:?}");
}

/// Guards against loads that are all started at once, share the rate, and all end late.
#[test]
fn a_small_fleet_serves_in_time_after_all_layers_were_lost() {
    check(&fleets::small(), 0.0);
}

/// Guards against the same where replicas have more parts than loads have the full rate.
#[test]
fn a_middle_fleet_serves_in_time_after_all_layers_were_lost() {
    check(&fleets::middle(), 0.0);
}

/// Guards against the same where many availability zones load at the same time.
#[test]
fn a_large_fleet_serves_in_time_after_all_layers_were_lost() {
    check(&fleets::large(), 0.0);
}

/// Guards against loads for further copies that delay those of the layers nobody holds.
#[test]
fn fleets_serve_in_time_after_most_layers_were_lost() {
    for fleet in [fleets::small(), fleets::middle(), fleets::large()] {
        check(&fleet, SURVIVORS);
    }
}
