//! The runs of one request, against its route's limit of servers.

use crate::pipeline::liveness::Liveness;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// How many runs of one request may be lost with their servers before it is given up.
const MOST_LOST: usize = 2;

/// How long after a run was lost its server must count as ended for the two to have ended together. A question is
/// answered within a tenth of a second or not at all, and half a second of silence is an end.
const SETTLES: Span = Span(1_000);

/// Whether a request may run on one more server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// It may now.
    Allowed,
    /// It may once a server that is suspected counts as ended.
    Pending,
    /// It may not.
    Denied,
}

/// What became of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// It is under way.
    Running,
    /// It was lost, and whether its server ended with it is not known yet.
    Lost(Instant),
    /// Its server ended with it: what it did is lost.
    Ended,
    /// Its server lived on without it.
    Spent,
}

#[derive(Clone, Debug)]
struct Run {
    server: Incarnation,
    outcome: Outcome,
}

/// The servers that a request was sent to and that may have run it, in order.
///
/// A route limits on how many servers a request runs. Those that ended while they ran it do not count, since what
/// they did is lost. One that was left alive counts for good, whatever becomes of it later: judged by a list of
/// servers afterwards, each leaver whose registration goes would free the requests that were taken off it for one
/// server more. The runs are limited as well, for callers whose streams meet one death after the other.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::attempts::Attempts;
/// # use jujube_core::pipeline::attempts::Permission;
/// # use jujube_core::pipeline::liveness::Liveness;
/// # use jujube_core::pipeline::liveness::Evidence;
/// # use jujube_core::time::Instant;
/// let dead = Liveness::Ended(Evidence::Silent);
/// let mut attempts = Attempts::default();
/// attempts.begin("a".into());
/// attempts.left(&"a".into());
/// attempts.begin("b".into());
/// assert_eq!(attempts.outlook(2, |_| Liveness::Suspected), Permission::Pending);
/// assert_eq!(attempts.outlook(2, |_| dead), Permission::Allowed);
///
/// attempts.lost(Instant(0), &"b".into());
/// attempts.settle(Instant(2_000), |_| Liveness::Alive);
/// assert_eq!(attempts.outlook(2, |_| dead), Permission::Denied, "both lived on");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Attempts(Vec<Run>);

impl Attempts {
    /// Books a run that is being sent to a server.
    pub fn begin(&mut self, server: Incarnation) {
        let outcome = Outcome::Running;
        self.0.push(Run { server, outcome });
    }

    /// Takes back the last run: the server says that it has not run the request, or never got it.
    pub fn take_back(&mut self) {
        self.0.pop();
    }

    /// Books that the run on a server broke off, or that its server was found dead.
    pub fn lost(&mut self, now: Instant, server: &Incarnation) {
        self.end(server, Outcome::Lost(now));
    }

    /// Books that the run on a server was given up, or has failed, while the server lived.
    pub fn left(&mut self, server: &Incarnation) {
        self.end(server, Outcome::Spent);
    }

    fn end(&mut self, server: &Incarnation, outcome: Outcome) {
        let is_it = |run: &&mut Run| run.server == *server && run.outcome == Outcome::Running;
        if let Some(run) = self.0.iter_mut().rev().find(is_it) {
            run.outcome = outcome;
        }
    }

    /// Tells whether it is not known yet of some run whether its server ended with it.
    #[must_use]
    pub fn is_unsettled(&self) -> bool {
        let is_lost = |run: &Run| matches!(run.outcome, Outcome::Lost(_));
        self.0.iter().any(is_lost)
    }

    /// Settles which servers ended with their runs, by what is believed of them now.
    pub fn settle(&mut self, now: Instant, liveness: impl Fn(&Incarnation) -> Liveness) {
        for run in &mut self.0 {
            let Outcome::Lost(lost) = run.outcome else {
                continue;
            };
            if now.since(lost) > SETTLES {
                run.outcome = Outcome::Spent;
            } else if matches!(liveness(&run.server), Liveness::Ended(_)) {
                run.outcome = Outcome::Ended;
            }
        }
    }

    /// Returns the servers of the runs.
    pub fn servers(&self) -> impl Iterator<Item = &Incarnation> {
        self.0.iter().map(|run| &run.server)
    }

    /// Returns how many runs there were.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.0.len()
    }

    /// Tells whether the request may run on one more server, on a route that allows `limit` of them.
    pub fn outlook(&self, limit: usize, liveness: impl Fn(&Incarnation) -> Liveness) -> Permission {
        if self.runs() >= limit + MOST_LOST {
            return Permission::Denied;
        }
        let (mut spent, mut doubtful) = (0, 0);
        for run in &self.0 {
            match (run.outcome, liveness(&run.server)) {
                (Outcome::Ended, _) | (Outcome::Running | Outcome::Lost(_), Liveness::Ended(_)) => {
                }
                (Outcome::Spent, _) | (_, Liveness::Alive) => spent += 1,
                (_, Liveness::Suspected) => doubtful += 1,
            }
        }
        if spent + doubtful < limit {
            return Permission::Allowed;
        }
        if spent < limit {
            return Permission::Pending;
        }
        Permission::Denied
    }
}
