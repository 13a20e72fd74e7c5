//! The times of calls to the store.

use jujube_core::pipeline::pace::Times;
use jujube_core::time::Span;

/// Guards against times of calls that leave no time for another one within the contact time.
#[test]
fn silent_store_is_detected_within_the_contact_time() {
    for contact in [1_000, 3_000, 4_000, 6_000] {
        let times = Times::within(Span(contact));

        let detected = times.renew_interval.0 + times.renew_timeout.0;
        assert!(detected < contact.max(3_000), "{contact} ms: {times:?}");
    }
}
