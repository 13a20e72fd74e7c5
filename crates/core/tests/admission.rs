//! Tests of admission under overload.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

use std::collections::BTreeMap;

use jujube_core::admission::Decision;
use jujube_core::admission::Queue;
use jujube_core::admission::Settings;
use jujube_core::admission::Share;
use jujube_core::admission::Ticket;
use jujube_core::time::Instant;
use jujube_core::time::Span;

const SERVICE_MILLIS: u64 = 100;

fn share(customer: &str, priority: u64, max_wait: u64) -> Share {
    Share {
        customer: customer.into(),
        weight: 1,
        limit: 1_000,
        priority,
        max_wait: Span(max_wait),
    }
}

fn queue(slots: u64) -> Queue {
    Queue::new(Settings {
        slots,
        initial_duration: Span(SERVICE_MILLIS),
        ..Settings::default()
    })
}

/// Simulates a queue whose requests last 100 ms each. Returns the wait of each request, or `None`
/// when it was refused.
fn simulate(slots: u64, arrivals: &[(u64, Share)]) -> Vec<Option<u64>> {
    let mut queue = queue(slots);
    let mut waits = vec![None; arrivals.len()];
    let mut running: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let last = arrivals.iter().map(|(at, _)| *at).max().unwrap() + 1_000_000;
    let mut next = 0;
    for now in 0..last {
        for index in running.remove(&now).unwrap_or_default() {
            queue.finish(&arrivals[index].1.customer, Some(Span(SERVICE_MILLIS)));
        }
        for (ticket, _) in queue.expire(Instant(now)) {
            waits[ticket.0 as usize] = None;
        }
        let mut started = Vec::new();
        while next < arrivals.len() && arrivals[next].0 <= now {
            let ticket = Ticket(next as u64);
            let decision = queue.arrive(Instant(now), ticket, &arrivals[next].1);
            if decision == Decision::Start {
                started.push(next);
            }
            next += 1;
        }
        while let Some(ticket) = queue.pop(Instant(now)) {
            started.push(ticket.0 as usize);
        }
        for index in started {
            waits[index] = Some(now - arrivals[index].0);
            running.entry(now + SERVICE_MILLIS).or_default().push(index);
        }
        if next == arrivals.len() && queue.running() == 0 && queue.waiting() == 0 {
            return waits;
        }
    }
    panic!("the queue did not drain");
}

/// Guards against a flood by one customer that delays the requests of another by seconds.
#[test]
fn a_flood_by_one_customer_does_not_delay_others() {
    let flood = (0..400).map(|_| (0, share("flood", 1, 1_000_000)));
    let quiet = (0..40).map(|index| (1 + index * 200, share("quiet", 1, 1_000_000)));
    let mut arrivals: Vec<(u64, Share)> = flood.chain(quiet).collect();
    arrivals.sort_by_key(|(at, _)| *at);

    let waits = simulate(4, &arrivals);

    let max_wait = |name: &str| {
        let pairs = arrivals.iter().zip(&waits);
        let own = pairs.filter(|((_, share), _)| share.customer == name.into());
        own.map(|(_, wait)| wait.expect("served")).max().unwrap()
    };
    assert!(
        max_wait("quiet") <= SERVICE_MILLIS,
        "waited {} ms",
        max_wait("quiet")
    );
    assert!(max_wait("flood") > 80 * SERVICE_MILLIS);
}

#[test]
fn hopeless_waits_are_refused_at_once_with_when_to_come_back() {
    let mut queue = queue(1);
    let share = share("a", 1, 250);

    let decisions = (0..5).map(|index| queue.arrive(Instant(0), Ticket(index), &share));
    let decisions: Vec<Decision> = decisions.collect();

    assert_eq!(
        decisions[..3],
        [Decision::Start, Decision::Wait, Decision::Wait]
    );
    for decision in &decisions[3..] {
        let Decision::Refuse(refusal) = decision else {
            panic!("{decision:?}");
        };
        assert_eq!(refusal.retry_after, Some(Span(50)));
    }
}

#[test]
fn waiting_requests_expire_at_their_deadline() {
    let mut queue = queue(1);
    queue.arrive(Instant(0), Ticket(0), &share("a", 1, 300));
    queue.arrive(Instant(0), Ticket(1), &share("a", 1, 300));

    let early = queue.expire(Instant(299));
    let due = queue.expire(Instant(300));

    assert!(early.is_empty());
    assert_eq!(due[0].0, Ticket(1));
    assert_eq!(queue.waiting(), 0);
}

#[test]
fn waiting_requests_gain_priority() {
    let urgent = (0..200).map(|index| (index * 50, share("urgent", 1, 1_000_000)));
    let patient = std::iter::once((1, share("patient", 2, 1_000_000)));
    let mut arrivals: Vec<(u64, Share)> = urgent.chain(patient).collect();
    arrivals.sort_by_key(|(at, _)| *at);

    let waits = simulate(1, &arrivals);

    // Urgent requests need twice the capacity. After 2 s the patient request has the same priority.
    let patient = arrivals
        .iter()
        .position(|(_, share)| share.priority == 2)
        .unwrap();
    let waited = waits[patient].unwrap();
    assert!((1_000..3_000).contains(&waited), "waited {waited} ms");
}

#[test]
fn the_limit_of_a_customer_is_enforced() {
    let mut queue = queue(4);
    let small = Share {
        limit: 1,
        ..share("small", 1, 1_000)
    };

    let first = queue.arrive(Instant(0), Ticket(0), &small);
    let second = queue.arrive(Instant(0), Ticket(1), &small);
    queue.finish(&small.customer, Some(Span(10)));
    let third = queue.arrive(Instant(10), Ticket(2), &small);

    assert_eq!(first, Decision::Start);
    assert!(matches!(second, Decision::Refuse(_)));
    assert_eq!(third, Decision::Start);
}
