//! Rolling configurations forward and back.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use jujube_core::bundle;
use jujube_core::bundle::Bundle;
use jujube_core::bundle::Guard;
use jujube_core::bundle::Signed;
use jujube_core::bundle::Trust;
use jujube_core::head::Config;
use jujube_core::head::Generation;
use jujube_core::head::Head;
use jujube_core::section::Fault;
use jujube_program::clock;
use jujube_store::head;
use jujube_store::head::Swapped;
use jujube_store::kv::Error;
use jujube_store::kv::Revision;
use jujube_store::kv::Store;

use crate::keys::Secret;

/// How often a read is asked for, and the pause before it is asked for again.
const TRIES: u32 = 5;
const PAUSE: Duration = Duration::from_millis(200);

/// Asks for a read until it is answered.
///
/// The service may be slow for a moment; nothing is changed yet, so asking again harms nobody, and an operator would do
/// the same by hand.
async fn ask<T, F: Future<Output = Result<T, Error>>>(read: impl Fn() -> F) -> Result<T, Error> {
    for _ in 1..TRIES {
        if let Ok(answer) = read().await {
            return Ok(answer);
        }
        tokio::time::sleep(PAUSE).await;
    }
    read().await
}

/// Who rolls, and why.
#[derive(Clone, Debug)]
pub struct Operator {
    /// A name for the audit trail.
    pub name: Arc<str>,
    /// The key that signs the head.
    pub key: Secret,
    /// Why, for the audit trail.
    pub reason: Arc<str>,
}

/// Reads and checks a bundle's text.
///
/// # Errors
///
/// All faults, one a line.
pub fn check(text: &str) -> Result<Bundle> {
    let bundle = bundle::parse(text).map_err(|faults| refuse(&faults))?;
    let faults = bundle::check(&bundle);
    if faults.is_empty() {
        return Ok(bundle);
    }
    Err(refuse(&faults))
}

fn refuse(faults: &[Fault]) -> anyhow::Error {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    anyhow::anyhow!(lines.join("\n"))
}

/// Rolls a signed bundle out, and returns its generation.
///
/// # Errors
///
/// The bundle does not hold, is not signed by two trusted people, takes away too much without
/// consent, lost a race, or the key-value service gives no answer. What is in force stays unless the
/// message says that the outcome is not known.
pub async fn forward(
    store: &impl Store,
    signed: Signed,
    trust: &Trust,
    guard: Guard,
    operator: &Operator,
) -> Result<Generation> {
    let bundle = check(&signed.text)?;
    trust.accept(&signed)?;
    let before = ask(|| head::read(store)).await?;
    if let Some((head, _)) = &before
        && let Some(older) = ask(|| head::bundle(store, &head.bundle)).await?
    {
        let older = check(&older.text).context("the bundle in force")?;
        let faults = bundle::guard(&older, &bundle, guard);
        if !faults.is_empty() {
            return Err(refuse(&faults));
        }
    }
    swap(store, before, signed, operator).await
}

/// Rolls back to the bundle of an earlier generation, under a new generation.
///
/// The guard is not asked: going back is what is left when a bundle that was allowed turns out bad.
///
/// # Errors
///
/// There is no such generation, or as [`forward`].
pub async fn back(
    store: &impl Store,
    to: Generation,
    trust: &Trust,
    operator: &Operator,
) -> Result<Generation> {
    let before = ask(|| head::read(store)).await?;
    let trail = ask(|| head::audit(store)).await?;
    let earlier = trail.iter().find(|head| head.generation == to);
    let earlier = earlier.with_context(|| format!("no generation {to} in the audit trail"))?;
    let signed = ask(|| head::bundle(store, &earlier.bundle)).await?;
    let signed = signed.with_context(|| format!("bundle {} is gone", earlier.bundle))?;
    check(&signed.text)?;
    trust.accept(&signed)?;
    swap(store, before, signed, operator).await
}

async fn swap(
    store: &impl Store,
    before: Option<(Head, Revision)>,
    signed: Signed,
    operator: &Operator,
) -> Result<Generation> {
    let last = before.as_ref().map(|(head, _)| head);
    let generation = last.map_or(Generation(0), |head| head.generation).next();
    let head = Head {
        generation,
        bundle: bundle::digest(&signed.text).to_string(),
        operator: operator.name.clone(),
        reason: operator.reason.clone(),
        nonce: clock::nonce(),
        at: clock::unix_millis(),
        previous: last
            .map(|head| head.digest().to_string())
            .unwrap_or_default(),
        signature: None,
    };
    let head = head.signed(&operator.key);
    let config = Config { head, signed };
    match head::swap(store, before.as_ref(), &config).await? {
        Swapped::Won => Ok(generation),
        Swapped::Lost(winner) => bail!(
            "generation {} is {}'s (\"{}\"): read what it changed, then try again",
            winner.generation,
            winner.operator,
            winner.reason
        ),
    }
}
