//! How soon a whole path stands again, from any state and without further trouble.
//!
//! The pattern of load: servers of two availability zones run requests of up to 20 seconds, some of which nobody reads any
//! more. Whoever gives up layers carries none of them at once and has its new ones when what passes has passed, or at
//! once where that is broken off; loads share a rate. Registrations lag, and a planner may start knowing nothing.

#[path = "support/pipeline.rs"]
mod pipeline;
#[path = "support/servers.rs"]
mod servers;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use servers::MAX_DURATION_MS;
use servers::STEP_MS;
use servers::Site;

/// Days in CI.
const DAYS: u64 = 200;
/// How long a model takes to load in all, in seconds, where weights are near and where they are read from afar.
const NEAR_SECONDS: f64 = 0.3;
const FAR_SECONDS: f64 = 14.0;

/// Plays a day from a random state; returns after how many milliseconds requests can pass through the whole model.
fn play(seed: u64, load_seconds: f64) -> (Site, Option<u64>) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut site = Site::draw(&mut random, load_seconds);
    let hand_over = random.random_range(0..4_000 / STEP_MS) * STEP_MS;
    for now in (0..MAX_DURATION_MS).step_by(STEP_MS as usize) {
        if site.servers.carries() {
            return (site, Some(now));
        }
        if now == hand_over {
            site.replace_planner(now, random.random_bool(0.5));
        }
        site.step(now);
    }
    (site, None)
}

fn returns_within_the_bound(load_seconds: f64) {
    for seed in 0..DAYS {
        let (site, after) = play(seed, load_seconds);
        let bound = site.bound_ms();
        assert!(
            after.is_some_and(|after| after <= bound),
            "seed {seed}: {after:?} of {bound} ms; {:#?}",
            site.servers
        );
    }
}

/// Guards against a service that stays away for as long as requests run that nobody reads.
#[test]
fn a_whole_path_stands_soon_where_loads_are_quick() {
    returns_within_the_bound(NEAR_SECONDS);
}

/// The same where loading takes longer than anything else, and many servers load at a time.
#[test]
fn a_whole_path_stands_when_all_memory_is_loaded_twice() {
    returns_within_the_bound(FAR_SECONDS);
}

/// Guards against streams that an order breaks off although callers have a path.
#[test]
fn no_request_is_broken_off_while_a_path_stands() {
    for seed in 0..DAYS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut site = Site::draw(&mut random, NEAR_SECONDS);
        for now in (0..MAX_DURATION_MS / 4).step_by(STEP_MS as usize) {
            let is_whole = site.servers.carries();
            let broken = site.servers.broken_off;
            site.step(now);
            let is_same = site.servers.broken_off == broken;
            assert!(!is_whole || is_same, "seed {seed} at {now} ms");
        }
    }
}
