//! Lines as a process writes them.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

use std::env;
use std::process::Command;

use jujube_program::logs;

/// Names the stream to which the process of this test that is told of it logs.
const CHILD: &str = "JUJUBE_TEST_LOGS_TO";
/// The most bytes of a line without its end.
const MAX_LINE_BYTES: usize = 8_000;

/// Logs odd records to a stream of this process.
fn log_odd_records(stream: &str) {
    match stream {
        "stdout" => logs::to_stdout("test", "info").unwrap(),
        _ => logs::start("test", "info").unwrap(),
    }
    log::error!("event=odd a=b\nevent=forged c=\u{1b}[2J\u{202e}\r\u{2028}d");
    log::error!("event=long a={}", "\u{e9}\n".repeat(100_000));
    logs::tell("test", &anyhow::anyhow!("a\nevent=forged \u{1b}[2J"));
    logs::flush();
}

/// Guards against records of any crate that make several lines, or one of any length.
#[test]
fn a_record_is_one_line() {
    if let Ok(stream) = env::var(CHILD) {
        return log_odd_records(&stream);
    }
    for stream in ["stdout", "stderr"] {
        let mut child = Command::new(env::current_exe().unwrap());
        child.args(["--exact", "a_record_is_one_line", "--nocapture"]);
        let output = child.env(CHILD, stream).output().unwrap();
        let is_stdout = stream == "stdout";
        let logged = if is_stdout {
            &output.stdout
        } else {
            &output.stderr
        };

        let lines = String::from_utf8(logged.clone()).unwrap();
        let told = String::from_utf8(output.stderr).unwrap();

        let odd: Vec<&str> = lines
            .split('\n')
            .filter(|line| line.contains("event=odd"))
            .collect();
        assert_eq!(odd.len(), 1, "{lines}");
        assert!(odd[0].starts_with("time="), "{odd:?}");
        assert!(
            odd[0].ends_with(" event=odd a=b-event=forged c=-[2J---d"),
            "{odd:?}"
        );
        let long = lines.split('\n').find(|line| line.contains("event=long"));
        assert!((MAX_LINE_BYTES - 1..=MAX_LINE_BYTES).contains(&long.unwrap().len()));
        assert!(!lines.contains("\nevent=forged"), "{lines}");
        assert!(
            told.contains("test: a\ntest: event=forged -[2J\n"),
            "{told}"
        );
    }
}
