//! Showing the audit trail and the processes' status.

use std::fmt::Write;
use std::time::Duration;

use anyhow::Result;
use jujube_core::bundle::Trust;
use jujube_core::head::Head;
use jujube_program::http::Client;
use serde_json::Value;

/// Returns the audit trail as lines, each checked against the one before.
///
/// # Examples
///
/// ```
/// # use jujube_core::bundle::Trust;
/// assert_eq!(jujube_ctl::show::audit(&[], &Trust::default()), "");
/// ```
#[must_use]
pub fn audit(trail: &[Head], trust: &Trust) -> String {
    let mut text = String::new();
    let mut previous = String::new();
    for head in trail {
        let signed = head.signature.as_ref();
        let signed = signed.is_some_and(|s| trust.verify(&head.digest(), s).is_ok());
        let verdict = match (head.previous == previous, signed) {
            (true, true) => "ok",
            (false, _) => "BROKEN CHAIN",
            (true, false) => "BAD SIGNATURE",
        };
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{:>6}  {}  {}  {:<12}  {}  {verdict}",
            head.generation,
            head.at,
            &head.bundle.get(..12).unwrap_or_default(),
            head.operator,
            head.reason,
        );
        previous = head.digest().to_string();
    }
    text
}

/// Asks entries for their status and returns it as lines.
///
/// # Errors
///
/// Never for an entry that does not answer: its line says so.
pub async fn status(entries: &[String]) -> Result<String> {
    const PATIENCE: Duration = Duration::from_secs(2);
    let client = Client::new(PATIENCE);
    let mut text = String::new();
    for entry in entries {
        let url = format!("{}/status", entry.trim_end_matches('/'));
        match client.get::<Value>(&url, PATIENCE).await {
            Ok(status) => describe(entry, &status, &mut text),
            Err(error) => writeln!(text, "{entry}  no answer: {error}")?,
        }
    }
    Ok(text)
}

fn describe(entry: &str, status: &Value, text: &mut String) {
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "{entry}  generation {}  in flight {}  draining {}  unserved {}",
        status["generation"], status["in_flight"], status["draining"], status["unserved"],
    );
    for (model, value) in status["models"].as_object().into_iter().flatten() {
        let _ = writeln!(
            text,
            "  {model}  bound {} tokens/s",
            value["bound_tokens_per_second"]
        );
    }
    for server in status["servers"].as_array().into_iter().flatten() {
        let word = |key: &str| server[key].as_str().unwrap_or("-").to_string();
        let _ = writeln!(
            text,
            "  {:<16} {:<14} {:<16} {:<8} {:<9} generation {} held {}/{}",
            word("server"),
            word("service"),
            word("zone"),
            word("layers"),
            word("state"),
            server["generation"],
            server["held"],
            server["slots"],
        );
    }
}
