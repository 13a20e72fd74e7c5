//! Configurations among separate processes: races, lost answers, bad bundles, outages.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

mod support;

use jujube_local::caller::expected;
use serde_json::json;
use support::Fleet;
use support::Layout;
use support::MODEL;
use support::ctl;
use support::streams::PROMPT;
use support::streams::begin;
use support::streams::end;
use support::streams::slow;

/// One operator wins, the other is told who did; a lost answer is found out.
///
/// Two roll-outs run at the same instant. Then the service takes a swap and loses its answer: the
/// tool reads its own nonce back and says that the roll-out is in force.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_and_a_lost_answer() {
    let mut fleet = Fleet::start(Layout::default()).await;
    let bundles = ["one.ini", "two.ini"].map(|name| {
        let file = fleet.path(name);
        let text = fleet
            .text
            .replace("serial = 1", &format!("serial = {}", name.len()));
        std::fs::write(&file, format!("; {name}\n{text}")).unwrap();
        for person in ["author", "reviewer"] {
            ctl(&["sign", &file, "--key", &fleet.path(person)]).unwrap();
        }
        file
    });
    let settings = fleet.path("ctl.ini");

    let race = bundles.map(|file| {
        let settings = settings.clone();
        std::thread::spawn(move || {
            ctl(&[
                "rollout",
                &file,
                "--settings",
                &settings,
                "--reason",
                "race",
            ])
        })
    });
    let race = race.map(|thread| thread.join().unwrap());
    let wins = race.iter().filter(|result| result.is_ok()).count();
    let kv = fleet.kv.line[1].clone();
    fleet.fault(&kv, json!({"lose_answers": 1})).await;
    let text = format!("; lost\n{}", fleet.text);
    let lost = fleet.roll_out("lost.ini", &text);
    let audit = ctl(&["audit", "--settings", &settings]).unwrap();

    for loser in race.iter().filter_map(|result| result.as_ref().err()) {
        assert!(loser.contains("tester's (\"race\")"), "{loser}");
    }
    assert!(wins >= 1, "{race:?}");
    assert!(lost.is_ok(), "{lost:?}");
    assert_eq!(audit.lines().count(), 2 + wins, "{audit}");
    assert!(audit.lines().all(|line| line.ends_with("ok")), "{audit}");
    let generation = 2 + wins;
    for entry in 0..2 {
        fleet
            .until(entry, "the last generation", |status| {
                let servers = status["servers"].as_array().cloned().unwrap_or_default();
                status["generation"] == generation
                    && servers
                        .iter()
                        .all(|server| server["generation"] == generation)
            })
            .await;
    }
    let mut offered = 0;
    for entry in 0..2 {
        let status = fleet.status(entry).await;
        offered += status["counters"]["configs_offered_as_delta"]
            .as_u64()
            .unwrap_or(0);
    }
    assert!(offered > 0, "no sidecar was offered a difference");
}

/// Bad bundles are refused with section and key, and what is in force stays.
#[tokio::test(flavor = "multi_thread")]
async fn bad_bundles_leave_the_good_one_in_force() {
    let mut fleet = Fleet::start(Layout::default()).await;
    let text = fleet.text.clone();
    let without_desk = text.split("[service desk]").next().unwrap().to_string();
    let half = text.replace("[server b2]\n", "[server b2]\nin-use = false\n");
    let more = half.replace("[server d2]\n", "[server d2]\nin-use = false\n");

    let cut = fleet
        .roll_out("cut.ini", &text[..text.len() / 2])
        .unwrap_err();
    let typo = fleet
        .roll_out("typo.ini", &text.replace("slots", "slot"))
        .unwrap_err();
    let gap = fleet
        .roll_out("gap.ini", &text.replace("layers = 4-8", "layers = 5-8"))
        .unwrap_err();
    let garbage = fleet
        .roll_out("garbage.ini", &"x".repeat(1_000_000))
        .unwrap_err();
    let dropped = fleet.roll_out("dropped.ini", &without_desk).unwrap_err();
    let shrunk = fleet.roll_out("shrunk.ini", &more).unwrap_err();
    let file = fleet.path("alone.ini");
    std::fs::write(&file, format!("; alone\n{text}")).unwrap();
    ctl(&["sign", &file, "--key", &fleet.path("author")]).unwrap();
    let twice = ctl(&["sign", &file, "--key", &fleet.path("author")]).unwrap_err();
    let settings = fleet.path("ctl.ini");
    let rollout = [
        "rollout",
        &file,
        "--settings",
        &settings,
        "--reason",
        "alone",
    ];
    let alone = ctl(&rollout).unwrap_err();

    assert!(cut.contains('['), "{cut}");
    assert!(typo.contains("did you mean `slots`"), "{typo}");
    assert!(
        gap.contains("[service writer] layers: no backend server in use holds layer 4"),
        "{gap}"
    );
    assert!(garbage.contains("expected at most"), "{garbage}");
    assert!(
        dropped.contains("no backend server in use") || dropped.contains("drops"),
        "{dropped}"
    );
    assert!(shrunk.contains("consent = shrink:desk"), "{shrunk}");
    assert!(twice.contains("another person must review"), "{twice}");
    assert!(alone.contains("signed by 1 of the 2"), "{alone}");
    assert_eq!(fleet.status(0).await["generation"], 1);
}

/// A VM that starts in an outage serves.
///
/// The key-value service is down when a new entry starts. It asks the sidecars named in its settings
/// for the configuration, checks the signatures, and is ready.
#[tokio::test(flavor = "multi_thread")]
async fn entry_starts_in_an_outage() {
    let mut fleet = Fleet::start(Layout::default()).await;
    let kv = fleet.kv.line[1].clone();
    let seed = fleet.backends["a1"].sidecar.line[1].clone();
    let settings = std::fs::read_to_string(fleet.path("entry-0.ini")).unwrap();
    let settings = settings.replace("notice-ms", &format!("seeds = {seed}\nnotice-ms"));
    std::fs::write(fleet.path("late.ini"), settings).unwrap();
    fleet.fault(&kv, json!({"down": true})).await;

    let file = fleet.path("late.ini");
    fleet.add_entry(&file);
    fleet.until_up().await;
    let text = fleet.caller(2).stream(MODEL, PROMPT, 5).await.unwrap();

    assert_eq!(text, expected(&fleet.bundle, MODEL, PROMPT, 5));
}

/// Nobody's answer is cut by a roll-out, and what it takes out of use gets nothing new.
///
/// While eight streams run, a bundle takes a stage that many of them use out of use. They end on it;
/// later requests go elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn roll_out_under_load_cuts_nothing() {
    let mut fleet = Fleet::start(slow()).await;
    let running = begin(&fleet, 8).await;
    let text = fleet
        .text
        .replace("[server b1]\n", "[server b1]\nin-use = false\n");

    let text = text.replace("[bundle]\n", "[bundle]\nconsent = shrink:writer\n");
    fleet.roll_out("live.ini", &text).unwrap();
    for entry in 0..2 {
        fleet
            .until(entry, "generation 2", |status| status["generation"] == 2)
            .await;
    }

    end(&fleet, running).await;
    let state = format!("{}/v1/state", fleet.backends["b1"].url);
    let before = fleet.page(&state).await["ran"].clone();
    for _ in 0..6 {
        fleet.caller(0).stream(MODEL, PROMPT, 2).await.unwrap();
    }
    assert_eq!(fleet.page(&state).await["ran"], before);
}
