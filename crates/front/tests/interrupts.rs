//! The logged names of interrupts and causes.

#[path = "../src/stream/interrupt.rs"]
mod interrupt;

use interrupt::Cause;
use interrupt::Interrupt;

#[test]
fn interrupts_print_their_logged_names() {
    let names = [
        (Interrupt::FirstDead, "Lost"),
        (Interrupt::PartDead, "Broken"),
        (Interrupt::Reopen, "Elsewhere"),
    ];

    for (interrupt, name) in names {
        assert_eq!(interrupt.to_string(), name);
    }
}

#[test]
fn causes_print_their_logged_names() {
    let names = [
        (Cause::Dead, "Dead"),
        (Cause::Slow, "Slow"),
        (Cause::Draining, "Leaving"),
    ];

    for (cause, name) in names {
        assert_eq!(cause.to_string(), name);
    }
}
