//! The account of a run tells causes apart by what the log lines name.

use jujube_core::time::Span;
use jujube_load::account::Account;
use jujube_load::account::Cause;
use jujube_load::account::Target;

const TARGET: Target = Target {
    first_event: Span(600),
    pause: Span(300),
};
const WINDOW: Span = Span(2_000);

fn streamed(time: u64, first: u64, pause: u64, runs: u64, repairs: u64) -> String {
    format!(
        " 5.5 front-a-1 time={time} level=INFO role=entry event=streamed request=x events=9 \
         took_ms=2000 first_ms={first} longest_pause_ms={pause} runs={runs} repairs={repairs}\n"
    )
}

fn read(log: &str) -> Account {
    Account::read(log.lines(), TARGET, WINDOW)
}

#[test]
fn each_late_stream_counts_under_one_cause() {
    let log = [
        streamed(10_000, 80, 40, 1, 0),
        streamed(10_000, 900, 500, 1, 1),
        streamed(10_000, 900, 40, 2, 0),
        streamed(10_000, 80, 301, 2, 1),
        streamed(10_000, 80, 301, 2, 0),
        streamed(10_000, 80, 301, 1, 0),
    ];

    let account = read(&log.concat());

    for cause in [
        Cause::LateFirst,
        Cause::LateFirstAfterLoss,
        Cause::PauseAfterRepair,
        Cause::PauseAfterReopening,
        Cause::PauseOnPath,
    ] {
        assert_eq!(account.total(&cause), 1, "{cause}");
    }
}

#[test]
fn cut_and_refused_requests_count_under_their_reasons() {
    let log = "time=9 event=cut request=a took_ms=4 cause=run-lost\n\
               time=9 event=refused request=b reason=starting status=503 took_ms=0 cause=-\n\
               time=9 event=registration server=c\n\
               not a log line";

    let account = read(log);

    assert_eq!(account.total(&Cause::Cut("run-lost".into())), 1);
    assert_eq!(account.total(&Cause::Refused("starting".into())), 1);
}

#[test]
fn windows_count_from_the_first_arrival() {
    let log = streamed(10_000, 900, 40, 1, 0) + &streamed(15_000, 900, 40, 1, 0);

    let page = read(&log).page().unwrap_or_default();

    assert!(
        page.contains("| first event late | 2 | 0: 1, 4: 1 |"),
        "{page}"
    );
}
