//! The observer: checks the invariants of requests without knowledge of the controllers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jujube_core::layer::Range;
use jujube_core::refusal::Refusal;
use jujube_core::request::Request;
use jujube_core::verdict::Verdict;

use super::model;

/// One run of an engine, by name and number; a restart begins the next.
pub type EngineRun = (String, u64);

/// The observed events of one request.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    pub prompt: Vec<u64>,
    pub expected_tokens: usize,
    pub tokens: Vec<u64>,
    pub finished: bool,
    pub failed: Option<Refusal>,
    /// The caller or its entry is gone, so that no answer is required.
    pub abandoned: bool,
}

/// All observed events and violations.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    pub layers: u32,
    pub requests: BTreeMap<Request, Observation>,
    /// The engine runs that executed a layer at a position of a request, rebuilds excluded.
    pub ran: BTreeMap<(Request, u32, u64), Vec<EngineRun>>,
    /// The number of executions that were marked as a rebuild.
    pub rebuilt: usize,
    /// Engine runs that ended, were partitioned or paused, so that their work may be repeated.
    pub lost: BTreeSet<EngineRun>,
    pub violations: Vec<String>,
}

impl Observer {
    pub fn ran(
        &mut self,
        engine: &EngineRun,
        request: Request,
        layers: Range,
        position: u64,
        rebuild: bool,
    ) {
        let seen = self.requests.entry(request).or_default();
        let answered = seen.prompt.len() as u64 - 1 + seen.tokens.len() as u64;
        if !rebuild && !seen.tokens.is_empty() && position < answered && !self.lost.contains(engine)
        {
            // The token of this position was already emitted, so only a rebuild may run it again.
            self.violations.push(format!(
                "{request}: position {position} ran again without a rebuild on {engine:?}"
            ));
        }
        for layer in layers.start..layers.end {
            if rebuild {
                self.rebuilt += 1;
                continue;
            }
            let engines = self.ran.entry((request, layer, position)).or_default();
            // A paused engine may finish after its successor; its cache is no longer read.
            let is_current = !self.lost.contains(engine);
            if is_current && engines.iter().any(|earlier| !self.lost.contains(earlier)) {
                let what =
                    format!("layer {layer} at {position} ran again on {engine:?}: {engines:?}");
                self.violations.push(what);
            }
            engines.push(engine.clone());
        }
    }

    pub fn emitted(&mut self, request: Request, first: usize, tokens: &[u64]) {
        let seen = self.requests.entry(request).or_default();
        if first != seen.tokens.len() {
            self.violations.push(format!(
                "{request}: token {first} after {}",
                seen.tokens.len()
            ));
        }
        seen.tokens.extend_from_slice(tokens);
    }

    pub fn finished(&mut self, request: Request) {
        let seen = self.requests.entry(request).or_default();
        if seen.finished || seen.failed.is_some() {
            self.violations.push(format!("{request}: ended twice"));
        }
        seen.finished = true;
    }

    pub fn failed(&mut self, request: Request, refusal: &Refusal) {
        let has_run = self.ran.keys().any(|(other, _, _)| *other == request);
        let seen = self.requests.entry(request).or_default();
        if seen.finished || seen.failed.is_some() {
            self.violations.push(format!("{request}: ended twice"));
        }
        if refusal.verdict == Verdict::NotRun && has_run {
            self.violations
                .push(format!("{request}: reported as not run, but it ran"));
        }
        seen.failed = Some(refusal.clone());
    }

    /// Checks the answer to every request against the reference model. With `must_finish`, failures
    /// are violations, because enough backend servers were left.
    pub fn check(&mut self, must_finish: bool) {
        for (request, seen) in &self.requests {
            let layers = Range::new(0, self.layers);
            if let Some(wrong) = model::first_wrong(layers, &seen.prompt, &seen.tokens) {
                self.violations.push(format!(
                    "{request}: wrong token {wrong} in {:?}",
                    seen.tokens
                ));
            }
            if seen.finished && seen.tokens.len() != seen.expected_tokens {
                self.violations.push(format!("{request}: finished early"));
            }
            let ended = seen.finished || seen.failed.is_some() || seen.abandoned;
            if !ended {
                self.violations.push(format!("{request}: no final answer"));
            }
            if must_finish && !seen.finished && !seen.abandoned {
                self.violations
                    .push(format!("{request}: failed although a path was left"));
            }
        }
    }
}
