//! Idle connections, over drawn uses of them.

use std::collections::BTreeMap;

use jujube_core::pipeline::idle::Idle;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MAX: usize = 20;
/// The most connections to one server.
const MAX_EACH: usize = 64;

fn server(number: u32) -> Incarnation {
    format!("server-{number}").as_str().into()
}

/// Guards against a sum that is not bounded, or whose count no longer is that of the connections, after
/// which none are kept or too many.
#[test]
fn sum_of_idle_connections_holds_over_all_uses() {
    for seed in 0..50 {
        let mut draws = StdRng::seed_from_u64(seed);
        let mut idle = Idle::new(MAX);
        for step in 0..2_000_u64 {
            let server = server(draws.random_range(0..8));
            let now = Instant(step);
            match draws.random_range(0..10) {
                0 => idle.expire(now, |_| true, |other| *other != server),
                1 => drop(idle.retain_of(&server, |number| number % 2 == 0)),
                2 | 3 => drop(idle.take(now, &server, |number| number % 3 > 0, |_| true)),
                _ => idle.keep(&server, step, now.plus(jujube_core::time::Span(40))),
            }
            assert!(idle.count() <= MAX, "seed {seed}, step {step}");
        }
        let mut taken = 0;
        let count = idle.count();
        for number in 0..8 {
            while idle
                .take(Instant(0), &server(number), |_| true, |_| true)
                .is_some()
            {
                taken += 1;
            }
        }
        assert_eq!(taken, count, "seed {seed}");
    }
}

/// Guards against new connections to a busy server because those to others are kept.
#[test]
fn connection_that_is_idle_the_longest_is_closed() {
    let mut idle = Idle::new(MAX);
    for number in 0..MAX as u32 {
        idle.keep(&server(number), number, Instant(1_000));
    }
    let busy = idle.take(Instant(0), &server(0), |_| true, |_| true);
    idle.keep(&server(0), 0, Instant(1_000));

    idle.keep(&server(99), 99, Instant(1_000));

    let mut kept = BTreeMap::new();
    for number in (0..MAX as u32).chain([99]) {
        let connection = idle.take(Instant(0), &server(number), |_| true, |_| true);
        kept.insert(number, connection.is_some());
    }
    assert_eq!(busy, Some(0));
    assert!(kept[&0] && kept[&99] && !kept[&1], "{kept:?}");
}

/// Guards against a server that takes the connections of all others.
#[test]
fn one_server_keeps_its_own_bound() {
    let mut idle = Idle::new(1_000);

    for number in 0..1_000 {
        idle.keep(&server(0), number, Instant(1_000));
    }

    assert_eq!(idle.count(), MAX_EACH);
}
