//! The state machine of a session.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::answer::Answer;
use super::message::Action;
use super::message::Settings;
use super::message::Spec;
use crate::ledger::Frame;
use crate::ledger::Lost;
use crate::ledger::Open;
use crate::ledger::Opened;
use crate::ledger::Resume;
use crate::ledger::Tokens;
use crate::name::Server;
use crate::path::Route;
use crate::path::Stage;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::request::Epoch;
use crate::request::Position;
use crate::request::Request;
use crate::time::Instant;
use crate::verdict::Verdict;

/// Where a session stands.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    /// Waits for a route since the given time; asked for it last at the second.
    Choosing { since: Instant, asked: Instant },
    /// Waits for the stages' answers.
    Opening { answers: Vec<Option<Opened>> },
    /// Tokens are on their way.
    Running,
    /// The caller has had the last word.
    Done,
}

/// One model request.
///
/// # Examples
///
/// ```
/// # use std::sync::Arc;
/// # use jujube_core::path::Route;
/// # use jujube_core::path::Stage;
/// # use jujube_core::session::Session;
/// # use jujube_core::session::Settings;
/// # use jujube_core::session::Spec;
/// # use jujube_core::time::Instant;
/// let spec = Spec { prompt: vec![1, 2], max_tokens: 3, ..Spec::default() };
/// let mut session = Session::new(spec, Settings::default());
/// let stage = Stage { server: "a".into(), address: "".into(), layers: "0-4".parse()? };
/// let route = Route { entry: "".into(), stages: vec![stage] };
/// let mut actions = Vec::new();
/// session.routed(Instant(0), Some(Arc::new(route)), &mut actions);
/// assert_eq!(actions.len(), 1);
/// # Ok::<(), jujube_core::layer::BadRange>(())
/// ```
#[derive(Clone, Debug)]
pub struct Session {
    answer: Answer,
    settings: Settings,
    epoch: Epoch,
    route: Arc<Route>,
    phase: Phase,
    excluded: BTreeSet<Server>,
    /// Whether any stage has had an input.
    fed: bool,
    /// When the last token or change of phase came.
    progress: Instant,
}

impl Session {
    /// Returns a session that waits for its first route.
    #[must_use]
    pub fn new(spec: Spec, settings: Settings) -> Self {
        let zero = Instant::default();
        Self {
            answer: Answer::new(spec),
            settings,
            epoch: Epoch(0),
            route: Arc::default(),
            phase: Phase::Choosing {
                since: zero,
                asked: zero,
            },
            excluded: BTreeSet::new(),
            fed: false,
            progress: zero,
        }
    }

    /// Returns the request's identifier.
    #[must_use]
    pub fn request(&self) -> Request {
        self.answer.spec.request
    }

    /// Returns the current epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the current route.
    #[must_use]
    pub fn route(&self) -> &Arc<Route> {
        &self.route
    }

    /// Returns the tokens given out so far.
    #[must_use]
    pub fn tokens(&self) -> &[u64] {
        &self.answer.tokens
    }

    /// Tells whether the caller has had the last word.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Takes the route that was asked for; `None` when there is none.
    pub fn routed(&mut self, now: Instant, route: Option<Arc<Route>>, actions: &mut Vec<Action>) {
        let Phase::Choosing { since, .. } = self.phase else {
            return;
        };
        let Some(route) = route else {
            let out_of_patience = now.since(since) >= self.settings.patience;
            if !self.fed || out_of_patience {
                self.fail(
                    Reason::NoPath,
                    "no path through live backend servers",
                    actions,
                );
            }
            return;
        };
        self.release_leavers(&route, actions);
        self.route = route;
        self.open(now, actions);
    }

    /// Frees the request at stages that the new route leaves out.
    fn release_leavers(&self, route: &Route, actions: &mut Vec<Action>) {
        let leavers = self
            .route
            .stages
            .iter()
            .filter(|stage| !route.stages.contains(stage));
        actions.extend(leavers.map(|stage| self.release(stage)));
    }

    fn release(&self, stage: &Stage) -> Action {
        Action::Release {
            stage: stage.clone(),
            request: self.answer.spec.request,
            epoch: self.epoch,
        }
    }

    /// Begins a new epoch on the current route.
    fn open(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.epoch.0 >= self.settings.max_epochs {
            self.fail(Reason::BackendFailed, "the path failed too often", actions);
            return;
        }
        self.epoch = self.epoch.next();
        self.progress = now;
        let stages = &self.route.stages;
        self.phase = Phase::Opening {
            answers: vec![None; stages.len()],
        };
        for (index, stage) in stages.iter().enumerate() {
            let last = index + 1 == stages.len();
            let open = Open {
                request: self.answer.spec.request,
                epoch: self.epoch,
                route: self.route.clone(),
                index,
                downstream: self.first_downstream(last),
                rebuild_until: Position(0),
                limit: self.answer.limit(),
            };
            actions.push(Action::Open {
                stage: stage.clone(),
                open,
            });
        }
    }

    /// Returns from where a stage sends when nothing has run yet; saves the second round trip.
    fn first_downstream(&self, last: bool) -> Option<Position> {
        if self.fed {
            return None;
        }
        Some(if last {
            self.answer.next()
        } else {
            Position(0)
        })
    }

    /// Books a stage's answer to an open.
    pub fn opened(
        &mut self,
        now: Instant,
        server: &Server,
        epoch: Epoch,
        opened: Opened,
        actions: &mut Vec<Action>,
    ) {
        if epoch != self.epoch {
            return;
        }
        let Some(index) = self.route.index_of(server) else {
            return;
        };
        let Phase::Opening { answers } = &mut self.phase else {
            return;
        };
        answers[index] = Some(opened);
        let answers: Option<Vec<Opened>> = answers.iter().copied().collect();
        if let Some(answers) = answers {
            self.run(now, &answers, actions);
        }
    }

    /// Tells each stage from where its successor lacks outputs, and feeds the first.
    fn run(&mut self, now: Instant, answers: &[Opened], actions: &mut Vec<Action>) {
        self.phase = Phase::Running;
        self.progress = now;
        if self.fed {
            self.resume(answers, actions);
        }
        self.fed = true;
        self.feed(answers[0].count, actions);
    }

    /// A replacement rebuilds every position that some later stage has had inputs of, or whose token
    /// is out: its predecessor in these layers has run them.
    fn resume(&self, answers: &[Opened], actions: &mut Vec<Action>) {
        for (index, stage) in self.route.stages.iter().enumerate() {
            let after = &answers[index + 1..];
            let downstream = after.first().map_or(self.answer.next(), |next| next.count);
            let reached = after.iter().map(|opened| opened.reached);
            let rebuild_until = reached.chain([self.answer.proved()]).max();
            let resume = Resume {
                request: self.answer.spec.request,
                epoch: self.epoch,
                downstream,
                rebuild_until: rebuild_until.unwrap_or_default(),
            };
            actions.push(Action::Resume {
                stage: stage.clone(),
                resume,
            });
        }
    }

    /// Sends the first stage its inputs from a position on.
    fn feed(&self, from: Position, actions: &mut Vec<Action>) {
        let values = self.answer.inputs(from);
        if values.is_empty() {
            return;
        }
        actions.push(Action::Feed {
            stage: self.route.stages[0].clone(),
            frame: Frame {
                request: self.answer.spec.request,
                epoch: self.epoch,
                first: from,
                values,
            },
        });
    }

    /// Takes tokens from the last stage.
    ///
    /// An older epoch's are refused even though their value may be right: a sampler need not give
    /// the same token twice, and the successor may have given out another one for this position.
    pub fn tokens_came(&mut self, now: Instant, tokens: &Tokens, actions: &mut Vec<Action>) {
        if tokens.epoch != self.epoch || self.phase != Phase::Running {
            return;
        }
        let first = self.answer.tokens.len();
        let fresh = self.answer.take(tokens);
        if fresh.is_empty() {
            return;
        }
        self.progress = now;
        actions.push(Action::Emit {
            first,
            tokens: fresh,
        });
        if self.answer.is_whole() {
            self.close(actions);
            actions.push(Action::Finish);
            return;
        }
        let given_before = self.answer.spec.prompt.len() + first;
        self.feed(Position(given_before as u64), actions);
    }

    /// Takes word that a stage is gone under an epoch, or did not open.
    pub fn lost(&mut self, now: Instant, lost: &Lost, actions: &mut Vec<Action>) {
        if lost.epoch == self.epoch {
            self.down(now, &lost.server, actions);
        }
    }

    /// Takes word that a backend server is gone.
    pub fn down(&mut self, now: Instant, server: &Server, actions: &mut Vec<Action>) {
        if self.route.index_of(server).is_none() {
            return;
        }
        match self.phase {
            Phase::Opening { .. } | Phase::Running => {}
            Phase::Choosing { .. } | Phase::Done => return,
        }
        self.excluded.insert(server.clone());
        self.phase = Phase::Choosing {
            since: now,
            asked: now,
        };
        actions.push(Action::Reroute {
            excluded: self.excluded.iter().cloned().collect(),
        });
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Choosing { since, asked } => {
                if self.epoch == Epoch(0) || now.since(asked) < self.settings.retry_interval {
                    return;
                }
                self.phase = Phase::Choosing { since, asked: now };
                // A backend server that failed may be back: nothing else may hold these layers.
                self.excluded.clear();
                let excluded = Vec::new();
                actions.push(Action::Reroute { excluded });
            }
            Phase::Running | Phase::Opening { .. } => {
                if now.since(self.progress) >= self.settings.stall {
                    self.open(now, actions);
                }
            }
            Phase::Done => {}
        }
    }

    /// Takes word that the caller is gone.
    pub fn cancel(&mut self, actions: &mut Vec<Action>) {
        if self.phase != Phase::Done {
            self.close(actions);
        }
    }

    fn fail(&mut self, reason: Reason, detail: &str, actions: &mut Vec<Action>) {
        let verdict = if self.fed {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let refusal = Refusal::not_run(reason, detail)
            .verdict(verdict)
            .retry_after(self.settings.retry_after);
        self.close(actions);
        actions.push(Action::Fail(Arc::new(refusal)));
    }

    fn close(&mut self, actions: &mut Vec<Action>) {
        self.phase = Phase::Done;
        actions.extend(self.route.stages.iter().map(|stage| self.release(stage)));
    }
}
