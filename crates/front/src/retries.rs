//! The retries of an entry: who may send a request once more, and why not.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use jujube_core::name::Service;
use jujube_core::pipeline::allowance::Allowance;
use jujube_core::pipeline::allowance::Grounds;
use jujube_core::pipeline::allowance::Terms;
use jujube_core::pipeline::seat::Seat;
use jujube_core::pipeline::seat::Standing;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;

/// How long a retry may be in hand before it is sent; after that it is taken anew, since it is counted from
/// when it was taken.
const FRESH: Span = Span(500);

/// How long an entry uses its part of the slack while the store does not renew its announcement. Most outages
/// last for under ten seconds; after a longer one, entries that are gone are counted for as much longer.
const TRUSTED: Span = Span(15_000);

type Allowances = Rc<RefCell<BTreeMap<Service, Allowance>>>;

/// The retries of an entry.
pub struct Retries {
    /// What all entries together may send.
    terms: Cell<Terms>,
    allowances: Allowances,
    /// How long this entry's announcement lasts without renewal: until what it sent last matters no more.
    pub lease: Span,
    /// Whether this entry has a part of the slack.
    pub seat: RefCell<Seat>,
}

/// What decided on a retry.
#[derive(Clone, Copy, Debug)]
pub struct Decision {
    /// What was spent, paid for and left.
    pub grounds: Grounds,
    /// How this entry stands towards the slack.
    pub standing: Standing,
}

impl Retries {
    /// Returns the retries of an entry that has sent none.
    pub fn new(terms: Terms, name: Arc<str>) -> Self {
        let lease = Span(TRUSTED.0 + terms.reach().0);
        Self {
            lease,
            terms: Cell::new(terms),
            allowances: Allowances::default(),
            seat: RefCell::new(Seat::new(name, lease, terms.reach())),
        }
    }

    /// Takes new terms.
    pub fn set_terms(&self, terms: Terms) {
        self.terms.set(terms);
        self.seat.borrow_mut().set_reach(terms.reach());
    }

    /// Books a request to a service.
    pub fn request(&self, service: &Service) {
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances.entry(service.clone()).or_default();
        allowance.request(clock::now(), &self.terms.get());
    }

    /// Returns this entry's part of the slack, and how it came by it.
    pub fn share(&self) -> (f64, Standing) {
        let standing = self.seat.borrow().standing(clock::now());
        let share = match standing {
            Standing::Seated(entries) => self.terms.get().slack / entries as f64,
            Standing::Unseated | Standing::Waiting => 0.0,
        };
        (share, standing)
    }

    /// Takes a retry, if there is one.
    pub fn take(&self, service: &Service) -> (Option<Retry>, Decision) {
        let now = clock::now();
        let terms = self.terms.get();
        let (share, standing) = self.share();
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances.entry(service.clone()).or_default();
        let grounds = allowance.grounds(now, &terms, share);
        let retry = grounds.allow().then(|| {
            allowance.book(now);
            Retry {
                allowances: self.allowances.clone(),
                service: service.clone(),
                taken: now,
                is_sent: false,
            }
        });
        (retry, Decision { grounds, standing })
    }
}

/// The right to send a request once more; given back when it is dropped unsent.
///
/// It is taken when the way of a stream is chosen, before its present run is given up. Were it only looked for
/// then and taken later, all streams of a dead server would see the same last retry, give up their runs for it,
/// and all but one would be cut although some could have been repaired.
pub struct Retry {
    allowances: Allowances,
    service: Service,
    taken: Instant,
    is_sent: bool,
}

impl Retry {
    /// Tells whether it may still be sent.
    pub fn is_fresh(&self) -> bool {
        clock::now().since(self.taken) <= FRESH
    }

    /// Takes that it is being sent, or that it was not sent after all.
    pub fn set_sent(&mut self, is_sent: bool) {
        self.is_sent = is_sent;
    }
}

impl Drop for Retry {
    fn drop(&mut self) {
        if self.is_sent {
            return;
        }
        let mut allowances = self.allowances.borrow_mut();
        if let Some(allowance) = allowances.get_mut(&self.service) {
            allowance.give_back(self.taken);
        }
    }
}
