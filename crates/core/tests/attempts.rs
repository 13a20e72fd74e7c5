//! The runs of a request that count against its route's limit of servers.

use jujube_core::pipeline::attempts::Attempts;
use jujube_core::pipeline::attempts::Permission;
use jujube_core::pipeline::liveness::Liveness;

/// Guards against ending a stream because its servers cut off runs that its caller did not read, and
/// against forgetting the runs that do count.
#[test]
fn runs_that_were_cut_off_unread_do_not_count() {
    let mut attempts = Attempts::default();
    for _ in 0..10 {
        attempts.begin("a".into());
        attempts.unread(&"a".into());
    }

    let unread = attempts.permission(1, |_| Liveness::Alive);
    attempts.begin("b".into());
    let running = attempts.permission(1, |_| Liveness::Alive);

    assert_eq!(unread, Permission::Allowed);
    assert_eq!(running, Permission::Denied);
    assert_eq!(attempts.runs(), 11);
}
