//! The retry budget of an entry.

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

/// How long a retry may be reserved before it is sent. It counts from the reservation, so an older
/// one must be acquired again.
const MAX_RESERVATION: Span = Span(500);

/// How long an entry uses its pieces of the slack while the store does not renew its lease. Most
/// outages are shorter than ten seconds; a longer time would also keep the pieces of dead entries
/// held for longer.
const TRUST_WITHOUT_RENEWAL: Span = Span(15_000);

/// How often waiting requests are checked for an available retry; incoming requests pay for one
/// every few hundred milliseconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

type Budgets = Rc<RefCell<BTreeMap<Service, Budget>>>;

/// The retries of an entry.
pub struct Retries {
    /// The limits that all entries share.
    policy: Cell<Policy>,
    budgets: Budgets,
    /// The TTL of this entry's lease in the store, long enough for the last retry it sent to leave
    /// the window.
    pub lease: Span,
    /// This entry's pieces of the slack.
    pub reserve: RefCell<Reserve>,
    /// The revision of the announcement under whose lease the pieces are held.
    pub announced: Cell<Revision>,
    /// The retries denied since pieces were last requested.
    denied: RefCell<BTreeMap<Service, u64>>,
    waiting: RefCell<BTreeMap<Service, VecDeque<oneshot::Sender<Retry>>>>,
    /// Notified when requests start to wait for retries, or more retries may be available.
    pub changed: tokio::sync::Notify,
    /// Notified when pieces of the slack are needed.
    pub needed: tokio::sync::Notify,
}

/// The inputs of a decision on a retry, for logging.
#[derive(Clone, Copy, Debug)]
pub struct Decision {
    /// The balance of the retry budget.
    pub balance: Balance,
    /// How many pieces of the slack this entry holds.
    pub pieces: u64,
    /// Whether the pieces may be used.
    pub is_trusted: bool,
}

impl Retries {
    /// Creates the retry budget of an entry that has sent no retries.
    pub fn new(policy: Policy) -> Self {
        let lease = Span(TRUST_WITHOUT_RENEWAL.0 + policy.reach().0);
        Self {
            lease,
            policy: Cell::new(policy),
            budgets: Budgets::default(),
            reserve: RefCell::new(Reserve::new(lease, policy.reach())),
            announced: Cell::default(),
            denied: RefCell::default(),
            waiting: RefCell::default(),
            changed: tokio::sync::Notify::new(),
            needed: tokio::sync::Notify::new(),
        }
    }

    /// Returns the limits that all entries share.
    pub fn policy(&self) -> Policy {
        self.policy.get()
    }

    /// Replaces the limits.
    pub fn set_policy(&self, policy: Policy) {
        self.policy.set(policy);
        self.reserve.borrow_mut().set_reach(policy.reach());
    }

    /// Records a request to a service.
    pub fn record_request(&self, service: &Service) {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.request(clock::now(), &self.policy.get());
    }

    /// Returns how many pieces of the slack this entry holds for all services.
    pub fn pieces(&self) -> u64 {
        let reserve = self.reserve.borrow();
        let services = self.services();
        let held = |service: &Service| reserve.held(&service.into());
        services.iter().map(held).sum()
    }

    /// Returns the services that have received requests and are not forgotten.
    pub fn services(&self) -> Vec<Service> {
        self.budgets.borrow().keys().cloned().collect()
    }

    /// Returns whether nothing that a service did counts any more, and no request waits for a retry.
    pub fn is_unused(&self, service: &Service) -> bool {
        let budgets = self.budgets.borrow();
        let budget = budgets.get(service);
        let policy = self.policy.get();
        budget.is_none_or(|budget| budget.is_unused(clock::now(), &policy))
            && !self.waiting.borrow().contains_key(service)
    }

    /// Forgets a service that is unused.
    pub fn forget(&self, service: &Service) {
        self.budgets.borrow_mut().remove(service);
        self.denied.borrow_mut().remove(service);
    }

    /// Acquires a retry if one is available; otherwise records the need for one.
    pub fn acquire(&self, service: &Service) -> (Option<Retry>, Decision) {
        let (retry, decision) = self.try_acquire(service);
        if retry.is_none() {
            *self.denied.borrow_mut().entry(service.clone()).or_default() += 1;
            self.needed.notify_one();
        }
        (retry, decision)
    }

    fn try_acquire(&self, service: &Service) -> (Option<Retry>, Decision) {
        let now = clock::now();
        let policy = self.policy.get();
        let reserve = self.reserve.borrow();
        let share = reserve.share(now, &service.into(), policy.slack);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        let balance = budget.balance(now, &policy, share);
        let retry = balance.allow().then(|| {
            budget.book(now);
            Retry {
                budgets: self.budgets.clone(),
                service: service.clone(),
                acquired_at: now,
                is_sent: false,
            }
        });
        let decision = Decision {
            balance,
            pieces: reserve.held(&service.into()),
            is_trusted: reserve.is_trusted(now),
        };
        (retry, decision)
    }

    /// Returns how many retries of a service are needed: the larger of those waited for and those
    /// denied since the last call.
    pub fn take_demand(&self, service: &Service) -> u64 {
        let denied = self.denied.borrow_mut().remove(service).unwrap_or(0);
        let waiting = self.waiting.borrow();
        let waiting_count = waiting.get(service).map_or(0, VecDeque::len) as u64;
        denied.max(waiting_count)
    }

    /// Returns whether requests wait for retries.
    pub fn has_waiters(&self) -> bool {
        !self.waiting.borrow().is_empty()
    }

    /// Returns whether requests and `kept` retries of the slack cover all retries in the window.
    pub fn can_return(&self, service: &Service, kept: f64) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        let Some(budget) = budgets.get_mut(service) else {
            return true;
        };
        let policy = self.policy.get();
        let balance = budget.balance(clock::now(), &policy, kept);
        balance.paid + balance.share >= balance.spent as f64
    }

    /// Waits for a retry in order of arrival; dropping the receiver cancels the wait.
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

    /// Hands available retries to waiting requests in order of arrival; returns whether any still
    /// wait.
    fn serve_waiters(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        for (service, queue) in &mut *waiting {
            queue.retain(|waiter| !waiter.is_closed());
            while !queue.is_empty() {
                let (Some(retry), _) = self.try_acquire(service) else {
                    break;
                };
                // If the waiter has given up meanwhile, dropping the retry releases it.
                let _unused = queue.pop_front().map(|waiter| waiter.send(retry));
            }
        }
        waiting.retain(|_, queue| !queue.is_empty());
        !waiting.is_empty()
    }

    /// Hands retries to waiting requests until the process ends.
    pub async fn run(&self) {
        loop {
            let is_waiting = self.serve_waiters();
            if is_waiting {
                tokio::time::sleep(CHECK_INTERVAL).await;
            } else {
                self.changed.notified().await;
            }
        }
    }
}

/// The right to send one retry; released if it is dropped unsent.
///
/// It is acquired before the current run of a stream is abandoned. If streams only checked for an
/// available retry and acquired it later, all streams of a dead server would abandon their runs for
/// the same last retry, and all but one would be cut even where a repair was possible.
pub struct Retry {
    budgets: Budgets,
    service: Service,
    acquired_at: Instant,
    is_sent: bool,
}

impl Retry {
    /// Returns whether it may still be sent.
    pub fn is_valid(&self) -> bool {
        clock::now().since(self.acquired_at) <= MAX_RESERVATION
    }

    /// Records whether it has been sent; a failed send can undo this.
    pub fn set_sent(&mut self, is_sent: bool) {
        self.is_sent = is_sent;
    }
}

impl Drop for Retry {
    fn drop(&mut self) {
        if self.is_sent {
            return;
        }
        let mut budgets = self.budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(&self.service) {
            budget.give_back(self.acquired_at);
        }
    }
}
