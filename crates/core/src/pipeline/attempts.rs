//! Counts the runs of a request against its route's limit of servers.

use crate::pipeline::liveness::Evidence;
use crate::pipeline::liveness::Liveness;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// The maximum number of runs of a request that may be lost with their servers.
const MAX_LOST_RUNS: usize = 2;

/// How long after the loss of a run its server may be found ended for both to count as one failure.
/// Half a second of refused connections counts as an end, and a health check takes at most 0.1 s. A
/// server that is silent from then on may be found ended later, when its registration is removed.
const SETTLE_WINDOW: Span = Span(1_000);

/// Whether a request may run on one more server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// It may run now.
    Allowed,
    /// It may run once a suspected server counts as ended.
    Pending,
    /// It may not run.
    Denied,
}

/// The outcome of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Running,
    /// It was lost; whether its server has ended is not known yet.
    Lost {
        at: Instant,
        /// Whether its server has been silent since then, as far as is known.
        is_silent: bool,
    },
    /// Its server ended with it, and its work is lost.
    Ended,
    /// It counts: its server outlived it, or ended before its first event.
    Spent,
}

#[derive(Clone, Debug)]
struct Run {
    server: Incarnation,
    outcome: Outcome,
}

/// The servers that may have run a request, in order.
///
/// A route limits the number of servers on which a request runs. Servers that ended while running
/// it do not count, since their work is lost. A server that was alive when the request left it
/// always counts, even if its registration is removed later; otherwise each planned exit would
/// permit one more server. A server that ended before the first event of the run counts as well: a
/// request that crashes servers would otherwise get one more for each that it ends. The total
/// number of runs is limited as well, for streams that lose one server after another.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::attempts::Attempts;
/// # use jujube_core::pipeline::attempts::Permission;
/// # use jujube_core::pipeline::liveness::Liveness;
/// # use jujube_core::pipeline::liveness::Evidence;
/// # use jujube_core::time::Instant;
/// let dead = Liveness::Ended(Evidence::Refuses);
/// let mut attempts = Attempts::default();
/// attempts.begin("a".into());
/// attempts.left(&"a".into());
/// attempts.begin("b".into());
/// assert_eq!(attempts.permission(2, |_| Liveness::Suspected), Permission::Pending);
/// assert_eq!(attempts.permission(2, |_| dead), Permission::Allowed);
///
/// attempts.lost(Instant(0), &"b".into());
/// attempts.settle(Instant(2_000), |_| Liveness::Alive);
/// let permission = attempts.permission(2, |_| dead);
/// assert_eq!(permission, Permission::Denied, "both servers outlived their runs");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Attempts(Vec<Run>);

impl Attempts {
    /// Records a run that is being sent to a server.
    pub fn begin(&mut self, server: Incarnation) {
        let outcome = Outcome::Running;
        self.0.push(Run { server, outcome });
    }

    /// Removes the last run: the server reports that it has not run the request, or never received
    /// it.
    pub fn take_back(&mut self) {
        self.0.pop();
    }

    /// Records that the run on a server broke off, or that its server was found dead.
    pub fn lost(&mut self, now: Instant, server: &Incarnation) {
        let (at, is_silent) = (now, false);
        self.end(server, Outcome::Lost { at, is_silent });
    }

    /// Records a run that counts whatever becomes of its server: it failed or was cancelled on a live
    /// one, or was lost before its first event.
    pub fn left(&mut self, server: &Incarnation) {
        self.end(server, Outcome::Spent);
    }

    fn end(&mut self, server: &Incarnation, outcome: Outcome) {
        let is_running_there =
            |run: &&mut Run| run.server == *server && run.outcome == Outcome::Running;
        if let Some(run) = self.0.iter_mut().rev().find(is_running_there) {
            run.outcome = outcome;
        }
    }

    /// Returns whether there is a lost run whose server may have ended with it.
    #[must_use]
    pub fn is_unsettled(&self) -> bool {
        let is_lost = |run: &Run| matches!(run.outcome, Outcome::Lost { .. });
        self.0.iter().any(is_lost)
    }

    /// Decides which servers ended with their lost runs.
    pub fn settle(&mut self, now: Instant, liveness: impl Fn(&Incarnation) -> Liveness) {
        for run in &mut self.0 {
            let Outcome::Lost { at, is_silent } = run.outcome else {
                continue;
            };
            let is_in_window = now.since(at) <= SETTLE_WINDOW;
            run.outcome = match liveness(&run.server) {
                Liveness::Ended(Evidence::Lapsed) if is_silent => Outcome::Ended,
                Liveness::Ended(_) if is_in_window => Outcome::Ended,
                Liveness::Silent(since) if since <= at.plus(SETTLE_WINDOW) => Outcome::Lost {
                    at,
                    is_silent: true,
                },
                _ if is_in_window => Outcome::Lost {
                    at,
                    is_silent: false,
                },
                _ => Outcome::Spent,
            };
        }
    }

    /// Returns the servers of the runs.
    pub fn servers(&self) -> impl Iterator<Item = &Incarnation> {
        self.0.iter().map(|run| &run.server)
    }

    /// Returns the number of runs.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the request may run on one more server, on a route that allows `limit` of
    /// them.
    pub fn permission(
        &self,
        limit: usize,
        liveness: impl Fn(&Incarnation) -> Liveness,
    ) -> Permission {
        if self.runs() >= limit + MAX_LOST_RUNS {
            return Permission::Denied;
        }
        let (mut spent, mut suspected) = (0, 0);
        for run in &self.0 {
            match (run.outcome, liveness(&run.server)) {
                (Outcome::Ended, _)
                | (Outcome::Running | Outcome::Lost { .. }, Liveness::Ended(_)) => {}
                (Outcome::Spent, _) | (_, Liveness::Alive) => spent += 1,
                (_, Liveness::Suspected | Liveness::Silent(_)) => suspected += 1,
            }
        }
        if spent + suspected < limit {
            return Permission::Allowed;
        }
        if spent < limit {
            return Permission::Pending;
        }
        Permission::Denied
    }
}
