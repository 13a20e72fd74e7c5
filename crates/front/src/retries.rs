//! The retries of an entry: who may send a request once more, and why not.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::name::Service;
use jujube_core::pipeline::budget::Balance;
use jujube_core::pipeline::budget::Budget;
use jujube_core::pipeline::budget::Policy;
use jujube_core::pipeline::reserve::Reserve;
use jujube_core::revision::Revision;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use tokio::sync::oneshot;

/// How long a retry may be in hand before it is sent; after that it is taken anew, since it is counted from
/// when it was taken.
const FRESH: Span = Span(500);

/// How long an entry uses its pieces of the slack while the store does not renew its lease. Most outages
/// last for under ten seconds; after a longer one, pieces of entries that are gone are held for as much longer.
const TRUSTED: Span = Span(15_000);

/// How often requests that wait for a retry are looked through while there are any: requests that come pay for
/// one every few hundred milliseconds.
const LOOK: Duration = Duration::from_millis(50);

type Allowances = Rc<RefCell<BTreeMap<Service, Budget>>>;

/// The retries of an entry.
pub struct Retries {
    /// What all entries together may send.
    terms: Cell<Policy>,
    allowances: Allowances,
    /// How long this entry's lease lasts without renewal: until what it sent last matters no more.
    pub lease: Span,
    /// This entry's pieces of the slack.
    pub reserve: RefCell<Reserve>,
    /// When the announcement was written under whose lease they are held.
    pub announced: Cell<Revision>,
    /// How many retries were denied since pieces were last asked for.
    denied: RefCell<BTreeMap<Service, u64>>,
    waiting: RefCell<BTreeMap<Service, VecDeque<oneshot::Sender<Retry>>>>,
    /// Told when requests wait for retries, or more may be had.
    pub changed: tokio::sync::Notify,
    /// Told when pieces of the slack are needed.
    pub needed: tokio::sync::Notify,
}

/// What decided on a retry.
#[derive(Clone, Copy, Debug)]
pub struct Decision {
    /// What was spent, paid for and left.
    pub grounds: Balance,
    /// How many pieces of the slack this entry holds.
    pub pieces: u64,
    /// Whether it may use them.
    pub is_trusted: bool,
}

impl Retries {
    /// Returns the retries of an entry that has sent none.
    pub fn new(terms: Policy) -> Self {
        let lease = Span(TRUSTED.0 + terms.reach().0);
        Self {
            lease,
            terms: Cell::new(terms),
            allowances: Allowances::default(),
            reserve: RefCell::new(Reserve::new(lease, terms.reach())),
            announced: Cell::default(),
            denied: RefCell::default(),
            waiting: RefCell::default(),
            changed: tokio::sync::Notify::new(),
            needed: tokio::sync::Notify::new(),
        }
    }

    /// Returns what all entries together may send.
    pub fn terms(&self) -> Policy {
        self.terms.get()
    }

    /// Takes new terms.
    pub fn set_terms(&self, terms: Policy) {
        self.terms.set(terms);
        self.reserve.borrow_mut().set_reach(terms.reach());
    }

    /// Books a request to a service.
    pub fn request(&self, service: &Service) {
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances.entry(service.clone()).or_default();
        allowance.request(clock::now(), &self.terms.get());
    }

    /// Returns how many pieces of the slack this entry holds, over all services.
    pub fn pieces(&self) -> u64 {
        let reserve = self.reserve.borrow();
        let services = self.services();
        services.iter().map(|service| reserve.held(service)).sum()
    }

    /// Returns the services that got requests.
    pub fn services(&self) -> Vec<Service> {
        self.allowances.borrow().keys().cloned().collect()
    }

    /// Takes a retry, if there is one; else one is needed.
    pub fn take(&self, service: &Service) -> (Option<Retry>, Decision) {
        let (retry, decision) = self.try_take(service);
        if retry.is_none() {
            *self.denied.borrow_mut().entry(service.clone()).or_default() += 1;
            self.needed.notify_one();
        }
        (retry, decision)
    }

    fn try_take(&self, service: &Service) -> (Option<Retry>, Decision) {
        let now = clock::now();
        let terms = self.terms.get();
        let reserve = self.reserve.borrow();
        let share = reserve.share(now, service, terms.slack);
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances.entry(service.clone()).or_default();
        let grounds = allowance.balance(now, &terms, share);
        let retry = grounds.allow().then(|| {
            allowance.book(now);
            Retry {
                allowances: self.allowances.clone(),
                service: service.clone(),
                taken: now,
                is_sent: false,
            }
        });
        let decision = Decision {
            grounds,
            pieces: reserve.held(service),
            is_trusted: reserve.is_trusted(now),
        };
        (retry, decision)
    }

    /// Returns how many retries of a service are needed: those waited for, or denied since this was last asked.
    pub fn take_needed(&self, service: &Service) -> u64 {
        let denied = self.denied.borrow_mut().remove(service).unwrap_or(0);
        let waiting = self.waiting.borrow();
        let awaited = waiting.get(service).map_or(0, VecDeque::len) as u64;
        denied.max(awaited)
    }

    /// Tells whether requests wait for retries.
    pub fn is_awaited(&self) -> bool {
        !self.waiting.borrow().is_empty()
    }

    /// Tells whether requests paid for all retries that still matter, but for a part of the slack.
    pub fn can_spare(&self, service: &Service, kept: f64) -> bool {
        let mut allowances = self.allowances.borrow_mut();
        let Some(allowance) = allowances.get_mut(service) else {
            return true;
        };
        let terms = self.terms.get();
        let grounds = allowance.balance(clock::now(), &terms, kept);
        grounds.paid + grounds.share >= grounds.spent as f64
    }

    /// Waits for a retry, in the order of arrival; whoever gives up drops the receiver.
    pub fn wait(&self, service: &Service) -> oneshot::Receiver<Retry> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting
            .entry(service.clone())
            .or_default()
            .push_back(sender);
        self.changed.notify_one();
        receiver
    }

    /// Gives retries to those who wait for them, first come first served; tells whether any still wait.
    fn serve(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        for (service, line) in &mut *waiting {
            line.retain(|waiter| !waiter.is_closed());
            while !line.is_empty() {
                let (Some(retry), _) = self.try_take(service) else {
                    break;
                };
                // Whoever gave up meanwhile gives the retry back by dropping it.
                let _unused = line.pop_front().map(|waiter| waiter.send(retry));
            }
        }
        waiting.retain(|_, line| !line.is_empty());
        !waiting.is_empty()
    }

    /// Gives retries to those who wait for them until the process ends.
    pub async fn run(&self) {
        loop {
            let is_awaited = self.serve();
            if is_awaited {
                tokio::time::sleep(LOOK).await;
            } else {
                self.changed.notified().await;
            }
        }
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
