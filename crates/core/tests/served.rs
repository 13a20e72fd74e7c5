//! The share of requests served after all entries were killed, while registrations lapse and return.
//!
//! The entries are back at once and know of no orders. Two storms of lapses follow, each of a third
//! to two thirds of the servers, with new planners and loads under way.

#[path = "support/pipeline.rs"]
mod pipeline;
#[path = "support/servers.rs"]
mod servers;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use servers::STEP_MS;
use servers::Site;

/// The number of simulated days in CI.
const DAYS: u64 = 100;
/// The time to load the whole model in seconds, from near and from far storage.
const NEAR_SECONDS: f64 = 1.4;
const FAR_SECONDS: f64 = 14.0;
/// When service must be back, and until when it is measured, in milliseconds after the return.
const RECOVERY_MS: u64 = 12_000;
const END_MS: u64 = 20_000;
/// The window over which the least share is taken.
const WINDOW_MS: u64 = 4_000;
/// The share of requests that must be served.
const MIN_SHARE: f64 = 0.25;

/// Simulates a day; returns the least share served over any window later than the recovery time.
fn least_share(seed: u64, load_seconds: f64, is_planned: bool) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut site = Site::draw_storms(&mut random, load_seconds);
    let hand_over = random.random_range(0..RECOVERY_MS / STEP_MS) * STEP_MS;
    let knows = random.random_bool(0.5);
    let mut shares = Vec::new();
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        if !is_planned {
            site.step_unplanned(now);
        } else {
            if now == hand_over {
                site.replace_planner(now, knows);
            }
            site.step(now);
        }
        if now >= RECOVERY_MS {
            shares.push(site.served_share(now));
        }
    }
    let windows = shares.windows((WINDOW_MS / STEP_MS) as usize);
    let means = windows.map(|window| window.iter().sum::<f64>() / window.len() as f64);
    means.fold(1.0, f64::min)
}

/// Checks that the planner serves the least share wherever servers left alone would.
fn check_served_share(load_seconds: f64) {
    let mut failed = Vec::new();
    let (mut planned_sum, mut unplanned_sum) = (0.0, 0.0);
    for seed in 0..DAYS {
        let unplanned = least_share(seed, load_seconds, false);
        let planned = least_share(seed, load_seconds, true);
        unplanned_sum += unplanned;
        planned_sum += planned;
        if unplanned >= MIN_SHARE && planned < MIN_SHARE {
            failed.push((seed, unplanned, planned));
        }
    }
    println!(
        "least share {:.3} on average, {:.3} without a planner",
        planned_sum / DAYS as f64,
        unplanned_sum / DAYS as f64
    );
    assert!(failed.is_empty(), "seed, unplanned, planned: {failed:?}");
}

/// Guards against a planner that moves the servers on which requests are served, to replace servers
/// that are back soon.
#[test]
fn what_servers_carry_is_served_through_lapses_where_loads_are_slow() {
    check_served_share(FAR_SECONDS);
}

/// Guards against the same where moves are short, but wait for requests.
#[test]
fn what_servers_carry_is_served_through_lapses_where_loads_are_quick() {
    check_served_share(NEAR_SECONDS);
}
