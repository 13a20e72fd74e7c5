//! One call to a plain service, from the choice of a backend server to the final word.
//!
//! A call is dispatched again only when it is proved that it did not run, or when it may be repeated.
//! A call with an idempotency key is dispatched only under a claim that names the dispatch, so that
//! whoever finds the claim later can ask the right sidecar what became of it.

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

/// A key and what it stands for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// Drawn for this request.
    pub nonce: Arc<str>,
    /// The digest of the method, path and body.
    pub fingerprint: Arc<str>,
}

/// What is to be called.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Spec {
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Whether its body is kept for another dispatch.
    pub replayable: bool,
    /// Its idempotency key.
    pub key: Option<Key>,
}

/// One dispatch: which call goes to which run of which sidecar.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Dispatch {
    /// The number under which the sidecar's ledger knows it; new for each dispatch.
    pub call: Request,
    /// The backend server.
    pub server: Option<Server>,
    /// The run of its sidecar.
    pub sidecar: BootId,
}

/// What the entry is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Choose a backend server, none of these, and report it with `chosen`.
    Choose(Vec<Server>),
    /// Write the claim if there is none, and report with `claimed`.
    Create(Record),
    /// Read the claim, and report with `claimed`.
    Read,
    /// Replace exactly the first record by the second, and report with `claimed`.
    Replace(Record, Record),
    /// Dispatch, and report with `answered`, `refused` or `lost`.
    Dispatch(Dispatch),
    /// Ask the sidecar's ledger what became of this dispatch, and report with `settled`.
    Settle(Dispatch),
    /// Give the service's answer to the caller.
    Answer,
    /// Keep the answer with the claim; in the background.
    Finish(Record),
    /// Remove exactly this claim; in the background.
    Release(Record),
    /// Give the caller the answer that the first request had.
    Replay(Answer),
    /// Give the caller this refusal.
    Refuse(Arc<Refusal>),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Choosing,
    Claiming,
    /// The claim moves to another dispatch.
    Moving(Record),
    Dispatched,
    /// Asks about its own dispatch.
    Settling,
    /// Asks about the dispatch under somebody else's claim.
    SettlingOther(Record),
    Done,
}

/// A call.
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
    /// The claim that is held.
    held: Option<Record>,
    tried: Vec<Server>,
    /// What is known of the last dispatch.
    verdict: Verdict,
}

const MOST_DISPATCHES: usize = 3;
const RETRY_AFTER: Span = Span(1_000);

impl Call {
    /// Returns a call that has not begun.
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

    /// Tells whether the caller has had the last word.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Takes the choice, at a time in milliseconds of the Unix epoch.
    pub fn chosen(&mut self, now: u64, dispatch: Option<Dispatch>) -> Vec<Action> {
        if self.phase != Phase::Choosing {
            return Vec::new();
        }
        let Some(dispatch) = dispatch else {
            return self.end(Reason::NoPath, "no live backend server");
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
            return self.go();
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

    fn go(&mut self) -> Vec<Action> {
        self.phase = Phase::Dispatched;
        vec![Action::Dispatch(self.dispatch.clone())]
    }

    /// Takes what the key-value service answered about the claim.
    pub fn claimed(&mut self, now: u64, outcome: Outcome) -> Vec<Action> {
        match self.phase.clone() {
            Phase::Claiming => {
                let Some(claim) = &mut self.claim else {
                    return Vec::new();
                };
                let action = claim.on(now, outcome);
                self.follow(action)
            }
            Phase::Moving(moved) => self.moved(moved, outcome),
            _ => Vec::new(),
        }
    }

    /// Does what the claim says.
    fn follow(&mut self, action: claim::Action) -> Vec<Action> {
        let record = self.held.clone();
        match (action, record) {
            (claim::Action::Create, Some(record)) => vec![Action::Create(record)],
            (claim::Action::Replace(before), Some(record)) => {
                vec![Action::Replace(before, record)]
            }
            (claim::Action::Read, _) => vec![Action::Read],
            (claim::Action::Go, _) => self.go(),
            (claim::Action::Settle(found), _) => {
                let dispatch = Dispatch {
                    call: found.call,
                    server: Some(found.server.clone()),
                    sidecar: found.sidecar,
                };
                self.phase = Phase::SettlingOther(found);
                vec![Action::Settle(dispatch)]
            }
            (claim::Action::Replay(answer), _) => self.last(Action::Replay(answer)),
            (claim::Action::Refuse(refusal), _) => self.last(Action::Refuse(refusal)),
            (claim::Action::Create | claim::Action::Replace(_), None) => Vec::new(),
        }
    }

    fn last(&mut self, action: Action) -> Vec<Action> {
        self.phase = Phase::Done;
        vec![action]
    }

    /// Dispatches again only when the claim surely names the new dispatch.
    ///
    /// Somebody who takes the claim over asks the sidecar that it names: if that were still the old
    /// one, it would truly say "not run" of the old dispatch while the new one runs.
    fn moved(&mut self, moved: Record, outcome: Outcome) -> Vec<Action> {
        let sure = match outcome {
            Outcome::Created => true,
            Outcome::Found(there) => there == moved,
            Outcome::Absent | Outcome::Unknown | Outcome::Down => false,
        };
        if sure {
            self.held = Some(moved);
            return self.go();
        }
        self.end(
            Reason::NoClaim,
            "the claim could not be moved to another backend server",
        )
    }

    /// Books that the service answered.
    pub fn answered(&mut self) -> Vec<Action> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        self.phase = Phase::Done;
        let finish = self.held.clone().map(Action::Finish);
        std::iter::once(Action::Answer).chain(finish).collect()
    }

    /// Takes the sidecar's own word that the service did not answer.
    pub fn refused(&mut self, verdict: Verdict, budget: &mut Budget) -> Vec<Action> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        self.failed(verdict, budget)
    }

    /// Takes word that nothing is known of the dispatch: the sidecar's ledger is asked.
    pub fn lost(&mut self) -> Vec<Action> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        self.phase = Phase::Settling;
        vec![Action::Settle(self.dispatch.clone())]
    }

    /// Takes what a sidecar's ledger says; `MayHaveRun` when it could not be asked.
    pub fn settled(&mut self, verdict: Verdict, budget: &mut Budget) -> Vec<Action> {
        match self.phase.clone() {
            Phase::Settling => self.failed(verdict, budget),
            Phase::SettlingOther(found) => {
                self.phase = Phase::Claiming;
                let Some(claim) = &mut self.claim else {
                    return Vec::new();
                };
                let action = claim.settled(found, verdict);
                self.follow(action)
            }
            _ => Vec::new(),
        }
    }

    fn failed(&mut self, verdict: Verdict, budget: &mut Budget) -> Vec<Action> {
        self.verdict = verdict;
        self.tried.extend(self.dispatch.server.clone());
        let safe = verdict.may_retry(self.spec.idempotent) && self.spec.replayable;
        if safe && self.tried.len() < MOST_DISPATCHES && budget.take() {
            self.phase = Phase::Choosing;
            return vec![Action::Choose(self.tried.clone())];
        }
        self.end(Reason::BackendFailed, "the backend server did not answer")
    }

    /// Gives the last word; the key is freed only when nothing ran under it.
    fn end(&mut self, reason: Reason, detail: &str) -> Vec<Action> {
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
