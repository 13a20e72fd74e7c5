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
        (Interrupt::PartSilent, "PartSilent"),
        (Interrupt::Reopen, "Elsewhere"),
    ];

    for (interrupt, name) in names {
        assert_eq!(interrupt.to_string(), name);
    }
}

#[test]
fn only_silence_may_end_by_itself() {
    for silence in [Interrupt::FirstSilent, Interrupt::PartSilent] {
        assert!(silence.is_silence());
    }
    for other in [Interrupt::FirstDead, Interrupt::PartDead, Interrupt::Reopen] {
        assert!(!other.is_silence());
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
