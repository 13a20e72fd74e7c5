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

/// The phase of a session.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    /// Has waited for a route since one time and last asked for it at the other.
    Choosing { since: Instant, asked: Instant },
    /// Waits for the answers of the stages.
    Opening { answers: Vec<Option<Opened>> },
    /// Waits for tokens.
    Running,
    /// The request has ended for the caller.
    Done,
}

/// The state machine of a model request.
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
/// # Ok::<(), jujube_core::layer::ParseRangeError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Session {
    answer: Answer,
    settings: Settings,
    epoch: Epoch,
    route: Arc<Route>,
    phase: Phase,
    excluded: BTreeSet<Server>,
    /// Whether any input was sent to a stage.
    fed: bool,
    /// When the last token arrived or the phase last changed.
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

    /// Returns the tokens emitted so far.
    #[must_use]
    pub fn tokens(&self) -> &[u64] {
        &self.answer.tokens
    }

    /// Returns whether the request has ended for the caller.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Handles a chosen route; `None` if there is none.
    pub fn routed(&mut self, now: Instant, route: Option<Arc<Route>>, actions: &mut Vec<Action>) {
        let Phase::Choosing { since, .. } = self.phase else {
            return;
        };
        let Some(route) = route else {
            let timed_out = now.since(since) >= self.settings.patience;
            if !self.fed || timed_out {
                self.fail(
                    Reason::NoPath,
                    "no path through live backend servers",
                    actions,
                );
            }
            return;
        };
        self.release_removed(&route, actions);
        self.route = route;
        self.open(now, actions);
    }

    /// Frees the request at stages that are not on the new route.
    fn release_removed(&self, route: &Route, actions: &mut Vec<Action>) {
        let removed = self
            .route
            .stages
            .iter()
            .filter(|stage| !route.stages.contains(stage));
        actions.extend(removed.map(|stage| self.release(stage)));
    }

    fn release(&self, stage: &Stage) -> Action {
        Action::Release {
            stage: stage.clone(),
            request: self.answer.spec.request,
            epoch: self.epoch,
        }
    }

    /// Opens a new epoch on the current route.
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

    /// Returns from which position a stage sends if nothing has run; this saves a round trip.
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

    /// Handles the answer of a stage to an open.
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

    /// Resumes all stages after a recovery and sends the inputs to the first.
    fn run(&mut self, now: Instant, answers: &[Opened], actions: &mut Vec<Action>) {
        self.phase = Phase::Running;
        self.progress = now;
        if self.fed {
            self.resume(answers, actions);
        }
        self.fed = true;
        self.feed(answers[0].count, actions);
    }

    /// Sends each stage the position to send from and the positions that are a rebuild.
    ///
    /// A replacement rebuilds the positions whose inputs a later stage has received or whose token was
    /// emitted, since the stage that it replaces has run them.
    fn resume(&self, answers: &[Opened], actions: &mut Vec<Action>) {
        for (index, stage) in self.route.stages.iter().enumerate() {
            let after = &answers[index + 1..];
            let downstream = after.first().map_or(self.answer.next(), |next| next.count);
            let reached = after.iter().map(|opened| opened.reached);
            let rebuild_until = reached.chain([self.answer.min_run()]).max();
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

    /// Sends the inputs from a position onwards to the first stage.
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

    /// Handles tokens from the last stage.
    ///
    /// Tokens of an older epoch are ignored: sampling need not repeat, so that the current epoch may
    /// have another token for the same position.
    pub fn tokens_received(&mut self, now: Instant, tokens: &Tokens, actions: &mut Vec<Action>) {
        if tokens.epoch != self.epoch || self.phase != Phase::Running {
            return;
        }
        let first = self.answer.tokens.len();
        let new = self.answer.add(tokens);
        if new.is_empty() {
            return;
        }
        self.progress = now;
        actions.push(Action::Emit { first, tokens: new });
        if self.answer.is_complete() {
            self.close(actions);
            actions.push(Action::Finish);
            return;
        }
        let first_new = self.answer.spec.prompt.len() + first;
        self.feed(Position(first_new as u64), actions);
    }

    /// Handles a report that a stage was lost in an epoch or did not open the request.
    pub fn lost(&mut self, now: Instant, lost: &Lost, actions: &mut Vec<Action>) {
        if lost.epoch == self.epoch {
            self.down(now, &lost.server, actions);
        }
    }

    /// Handles the failure of a backend server.
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

    /// Handles timeouts.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Choosing { since, asked } => {
                if self.epoch == Epoch(0) || now.since(asked) < self.settings.retry_interval {
                    return;
                }
                self.phase = Phase::Choosing { since, asked: now };
                // A failed server may have recovered and be the only one that holds its layers.
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

    /// Handles a disconnect of the caller.
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
