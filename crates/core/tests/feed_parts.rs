//! What an entry knows after an answer of the store that may have been cut.

use std::sync::Arc;

use jujube_core::pipeline::cell::Role;
use jujube_core::pipeline::feed::belief::Belief;
use jujube_core::pipeline::feed::bounds::Bounds;
use jujube_core::pipeline::feed::follower::AT_ONCE;
use jujube_core::pipeline::feed::follower::Follower;
use jujube_core::pipeline::feed::follower::Reason;
use jujube_core::pipeline::feed::follower::Step;
use jujube_core::pipeline::feed::follower::Verdict;
use jujube_core::revision::Revision;
use jujube_core::time::Instant;
use jujube_core::time::Span;

/// The most changes in one answer of the store.
const PAGE: u64 = 500;
/// The time that a call takes.
const CALL: Span = Span(50);

fn bounds() -> Bounds {
    Bounds::new(Span(4_000), Span(3_000))
}

fn roles() -> [Option<Role>; 3] {
    let sources: Vec<Arc<str>> = vec!["a".into(), "b".into()];
    let follower = Role::Follower {
        sources,
        has_followers: false,
    };
    [None, Some(Role::Reader), Some(follower)]
}

/// Returns how an entry that begins to read at revision 1 learns of the changes of a store that has
/// `last` of them, and gets no more: when it counts as complete, and its calls.
fn catch_up(role: Option<&Role>, last: u64) -> (Instant, u64) {
    let mut follower = Follower::new(bounds());
    let mut belief = Belief::default();
    belief.confirm(Instant(0), Revision(1));
    // What it knows is too old, and its sources are of no help.
    let mut now = Instant(bounds().member_age.0);
    let mut calls = 0;
    let written_at = now;
    loop {
        assert!(calls < 100, "{role:?} never knows all");
        match follower.step(now, role, &belief) {
            Step::Read { .. } => {
                calls += 1;
                let through = last.min(belief.through().0 + PAGE);
                let is_part = through - belief.through().0 == PAGE;
                follower.set_behind(is_part);
                match is_part {
                    true => belief.advance(Revision(through)),
                    false => belief.confirm(now, Revision(through)),
                }
                now = Instant(now.0 + CALL.0);
            }
            Step::Ask { wait, .. } => {
                now = Instant(now.0 + wait.0);
                follower.failed(Verdict::Useless);
            }
            Step::Pause | Step::GiveUp => now = Instant(now.0 + CALL.0),
        }
        if belief.as_of() >= Some(written_at) {
            assert_eq!(
                belief.through(),
                Revision(last),
                "{role:?} counts as complete"
            );
            return (now, calls);
        }
    }
}

/// An entry reads all pages at once, whatever its role, and counts as up to date only then.
///
/// Three thousand servers register, and each answer of the store holds 500 of them. An entry that
/// took each page for all that there was read one page in each round of its sources, and judged
/// requests by a configuration that had been replaced many seconds before.
#[test]
fn all_pages_are_read_before_an_entry_counts_as_up_to_date() {
    for role in roles() {
        let (at, calls) = catch_up(role.as_ref(), 6_010);
        assert_eq!(calls, 13, "{role:?}");
        let latest = bounds().member_age.0 + 2 * bounds().next_source.0 + 13 * CALL.0;
        assert!(at.0 <= latest, "{role:?} at {at:?}");
    }
}

/// A part of the changes makes what is known no younger, nor does it hide that a store is back.
#[test]
fn a_part_is_as_old_as_what_was_known_before() {
    let mut belief = Belief::default();
    belief.confirm(Instant(100), Revision(7));
    belief.lose();
    let version = belief.version();
    belief.advance(Revision(507));
    assert_eq!(belief.as_of(), Some(Instant(100)));
    assert_eq!(belief.through(), Revision(507));
    assert!(!belief.is_away());
    assert!(belief.version() > version, "followers are told of it");
}

/// The rest is read once: if that fails, an entry does what its role says.
#[test]
fn a_failed_call_for_the_rest_is_not_repeated_forever() {
    for role in roles() {
        let mut follower = Follower::new(bounds());
        let mut belief = Belief::default();
        belief.confirm(Instant(0), Revision(1));
        follower.set_behind(true);
        let rest = Step::Read {
            wait: AT_ONCE,
            reason: Reason::Behind,
        };
        assert_eq!(follower.step(Instant(100), role.as_ref(), &belief), rest);
        assert_ne!(follower.step(Instant(200), role.as_ref(), &belief), rest);
    }
}
