//! One call to a plain service, from the choice of a backend server to its answer or refusal.
//!
//! A call is retried only if it is idempotent or known not to have run. A call with an idempotency
//! key is dispatched only under a claim that names the dispatch, so that other entries can ask the
//! right sidecar for its outcome.

use std::sync::Arc;

use crate::claim;
use crate::claim::Answer;
use crate::claim::Claim;
use crate::claim::Outcome;
use crate::claim::Progress;
use crate::claim::Record;
use crate::name::Server;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::request::BootId;
use crate::request::Request;
use crate::retry::Budget;
use crate::time::Span;
use crate::verdict::Verdict;

/// An idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// Random, unique to this request.
    pub nonce: Arc<str>,
    /// The digest of the method, path and body.
    pub fingerprint: Arc<str>,
}

/// The properties of a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Spec {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether its body is kept for retries.
    pub replayable: bool,
    /// Its idempotency key.
    pub key: Option<Key>,
}

/// A dispatch of a call to one run of a sidecar.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Dispatch {
    /// Identifies the dispatch at the sidecar; new for each dispatch.
    pub call: Request,
    /// The backend server.
    pub server: Option<Server>,
    /// The run of its sidecar.
    pub sidecar: BootId,
}

/// A request to the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Choose a backend server other than these and report it with `chosen`.
    Choose(Vec<Server>),
    /// Write the claim if there is none and report the outcome with `claimed`.
    Create(Record),
    /// Read the claim and report the outcome with `claimed`.
    Read,
    /// Replace the first record, if unchanged, with the second and report with `claimed`.
    Replace(Record, Record),
    /// Send the dispatch and report with `answered`, `refused` or `lost`.
    Dispatch(Dispatch),
    /// Ask the sidecar for the outcome of this dispatch and report it with `settled`.
    Settle(Dispatch),
    /// Return the service's answer to the caller.
    Answer,
    /// Store the answer with the claim, in the background.
    Finish(Record),
    /// Remove the claim, if unchanged, in the background.
    Release(Record),
    /// Return the answer of the first request with this key to the caller.
    Replay(Answer),
    /// Return this refusal to the caller.
    Refuse(Arc<Refusal>),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Choosing,
    Claiming,
    /// Moves the claim to another dispatch.
    Moving(Record),
    Dispatched,
    /// Asks for the outcome of its own dispatch.
    Settling,
    /// Asks for the outcome of the dispatch under the claim of another request.
    SettlingOther(Record),
    Done,
}

/// The state machine of a call.
///
/// # Examples
///
/// ```
/// # use jujube_core::call::Action;
/// # use jujube_core::call::Call;
/// # use jujube_core::call::Dispatch;
/// # use jujube_core::call::Spec;
/// let mut call = Call::new(Spec::default());
/// assert_eq!(call.start(), [Action::Choose(Vec::new())]);
/// let dispatch = Dispatch { server: Some("a".into()), ..Dispatch::default() };
/// let actions = call.chosen(0, Some(dispatch.clone()));
/// assert_eq!(actions, [Action::Dispatch(dispatch)]);
/// assert_eq!(call.answered(), [Action::Answer]);
/// ```
#[derive(Clone, Debug)]
pub struct Call {
    spec: Spec,
    claim: Option<Claim>,
    phase: Phase,
    dispatch: Dispatch,
    /// The claim that this call holds.
    held: Option<Record>,
    tried: Vec<Server>,
    /// The verdict on the last dispatch.
    verdict: Verdict,
}

const MAX_DISPATCHES: usize = 3;
const RETRY_AFTER: Span = Span(1_000);

impl Call {
    /// Returns a call that has not started.
    #[must_use]
    pub fn new(spec: Spec) -> Self {
        let claim = spec
            .key
            .as_ref()
            .map(|key| Claim::new(key.nonce.clone(), key.fingerprint.clone()));
        Self {
            spec,
            claim,
            phase: Phase::Choosing,
            dispatch: Dispatch::default(),
            held: None,
            tried: Vec::new(),
            verdict: Verdict::NotRun,
        }
    }

    /// Returns the first action.
    #[must_use]
    pub fn start(&self) -> Vec<Action> {
        vec![Action::Choose(Vec::new())]
    }

    /// Returns whether the call has ended for the caller.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Handles the chosen dispatch; `now` is in milliseconds since the Unix epoch.
    pub fn chosen(&mut self, now: u64, dispatch: Option<Dispatch>) -> Vec<Action> {
        if self.phase != Phase::Choosing {
            return Vec::new();
        }
        let Some(dispatch) = dispatch else {
            return self.refuse(Reason::NoPath, "no live backend server");
        };
        self.dispatch = dispatch;
        if let Some(held) = &self.held {
            let moved = Record {
                at: now,
                ..self.record(held.nonce.clone(), held.fingerprint.clone())
            };
            self.phase = Phase::Moving(moved.clone());
            return vec![Action::Replace(held.clone(), moved)];
        }
        let Some(key) = self.spec.key.clone() else {
            return self.send_dispatch();
        };
        self.phase = Phase::Claiming;
        let record = Record {
            at: now,
            ..self.record(key.nonce.to_string(), key.fingerprint.to_string())
        };
        self.held = Some(record.clone());
        vec![Action::Create(record)]
    }

    fn record(&self, nonce: String, fingerprint: String) -> Record {
        Record {
            nonce,
            call: self.dispatch.call,
            fingerprint,
            server: self.dispatch.server.clone().unwrap_or_else(|| "-".into()),
            sidecar: self.dispatch.sidecar,
            at: 0,
            progress: Progress::Held,
        }
    }

    fn send_dispatch(&mut self) -> Vec<Action> {
        self.phase = Phase::Dispatched;
        vec![Action::Dispatch(self.dispatch.clone())]
    }

    /// Handles the answer of the key-value service about the claim.
    pub fn claimed(&mut self, now: u64, outcome: Outcome) -> Vec<Action> {
        match self.phase.clone() {
            Phase::Claiming => {
                let Some(claim) = &mut self.claim else {
                    return Vec::new();
                };
                let action = claim.handle(now, outcome);
                self.perform(action)
            }
            Phase::Moving(moved) => self.moved(moved, outcome),
            _ => Vec::new(),
        }
    }

    /// Carries out an action of the claim.
    fn perform(&mut self, action: claim::Action) -> Vec<Action> {
        let record = self.held.clone();
        match (action, record) {
            (claim::Action::Create, Some(record)) => vec![Action::Create(record)],
            (claim::Action::Replace(before), Some(record)) => {
                vec![Action::Replace(before, record)]
            }
            (claim::Action::Read, _) => vec![Action::Read],
            (claim::Action::Dispatch, _) => self.send_dispatch(),
            (claim::Action::Settle(found), _) => {
                let dispatch = Dispatch {
                    call: found.call,
                    server: Some(found.server.clone()),
                    sidecar: found.sidecar,
                };
                self.phase = Phase::SettlingOther(found);
                vec![Action::Settle(dispatch)]
            }
            (claim::Action::Replay(answer), _) => self.finish(Action::Replay(answer)),
            (claim::Action::Refuse(refusal), _) => self.finish(Action::Refuse(refusal)),
            (claim::Action::Create | claim::Action::Replace(_), None) => Vec::new(),
        }
    }

    fn finish(&mut self, action: Action) -> Vec<Action> {
        self.phase = Phase::Done;
        vec![action]
    }

    /// Retries only if the claim is known to name the new dispatch.
    ///
    /// An entry that takes the claim over asks the sidecar that the claim names. If that were still
    /// the old one, it would report the old dispatch as not run while the new one runs.
    fn moved(&mut self, moved: Record, outcome: Outcome) -> Vec<Action> {
        let is_moved = match outcome {
            Outcome::Created => true,
            Outcome::Found(found) => found == moved,
            Outcome::Absent | Outcome::Unknown | Outcome::Down => false,
        };
        if is_moved {
            self.held = Some(moved);
            return self.send_dispatch();
        }
        self.refuse(
            Reason::NoClaim,
            "the claim could not be moved to another backend server",
        )
    }

    /// Handles an answer of the service.
    pub fn answered(&mut self) -> Vec<Action> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        self.phase = Phase::Done;
        let finish = self.held.clone().map(Action::Finish);
        std::iter::once(Action::Answer).chain(finish).collect()
    }

    /// Handles a report of the sidecar that the service did not answer.
    pub fn refused(&mut self, verdict: Verdict, budget: &mut Budget) -> Vec<Action> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        self.failed(verdict, budget)
    }

    /// Handles the loss of a dispatch, whose outcome the sidecar is then asked for.
    pub fn lost(&mut self) -> Vec<Action> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        self.phase = Phase::Settling;
        vec![Action::Settle(self.dispatch.clone())]
    }

    /// Handles the verdict of a sidecar; `MayHaveRun` if it did not answer.
    pub fn settled(&mut self, verdict: Verdict, budget: &mut Budget) -> Vec<Action> {
        match self.phase.clone() {
            Phase::Settling => self.failed(verdict, budget),
            Phase::SettlingOther(found) => {
                self.phase = Phase::Claiming;
                let Some(claim) = &mut self.claim else {
                    return Vec::new();
                };
                let action = claim.settled(found, verdict);
                self.perform(action)
            }
            _ => Vec::new(),
        }
    }

    fn failed(&mut self, verdict: Verdict, budget: &mut Budget) -> Vec<Action> {
        self.verdict = verdict;
        self.tried.extend(self.dispatch.server.clone());
        let may_retry = verdict.may_retry(self.spec.idempotent) && self.spec.replayable;
        if may_retry && self.tried.len() < MAX_DISPATCHES && budget.take() {
            self.phase = Phase::Choosing;
            return vec![Action::Choose(self.tried.clone())];
        }
        self.refuse(Reason::BackendFailed, "the backend server did not answer")
    }

    /// Refuses the call; its key is released only if the call has not run.
    fn refuse(&mut self, reason: Reason, detail: &str) -> Vec<Action> {
        self.phase = Phase::Done;
        let mut refusal = Refusal::not_run(reason, detail).verdict(self.verdict);
        if self.verdict.may_retry(self.spec.idempotent) {
            refusal = refusal.retry_after(RETRY_AFTER);
        }
        let release = self.held.take().filter(|_| self.verdict == Verdict::NotRun);
        let release = release.map(Action::Release);
        std::iter::once(Action::Refuse(Arc::new(refusal)))
            .chain(release)
            .collect()
    }
}
