//! The time until a complete path is available again, from any state and without further failures.
//!
//! The load: servers of two availability zones run requests of up to 20 seconds, some without a
//! reader. A server that gives up layers stops carrying them at once, and loads new ones when its
//! current requests have passed or are aborted; loads share a rate. Registrations lag, and a
//! planner may start without state.

#[path = "support/fleets.rs"]
mod fleets;
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

/// The number of simulated days in CI.
const DAYS: u64 = 200;
/// The time to load the whole model in seconds, from near and from far storage.
const NEAR_SECONDS: f64 = 0.3;
const FAR_SECONDS: f64 = 14.0;

/// Simulates a day from a random state; returns after how many milliseconds a complete path is
/// available.
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

/// Guards against an outage of a service for as long as requests without a reader run.
#[test]
fn a_whole_path_stands_soon_where_loads_are_quick() {
    returns_within_the_bound(NEAR_SECONDS);
}

/// Guards against a longer outage where loading takes longer than anything else, and many servers
/// load at the same time.
#[test]
fn a_whole_path_stands_when_all_memory_is_loaded_twice() {
    returns_within_the_bound(FAR_SECONDS);
}

/// Guards against orders that abort streams while a complete path is available.
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
