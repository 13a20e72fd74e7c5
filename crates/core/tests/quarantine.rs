//! Which requests are quarantined, on single cases.

use jujube_core::pipeline::attempts::Attempts;
use jujube_core::pipeline::attempts::Permission;
use jujube_core::pipeline::cell::MAX_REPORT_AGE;
use jujube_core::pipeline::digest::Digest;
use jujube_core::pipeline::liveness::Evidence;
use jujube_core::pipeline::liveness::Liveness;
use jujube_core::pipeline::quarantine::BEGINNING;
use jujube_core::pipeline::quarantine::MAX_QUARANTINED;
use jujube_core::pipeline::quarantine::Quarantine;
use jujube_core::pipeline::quarantine::Source;
use jujube_core::pipeline::quarantine::features::Features;
use jujube_core::pipeline::quarantine::lives::Life;
use jujube_core::pipeline::quarantine::run::Run;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;

const CULPRIT: Digest = Digest(1);
const INNOCENT: Digest = Digest(2);

/// Returns a run without events.
fn run(digest: Digest, server: &str, sent: u64) -> Run {
    Run {
        features: digest.into(),
        server: server.into(),
        sent: Instant(sent),
        began: None,
        may_be_complete: false,
    }
}

/// Ends a server under some requests that had no event yet.
fn end(quarantine: &mut Quarantine, at: u64, server: &str, digests: &[Digest]) {
    for digest in digests {
        quarantine.lost(Instant(at), run(*digest, server, at));
    }
    quarantine.settle(Instant(at), |_| true);
}

/// Returns what is quarantined once the reports of others about ends up to `at` are in.
fn evaluate(quarantine: &mut Quarantine, at: u64) -> Vec<Digest> {
    quarantine.evaluate(Instant(at).plus(MAX_REPORT_AGE))
}

/// Returns a run on a prompt with some parts, each in a request of its own.
fn prompt(number: u64, parts: &[&str], server: &str, sent: u64) -> Run {
    let features = Features::new(Digest(number), parts.iter().copied());
    Run {
        features,
        ..run(Digest(number), server, sent)
    }
}

/// Returns an entry at which many runs on other parts lived.
fn entry_with_lives() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..300 {
        let parts = ["first", "other"].map(Digest::of_part);
        quarantine.lived(Instant(number), Instant(number), &parts);
    }
    quarantine
}

/// Ends servers under prompts with a deadly part, no two alike.
fn end_under_part(quarantine: &mut Quarantine, at: u64, servers: &[&str]) {
    for (number, server) in servers.iter().enumerate() {
        let number = at + number as u64;
        let prompt = prompt(number, &["first", "deadly"], server, number);
        quarantine.lost(Instant(number), prompt);
        quarantine.settle(Instant(number), |_| true);
    }
}

/// Guards against remembering only whole requests: no two of these are alike.
#[test]
fn part_under_which_three_servers_ended_is_quarantined() {
    let mut quarantine = entry_with_lives();

    end_under_part(&mut quarantine, 1_000, &["a", "b", "c"]);

    let added = quarantine.evaluate(Instant(10_000));
    assert_eq!(added, [Digest::of_part("deadly")]);
    let kin = Features::new(Digest(7), ["first", "other"]);
    assert_eq!(quarantine.cause(&kin), None, "the first part has lived");
}

/// Guards against blaming a part for the ends of one request that has it.
#[test]
fn part_of_one_request_is_not_blamed() {
    let mut quarantine = entry_with_lives();

    for server in ["a", "b", "c"] {
        let prompt = prompt(1, &["first", "rare"], server, 1_000);
        quarantine.lost(Instant(1_000), prompt);
        quarantine.settle(Instant(1_000), |_| true);
    }

    assert_eq!(quarantine.evaluate(Instant(10_000)), [Digest(1)]);
    assert!(!quarantine.contains(Digest::of_part("rare")));
}

/// Guards against an entry that has seen no life and blames the part of all prompts.
#[test]
fn entry_that_has_seen_no_run_live_blames_no_part() {
    let mut quarantine = Quarantine::default();

    end_under_part(&mut quarantine, 0, &["a", "b", "c", "d", "e", "f"]);

    assert!(quarantine.evaluate(Instant(10_000)).is_empty());
}

/// Guards against blaming a part that runs at other entries lived on.
#[test]
fn life_elsewhere_clears_a_part() {
    let mut quarantine = entry_with_lives();
    end_under_part(&mut quarantine, 1_000, &["a", "b", "c"]);

    quarantine.receive_life(Digest::of_part("deadly"), Life::Since);

    assert!(quarantine.evaluate(Instant(10_000)).is_empty());
}

/// Guards against a part that was blamed by mistake and hides the one that is guilty.
#[test]
fn deadly_part_is_found_beside_one_that_was_blamed() {
    let mut quarantine = entry_with_lives();
    end_under_part(&mut quarantine, 1_000, &["a", "b", "c"]);
    let innocent = Digest::of_part("innocent");
    for server in ["a", "b", "c"] {
        quarantine.receive(Instant(1_000), innocent, &server.into());
    }
    quarantine.insert(Instant(1_100), innocent, Source::Report, Instant(1_100));

    end_under_part(&mut quarantine, 1_200, &["d", "e"]);

    let added = quarantine.evaluate(Instant(10_000));
    assert_eq!(added, [Digest::of_part("deadly")]);
}

/// Guards against a server that answers without a length and never clears what it answers.
#[test]
fn run_that_may_be_complete_clears_what_its_server_survives() {
    let mut quarantine = Quarantine::default();
    let complete = |number, server| Run {
        may_be_complete: true,
        ..prompt(number, &["first"], server, 0)
    };
    quarantine.lost(Instant(0), complete(1, "a"));
    quarantine.lost(Instant(0), complete(2, "b"));

    let ended = quarantine.settle(Instant(500), |server| *server == "b".into());
    quarantine.settle(Instant(1_500), |_| false);

    assert_eq!(ended.len(), 1, "the server has ended");
    let part = Digest::of_part("first");
    assert_eq!(
        quarantine.reported_lives(Instant(1_500))[&part],
        Life::Before
    );
    end(&mut quarantine, 2_000, "c", &[Digest(1)]);
    let reported = quarantine.own_ends(Instant(2_000));
    assert!(!reported.contains_key(&"c".into()), "the request survived");
}

#[test]
fn three_ends_quarantine_a_request() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, 0, "a", &[CULPRIT, INNOCENT]);
    end(&mut quarantine, 100, "b", &[CULPRIT]);
    assert!(evaluate(&mut quarantine, 100).is_empty());

    end(&mut quarantine, 200, "c", &[CULPRIT, INNOCENT]);

    assert_eq!(evaluate(&mut quarantine, 200), [CULPRIT]);
    assert!(!quarantine.contains(INNOCENT));
}

/// Guards against blaming requests that lost one server after another beside the culprit.
#[test]
fn ends_that_the_culprit_explains_do_not_count_for_others() {
    let mut quarantine = Quarantine::default();
    for (at, server) in [(0, "a"), (100, "b"), (200, "c")] {
        end(&mut quarantine, at, server, &[CULPRIT, INNOCENT]);
        assert!(
            quarantine.evaluate(Instant(at)).is_empty(),
            "both share all"
        );
    }
    end(&mut quarantine, 300, "d", &[CULPRIT]);
    assert_eq!(evaluate(&mut quarantine, 300), [CULPRIT]);

    end(&mut quarantine, 400, "e", &[INNOCENT]);
    end(&mut quarantine, 500, "f", &[INNOCENT]);

    assert!(evaluate(&mut quarantine, 500).is_empty());
}

/// Guards against blaming a request that many callers send at once for the end of a rack, each
/// server of which ran it.
#[test]
fn request_that_was_served_before_is_not_blamed() {
    let mut quarantine = Quarantine::default();
    quarantine.survived(INNOCENT);
    for server in ["a", "b", "c", "d", "e"] {
        end(&mut quarantine, 0, server, &[INNOCENT]);
    }

    assert!(evaluate(&mut quarantine, 0).is_empty());
}

/// Guards against a sound request being refused for good, because several servers that ran it ended at once
/// before any other had answered it.
#[test]
fn request_that_survives_leaves_the_quarantine() {
    let mut quarantine = Quarantine::default();
    for server in ["a", "b", "c"] {
        end(&mut quarantine, 0, server, &[INNOCENT]);
    }
    assert_eq!(evaluate(&mut quarantine, 0), [INNOCENT]);
    quarantine.stored(INNOCENT);

    quarantine.survived(INNOCENT);
    assert!(quarantine.contains(INNOCENT), "a failure acquits nobody");
    assert!(quarantine.answered(INNOCENT));

    assert!(!quarantine.contains(INNOCENT));
    assert_eq!(quarantine.take_evicted(), [INNOCENT]);
    assert!(!quarantine.insert(Instant(9), INNOCENT, Source::Report, Instant(9)));
    assert!(!quarantine.insert(Instant(9), INNOCENT, Source::Store, Instant(9)));
    assert!(!quarantine.contains(INNOCENT));
    assert_eq!(
        quarantine.take_evicted(),
        [INNOCENT],
        "another entry wrote it"
    );
    assert!(evaluate(&mut quarantine, 9).is_empty());
}

#[test]
fn run_with_earlier_events_is_not_blamed() {
    let mut quarantine = Quarantine::default();
    let now = Instant(BEGINNING.0 + 1);
    for server in ["a", "b", "c"] {
        let began = Some(Instant(0));
        let run = run(INNOCENT, server, 0);
        quarantine.lost(now, Run { began, ..run });
    }

    assert!(quarantine.settle(now, |_| true).is_empty());
}

#[test]
fn run_on_a_living_server_is_not_blamed() {
    let mut quarantine = Quarantine::default();
    for server in ["a", "b", "c"] {
        quarantine.lost(Instant(0), run(INNOCENT, server, 0));
    }
    quarantine.settle(Instant(500), |_| false);
    quarantine.settle(Instant(2_000), |_| false);

    assert!(quarantine.settle(Instant(2_100), |_| true).is_empty());
}

/// Guards against counting one crash twice, since reports arrive repeatedly and by several ways.
#[test]
fn repeated_reports_of_an_end_count_once() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, 0, "a", &[CULPRIT]);
    for at in 1..10 {
        quarantine.receive(Instant(at), CULPRIT, &"a".into());
        quarantine.receive(Instant(at), CULPRIT, &"b".into());
    }
    assert!(quarantine.evaluate(Instant(10)).is_empty());

    quarantine.receive(Instant(11), CULPRIT, &"c".into());

    assert_eq!(quarantine.evaluate(Instant(11)), [CULPRIT]);
}

/// Guards against judging a request by one entry's ends before the reports of the culprit's other
/// ends are in.
#[test]
fn entry_awaits_reports_before_it_judges_by_its_own_ends() {
    let mut quarantine = Quarantine::default();
    for (at, server) in [(0, "a"), (100, "b"), (200, "c")] {
        end(&mut quarantine, at, server, &[CULPRIT]);
    }
    let early = Instant(200 + MAX_REPORT_AGE.0 - 1);
    assert!(quarantine.evaluate(early).is_empty());

    assert_eq!(evaluate(&mut quarantine, 200), [CULPRIT]);
}

/// Guards against a judgement that each further end puts off.
#[test]
fn further_ends_do_not_delay_the_judgement() {
    let mut quarantine = Quarantine::default();
    for (number, server) in ["a", "b", "c", "d"].into_iter().enumerate() {
        end(&mut quarantine, number as u64 * 200, server, &[CULPRIT]);
    }

    assert_eq!(evaluate(&mut quarantine, 400), [CULPRIT]);
}

/// Guards against an entry that starts after an outage of the store and reads it before what was
/// quarantined in the outage is written: the others must go on reporting it.
#[test]
fn unwritten_request_is_reported_by_all_that_know_it() {
    let mut quarantine = Quarantine::default();
    quarantine.insert(Instant(0), CULPRIT, Source::Report, Instant(9_000));
    assert!(quarantine.reported(Instant(60_000)).contains(&CULPRIT));

    quarantine.stored(CULPRIT);

    assert!(!quarantine.reported(Instant(60_000)).contains(&CULPRIT));
}

/// Guards against two servers that a request crashes again and again: without a start time they keep
/// their incarnations, and counted as two ends for good.
#[test]
fn server_that_ends_again_counts_again() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, 100, "a", &[CULPRIT]);
    end(&mut quarantine, 200, "b", &[CULPRIT]);

    end(&mut quarantine, 900, "a", &[CULPRIT]);

    assert_eq!(evaluate(&mut quarantine, 900), [CULPRIT]);
}

/// Guards against counting one end of a server for each run that it broke.
#[test]
fn runs_that_one_end_breaks_count_once() {
    let mut quarantine = Quarantine::default();
    for (lost_at, sent) in [(100, 10), (120, 20), (300, 90)] {
        quarantine.lost(Instant(lost_at), run(INNOCENT, "a", sent));
        quarantine.settle(Instant(lost_at), |_| true);
    }

    assert!(evaluate(&mut quarantine, 300).is_empty());
}

/// Guards against counting an end twice because entries that missed some number it differently.
#[test]
fn ends_of_several_entries_are_never_more_than_there_were() {
    let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
    end(&mut first, 100, "a", &[CULPRIT]);
    end(&mut first, 900, "a", &[CULPRIT]);
    end(&mut second, 900, "a", &[CULPRIT]);

    for (reported, _) in first.own_ends(Instant(900)) {
        second.receive(Instant(1_000), CULPRIT, &reported);
    }

    assert!(evaluate(&mut second, 1_000).is_empty(), "it ended twice");
}

/// Guards against an entry that passes judgement on reports alone: it cannot know that the request
/// was served where the reports come from.
#[test]
fn reports_alone_quarantine_nothing() {
    let mut quarantine = Quarantine::default();
    for server in ["a", "b", "c", "d", "e"] {
        quarantine.receive(Instant(0), INNOCENT, &server.into());
    }

    assert!(evaluate(&mut quarantine, 0).is_empty());
}

/// Guards against a request whose copies end all suspects' servers together, so that no end tells
/// it apart from its neighbours.
#[test]
fn five_shared_ends_are_enough() {
    let mut quarantine = Quarantine::default();
    for (at, server) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
        end(&mut quarantine, at as u64, server, &[CULPRIT, INNOCENT]);
    }

    let added = evaluate(&mut quarantine, 5);

    assert_eq!(added.len(), 1, "the other's ends are explained by it");
}

#[test]
fn full_quarantine_releases_the_oldest() {
    let mut quarantine = Quarantine::default();
    for number in 0..=MAX_QUARANTINED as u64 {
        let digest = Digest(number);
        assert!(quarantine.insert(Instant(number), digest, Source::Report, Instant(0)));
    }

    assert_eq!(quarantine.len(), MAX_QUARANTINED);
    assert!(!quarantine.contains(Digest(0)));
    assert_eq!(quarantine.take_evicted(), [Digest(0)]);
}

/// Guards against losing a quarantined request when the store is restored from an older copy.
#[test]
fn request_that_the_store_lost_is_written_again() {
    let mut quarantine = Quarantine::default();
    quarantine.insert(Instant(0), CULPRIT, Source::Own, Instant(0));
    assert_eq!(quarantine.unstored(Instant(0)), [CULPRIT]);
    quarantine.stored(CULPRIT);
    assert!(quarantine.unstored(Instant(10)).is_empty());

    quarantine.replaced(&[].into(), Instant(50));

    assert!(quarantine.unstored(Instant(49)).is_empty());
    assert_eq!(quarantine.unstored(Instant(50)), [CULPRIT]);
}

/// Guards against sending one request to four servers: one that ended before the first event may
/// have ended because of it.
#[test]
fn server_that_ended_before_the_first_event_counts() {
    let ended = |_: &Incarnation| Liveness::Ended(Evidence::Refuses);
    let mut attempts = Attempts::default();
    for (at, server) in [(0, "a"), (100, "b")] {
        attempts.begin(server.into());
        attempts.left(&server.into());
        attempts.settle(Instant(at), ended);
    }

    assert_eq!(attempts.permission(2, ended), Permission::Denied);
    assert_eq!(attempts.permission(3, ended), Permission::Allowed);
}

/// Guards against a loop without an end: a request that survived on one server while it was lost on three
/// that ended, all settled at once.
#[test]
fn request_that_survives_beside_its_ends_is_judged_in_the_end() {
    let mut quarantine = Quarantine::default();
    let perhaps = run(INNOCENT, "d", 0).perhaps_complete();
    quarantine.lost(Instant(0), perhaps);
    for server in ["a", "b", "c"] {
        quarantine.lost(Instant(900), run(INNOCENT, server, 0));
    }
    quarantine.settle(Instant(1_100), |server| *server != "d".into());

    assert!(evaluate(&mut quarantine, 1_100).is_empty());
}
