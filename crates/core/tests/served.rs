//! The share of requests served after all entries were killed, while registrations lapse and return.
//!
//! The entries are back at once and know of no orders. Two storms of lapses follow, each of a third
//! to two thirds of the servers, with new planners and loads under way.

#[path = "support/fleets.rs"]
mod fleets;
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

/// The least shares served on a day: by servers left alone, and with a planner.
struct Outcome {
    seed: u64,
    unplanned: f64,
    planned: f64,
}

fn play_days(load_seconds: f64) -> Vec<Outcome> {
    let days = (0..DAYS).map(|seed| Outcome {
        seed,
        unplanned: least_share(seed, load_seconds, false),
        planned: least_share(seed, load_seconds, true),
    });
    days.collect()
}

fn mean(days: &[Outcome], share: impl Fn(&Outcome) -> f64) -> f64 {
    days.iter().map(share).sum::<f64>() / days.len() as f64
}

/// Checks that the planner serves the required share wherever servers left alone would.
fn check_each_day(load_seconds: f64) {
    let days = play_days(load_seconds);
    let is_failed = |day: &&Outcome| day.unplanned >= MIN_SHARE && day.planned < MIN_SHARE;
    let failed = days.iter().filter(is_failed);
    let failed: Vec<_> = failed.map(|d| (d.seed, d.unplanned, d.planned)).collect();
    assert!(failed.is_empty(), "seed, unplanned, planned: {failed:?}");
}

/// Checks that the planner serves no less than servers left alone, on average.
fn check_mean(load_seconds: f64) {
    let days = play_days(load_seconds);
    let unplanned = mean(&days, |day| day.unplanned);
    let planned = mean(&days, |day| day.planned);
    println!("least share {planned:.3}, {unplanned:.3} without a planner");
    assert!(
        planned >= unplanned,
        "{planned}, {unplanned} without a planner"
    );
}

/// Guards against a planner that moves the servers on which requests are served, to replace servers
/// that are back soon.
#[test]
fn what_servers_carry_is_served_through_lapses_where_loads_are_slow() {
    check_each_day(FAR_SECONDS);
}

/// Guards against the same where moves are short, but wait for requests.
#[test]
fn what_servers_carry_is_served_through_lapses_where_loads_are_quick() {
    check_each_day(NEAR_SECONDS);
}

/// Guards against a planner with which more requests fail than without one, as loads are slow.
#[test]
fn the_planner_costs_no_service_through_lapses_where_loads_are_slow() {
    check_mean(FAR_SECONDS);
}

/// Guards against the same where moves are short, but wait for requests.
#[test]
fn the_planner_costs_no_service_through_lapses_where_loads_are_quick() {
    check_mean(NEAR_SECONDS);
}
