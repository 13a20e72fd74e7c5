//! What requests cost in the core: time and memory.

use std::sync::Arc;

use anyhow::Result;
use jujube_core::admission::Queue;
use jujube_core::admission::Settings;
use jujube_core::admission::Share;
use jujube_core::admission::Ticket;
use jujube_core::layer::Range;
use jujube_core::ledger::Action;
use jujube_core::ledger::Frame;
use jujube_core::ledger::Ledger;
use jujube_core::ledger::Limits;
use jujube_core::ledger::Open;
use jujube_core::path::Route;
use jujube_core::path::Stage;
use jujube_core::request::BootId;
use jujube_core::request::Epoch;
use jujube_core::request::Position;
use jujube_core::request::Request;
use jujube_core::time::Instant;
use jujube_core::time::Span;

use super::Slope;
use super::micros;
use super::shortest;

const SIZES: [usize; 4] = [16, 64, 256, 1024];

pub(super) fn measure() -> Result<Vec<Slope>> {
    Ok(vec![steps(), outputs(), refusals()])
}

fn request(number: usize) -> Request {
    Request {
        entry: BootId(1),
        number: number as u64,
    }
}

fn ledger(held: usize) -> Ledger {
    let limits = Limits {
        slots: held,
        ..Limits::default()
    };
    let stage = Stage {
        server: "a".into(),
        address: "a".into(),
        layers: Range::new(0, 4),
    };
    let route = Arc::new(Route {
        entry: "e".into(),
        stages: vec![stage],
    });
    let mut ledger = Ledger::new("a".into(), limits);
    let mut actions = Vec::new();
    for number in 0..held {
        let open = Open {
            request: request(number),
            epoch: Epoch(1),
            route: route.clone(),
            downstream: Some(Position(0)),
            limit: Position(u64::MAX),
            ..Open::default()
        };
        // The ledger has a slot for each; a refusal would show as no steps below.
        let _opened = ledger.open(Instant(0), open, &mut actions);
    }
    ledger
}

/// One position of every held request: frame in, run out, run done, output sent.
fn step_all(ledger: &mut Ledger, held: usize, position: u64) -> usize {
    let mut actions = Vec::new();
    let mut done = 0;
    for number in 0..held {
        let frame = Frame {
            request: request(number),
            epoch: Epoch(1),
            first: Position(position),
            values: vec![7],
        };
        ledger.frame(Instant(1), &frame, &mut actions);
        let runs = actions.drain(..).find_map(|action| match action {
            Action::Run { run, .. } => Some(run),
            _ => None,
        });
        let mut sent = Vec::new();
        if let Some(run) = runs {
            ledger.ran(Instant(1), request(number), run, &[9], &mut sent);
        }
        done += sent.len();
    }
    done
}

fn steps() -> Slope {
    const POSITIONS: u64 = 50;
    let points = SIZES.map(|size| {
        let took = shortest(3, || {
            let mut ledger = ledger(size);
            for position in 0..POSITIONS {
                step_all(&mut ledger, size, position);
            }
        });
        (size as f64, micros(took) / (POSITIONS as f64 * size as f64))
    });
    Slope {
        what: "one step through the ledger",
        size: "requests held",
        unit: "microseconds",
        points: points.into(),
    }
}

/// The outputs kept for a rebuild are 8 bytes here; in earnest an activation each.
fn outputs() -> Slope {
    let points = [128, 512, 2048].map(|positions| {
        let kept = positions as f64 * 8192.0;
        (positions as f64, kept / 1024.0)
    });
    Slope {
        what: "outputs kept for a rebuild, at 8 KiB an activation (computed, not measured)",
        size: "positions of one request",
        unit: "KiB",
        points: points.into(),
    }
}

fn refusals() -> Slope {
    const REFUSALS: usize = 2_000;
    let points = [10, 100, 580].map(|customers| {
        let settings = Settings {
            slots: 1,
            ..Settings::default()
        };
        let mut queue = Queue::new(settings);
        let share = |customer: usize| Share {
            customer: format!("c{customer}").into(),
            weight: 1,
            limit: 1_000,
            priority: 1,
            max_wait: Span(1_000_000_000),
        };
        for customer in 0..customers {
            for ticket in 0..3 {
                queue.arrive(Instant(0), Ticket(ticket), &share(customer));
            }
        }
        let flood = Share {
            max_wait: Span(1),
            ..share(0)
        };
        let took = shortest(3, || {
            for ticket in 0..REFUSALS {
                queue.arrive(Instant(1), Ticket(ticket as u64), &flood);
            }
        });
        (customers as f64, micros(took) / REFUSALS as f64)
    });
    Slope {
        what: "request refused at once",
        size: "customers waiting",
        unit: "microseconds",
        points: points.into(),
    }
}
