//! The logged names of interrupts and causes.

#[path = "../src/stream/interrupt.rs"]
mod interrupt;

use interrupt::Cause;
use interrupt::Interrupt;

#[test]
fn interrupts_print_their_logged_names() {
    let names = [
        (Interrupt::FirstDead, "Lost"),
        (Interrupt::FirstSilent, "FirstSilent"),
        (Interrupt::PartDead, "Broken"),
        (Interrupt::Reopen, "Elsewhere"),
    ];

    for (interrupt, name) in names {
        assert_eq!(interrupt.to_string(), name);
    }
}

#[test]
fn runs_that_stand_still_may_go_on() {
    for interrupt in [Interrupt::FirstSilent, Interrupt::PartDead] {
        assert!(interrupt.may_go_on(), "{interrupt}");
    }
    for interrupt in [Interrupt::FirstDead, Interrupt::Reopen] {
        assert!(!interrupt.may_go_on(), "{interrupt}");
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
