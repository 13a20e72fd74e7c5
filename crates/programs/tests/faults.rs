//! Faults of separate processes, with real sockets and signals.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

mod support;

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::StatusCode;
use jujube_local::caller::Answer;
use jujube_local::caller::expected;
use serde_json::Value;
use serde_json::json;
use support::DESK;
use support::Fleet;
use support::Layout;
use support::MODEL;
use support::PATIENCE;
use support::ctl;

const PROMPT: &str = "a long note on tiles";
const TOKENS: usize = 150;

/// Steps slow enough that a stream of 150 tokens is in its midst when a fault strikes.
fn slow() -> Layout {
    Layout {
        base_micros: 1_500,
        ..Layout::default()
    }
}

/// Starts streams and waits until the tokens flow.
async fn begin(
    fleet: &Fleet,
    streams: usize,
) -> Vec<tokio::task::JoinHandle<anyhow::Result<String>>> {
    let running = (0..streams).map(|index| {
        let caller = fleet.caller(index % fleet.entries.len());
        tokio::spawn(async move {
            caller
                .stream(MODEL, &format!("{PROMPT} {index}"), TOKENS)
                .await
        })
    });
    let running: Vec<_> = running.collect();
    let start = Instant::now();
    loop {
        assert!(start.elapsed() < PATIENCE, "no tokens flow");
        let mut ran = 0;
        for backend in fleet
            .backends
            .values()
            .filter(|b| b.engine.line[0] == "engine")
        {
            let state = fleet.page(&format!("{}/v1/state", backend.url)).await;
            ran += state["ran"].as_u64().unwrap_or(0);
        }
        // Prompts of 6 tokens and several tokens more, on every layer.
        if ran > streams as u64 * 12 * 12 {
            return running;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Checks that every stream ended whole and right.
async fn end(fleet: &Fleet, running: Vec<tokio::task::JoinHandle<anyhow::Result<String>>>) {
    for (index, stream) in running.into_iter().enumerate() {
        let text = stream.await.unwrap().unwrap();
        let prompt = format!("{PROMPT} {index}");
        assert_eq!(text, expected(&fleet.bundle, MODEL, &prompt, TOKENS));
    }
    assert_eq!(fleet.violations().await, 0);
}

/// The callers see whole answers, after a short pause.
///
/// Sidecar and engine of one stage are killed while eight streams run through two entries. Half of
/// the streams used it; the entries replace it and the replacement is rebuilt from what the stage
/// before kept.
#[tokio::test(flavor = "multi_thread")]
async fn killed_stage_cuts_no_answer() {
    let fleet = Fleet::start(slow()).await;
    let running = begin(&fleet, 8).await;

    for name in ["b1", "c2"] {
        fleet.backends[name].sidecar.signal("KILL");
        fleet.backends[name].engine.signal("KILL");
    }

    end(&fleet, running).await;
    fleet
        .until(0, "the killed stage is down", |status| {
            is_state(status, "b1", "down")
        })
        .await;
}

fn is_state(status: &Value, server: &str, state: &str) -> bool {
    let servers = status["servers"].as_array().cloned().unwrap_or_default();
    servers
        .iter()
        .any(|found| found["server"] == server && found["state"] == state)
}

/// The callers see whole answers; the stage that wakes up changes nothing.
///
/// A sidecar stands still: its connections stay open and silent. The entries hear nothing, replace
/// it under a new epoch, and go on. When it wakes it sends its old frames and tokens, which are
/// refused by epoch, and it comes back as a member.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_stage_is_replaced_and_its_late_frames_are_refused() {
    let fleet = Fleet::start(slow()).await;
    let running = begin(&fleet, 8).await;

    fleet.backends["b1"].sidecar.signal("STOP");
    fleet
        .until(0, "the frozen stage is down", |status| {
            is_state(status, "b1", "down")
        })
        .await;
    fleet.backends["b1"].sidecar.signal("CONT");

    end(&fleet, running).await;
    fleet.until_up().await;
}

/// The callers see whole answers although every connection to a stage went silent for good.
///
/// A relay before one stage takes bytes and passes nothing on, on the connections that it has; new
/// ones work. Heartbeats, frames and opens each find out by themselves and try a new connection; the
/// repeated frames change nothing at the ledger.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    let mut fleet = Fleet::start(slow()).await;
    let relay = support::wire::Relay::start(fleet.backends["b1"].sidecar.line[1].clone()).await;
    let address = fleet.backends["b1"].sidecar.line[1].clone();
    let text = fleet.text.replace(&address, &relay.address);
    fleet.roll_out("relay.ini", &text).unwrap();
    fleet
        .until(0, "the relay is in use", |status| status["generation"] == 2)
        .await;
    fleet
        .until(1, "the relay is in use", |status| status["generation"] == 2)
        .await;
    fleet.until_up().await;
    let running = begin(&fleet, 8).await;

    relay.silence();

    end(&fleet, running).await;
}

/// Callers with a key are refused at once; those without one go on.
///
/// The key-value service is down while streams run. Streams and plain requests without a key need no
/// claim. A request with a key is refused as not run, with when to come back, and runs once when the
/// service is back.
#[tokio::test(flavor = "multi_thread")]
async fn outage_of_the_key_value_service() {
    let fleet = Fleet::start(slow()).await;
    let running = begin(&fleet, 4).await;
    let kv = fleet.kv.line[1].clone();
    let path = format!("/services/{DESK}/approvals");
    let key = [("idempotency-key", "order-9")];

    fleet.fault(&kv, json!({"down": true})).await;
    let refused = fleet
        .caller(0)
        .send(Method::POST, &path, &key, "approve")
        .await
        .unwrap();
    let without = fleet
        .caller(0)
        .send(Method::POST, &path, &[], "approve")
        .await
        .unwrap();
    let runs_in_outage = fleet.runs("order-9").await;
    fleet.fault(&kv, json!({"down": false})).await;
    let after = fleet
        .caller(1)
        .send(Method::POST, &path, &key, "approve")
        .await
        .unwrap();

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers["jujube-verdict"], "not-run");
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(without.status, StatusCode::OK);
    assert_eq!(runs_in_outage, 0);
    assert_eq!(after.status, StatusCode::OK);
    assert_eq!(fleet.runs("order-9").await, 1);
    end(&fleet, running).await;
}

/// The caller who comes back through another entry is told the truth, and nothing runs twice.
///
/// An entry stands still while it holds a claim and its call runs. The same key comes through the
/// other entry: the first has not ended, and that is what the caller hears, at once. The first entry
/// wakes and gives its caller the answer; whoever asks then gets the same.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry_that_holds_a_claim() {
    let fleet = Fleet::start(Layout::default()).await;
    let path = format!("/services/{DESK}/approvals?delay=700");
    let key = [("idempotency-key", "order-5")];
    let first = fleet.caller(0);
    let sent = path.clone();
    let first = tokio::spawn(async move { first.send(Method::POST, &sent, &key, "yes").await });
    until_run(&fleet, "order-5").await;

    fleet.entries[0].signal("STOP");
    let second = fleet
        .caller(1)
        .send(Method::POST, &path, &key, "yes")
        .await
        .unwrap();
    fleet.entries[0].signal("CONT");
    let first = first.await.unwrap().unwrap();
    let third = until_answered(&fleet, &path, "order-5").await;

    assert_eq!(second.status, StatusCode::CONFLICT);
    assert_eq!(second.headers["jujube-verdict"], "may-have-run");
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(third.body, first.body);
    assert_eq!(fleet.runs("order-5").await, 1);
}

/// Waits until a key has run.
async fn until_run(fleet: &Fleet, key: &str) {
    let start = Instant::now();
    while fleet.runs(key).await == 0 {
        assert!(start.elapsed() < PATIENCE, "{key} did not run");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Asks again until the first request's answer is there.
async fn until_answered(fleet: &Fleet, path: &str, key: &str) -> Answer {
    let start = Instant::now();
    loop {
        let headers = [("idempotency-key", key)];
        let answer = fleet
            .caller(1)
            .send(Method::POST, path, &headers, "yes")
            .await
            .unwrap();
        if answer.status == StatusCode::OK {
            return answer;
        }
        assert!(start.elapsed() < PATIENCE, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The caller hears that the approval may have run, and it is not sent again.
///
/// The service is killed after it got the request and before it answered. The sidecar has handed the
/// bytes on, so that nobody may say "not run", and no other desk gets the request.
#[tokio::test(flavor = "multi_thread")]
async fn killed_service_may_have_run() {
    let fleet = Fleet::start(Layout::default()).await;
    let caller = fleet.caller(0);
    let path = format!("/services/{DESK}/approvals?delay=30000");
    let key = [("idempotency-key", "order-6")];
    let call = tokio::spawn(async move { caller.send(Method::POST, &path, &key, "yes").await });
    until_run(&fleet, "order-6").await;
    let ran_at = |name: &str| {
        let url = format!("{}/counter", fleet.backends[name].url);
        let fleet = &fleet;
        async move { fleet.page(&url).await["order-6"] == 1 }
    };
    let victim = if ran_at("d1").await { "d1" } else { "d2" };
    let other = if victim == "d1" { "d2" } else { "d1" };

    fleet.backends[victim].engine.signal("KILL");
    let answer = call.await.unwrap().unwrap();

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.headers["jujube-verdict"], "may-have-run");
    assert!(!ran_at(other).await);
}

/// Nobody's answer is cut, and each process exits 0.
///
/// A sidecar and then an entry get SIGTERM while streams run. The sidecar takes nothing new and ends
/// when its streams have; the entry turns new callers away with when to come back, and ends likewise.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stops_cut_nothing() {
    let mut fleet = Fleet::start(slow()).await;
    let running = begin(&fleet, 8).await;

    fleet.backends["a1"].sidecar.signal("TERM");
    fleet
        .until(0, "the leaving stage drains", |status| {
            is_state(status, "a1", "draining")
        })
        .await;
    fleet.entries[1].signal("TERM");
    let turned_away = loop {
        let answer = fleet
            .caller(1)
            .send(Method::GET, "/v1/models", &[], "")
            .await
            .unwrap();
        if answer.status != StatusCode::OK {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };

    assert_eq!(turned_away.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(turned_away.headers.contains_key("retry-after"));
    end(&fleet, running).await;
    assert!(fleet.entries[1].ended().success());
    let leaver = &mut fleet.backends.get_mut("a1").unwrap().sidecar;
    assert!(leaver.ended().success());
}

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

/// A leaver gets nothing new, by the VM list or by the bundle; the lagging list kills nobody.
#[tokio::test(flavor = "multi_thread")]
async fn leavers_get_nothing_new() {
    let mut fleet = Fleet::start(Layout::default()).await;
    let list = json!([{"server": "a1", "leaving": true}, {"server": "gone", "leaving": false}]);
    fleet.set_vms(&list).await;
    fleet
        .until(0, "a1 leaves", |status| is_state(status, "a1", "draining"))
        .await;
    let text = fleet
        .text
        .replace("[server b1]\n", "[server b1]\nin-use = false\n");
    let text = text.replace("[bundle]\n", "[bundle]\nconsent = shrink:writer\n");
    fleet.roll_out("leave.ini", &text).unwrap();
    fleet
        .until(0, "generation 2", |status| status["generation"] == 2)
        .await;
    let before = [ran(&fleet, "a1").await, ran(&fleet, "b1").await];

    for index in 0..20 {
        let prompt = format!("{PROMPT} {index}");
        fleet.caller(0).stream(MODEL, &prompt, 3).await.unwrap();
    }

    assert_eq!([ran(&fleet, "a1").await, ran(&fleet, "b1").await], before);
}

async fn ran(fleet: &Fleet, name: &str) -> Value {
    let url = format!("{}/v1/state", fleet.backends[name].url);
    fleet.page(&url).await["ran"].clone()
}
