//! The README's first command: one completion and one plain request through the real path.

use anyhow::Result;
use anyhow::ensure;
use hyper::Method;

use crate::caller::Caller;
use crate::caller::expected;
use crate::cluster::Cluster;

/// The API key of the trial customer in `examples/hoshizaki`.
pub const KEY: &str = "jj-trial";
const MODEL: &str = "survey-writer";
const PLAIN: &str = "register-desk";

/// Serves a streamed completion and a plain request, prints what happened, and checks it.
///
/// # Errors
///
/// Any answer is not what the naive version gives, or the plain request did not run exactly once.
pub async fn once(cluster: &Cluster) -> Result<()> {
    const PROMPT: &str = "summarise the hazards of block C, ceiling tiles and pipe lagging";
    const TOKENS: usize = 24;
    let caller = Caller::new(&cluster.url(0), KEY);

    let text = caller.stream(MODEL, PROMPT, TOKENS).await?;
    println!("completion ({MODEL}, {TOKENS} tokens):{text}");
    ensure!(
        text == expected(&cluster.bundle, MODEL, PROMPT, TOKENS),
        "the text is wrong"
    );
    println!("  the same text as one process with all layers gives");

    let path = format!("/services/{PLAIN}/notes");
    let headers = [("idempotency-key", "trial-1")];
    let first = caller
        .send(Method::POST, &path, &headers, "removal note")
        .await?;
    println!(
        "plain request: {} {}",
        first.status,
        String::from_utf8_lossy(&first.body)
    );
    ensure!(first.status.is_success(), "the plain request failed");
    let second = caller
        .send(Method::POST, &path, &headers, "removal note")
        .await?;
    println!(
        "the same again: {} {}",
        second.status,
        String::from_utf8_lossy(&second.body)
    );
    let runs = cluster.plain.runs().get("trial-1").copied().unwrap_or(0);
    println!("  ran {runs} time(s)");
    ensure!(runs == 1, "the plain request ran {runs} times");
    Ok(())
}
