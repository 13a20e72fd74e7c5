//! Weighted fair queues by customer inside priorities that age.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::name::Customer;
use crate::number::numbers;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::time::Instant;
use crate::time::Span;

numbers! {
    /// The number of a request in a queue.
    Ticket;
}

/// How a queue is run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// How many requests run at a time.
    pub slots: u64,
    /// Waiting this long lifts a request by one priority.
    pub age_step: Span,
    /// What one request is taken to last before any has ended.
    pub first_guess: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 64,
            age_step: Span(2_000),
            first_guess: Span(500),
        }
    }
}

/// A customer's claim on a queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// Who.
    pub customer: Customer,
    /// Its weight; 0 counts as 1.
    pub weight: u64,
    /// The most that it may have running and waiting.
    pub limit: u64,
    /// The priority of the service: smaller goes first.
    pub priority: u64,
    /// The longest that the request may wait.
    pub max_wait: Span,
}

/// What became of an arrival.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It starts now.
    Start,
    /// It waits; `pop` will name it, or `expire` will.
    Wait,
    /// It is refused now, with when to come back.
    Refuse(Arc<Refusal>),
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    since: Instant,
    deadline: Instant,
    priority: u64,
}

#[derive(Clone, Debug, Default)]
struct Line {
    weight: u64,
    running: u64,
    /// The customer's virtual time: service received over weight.
    virtual_time: u64,
    waiting: VecDeque<Waiting>,
    /// When a request of this customer last started.
    served: Instant,
}

/// Weight one pays this much virtual time for a request.
const VIRTUAL_UNIT: u64 = 1 << 20;

/// The queue of one service at one entry.
///
/// # Examples
///
/// ```
/// # use jujube_core::admission::Decision;
/// # use jujube_core::admission::Queue;
/// # use jujube_core::admission::Settings;
/// # use jujube_core::admission::Share;
/// # use jujube_core::admission::Ticket;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let mut queue = Queue::new(Settings { slots: 1, ..Settings::default() });
/// let share = Share {
///     customer: "a".into(),
///     weight: 1,
///     limit: 9,
///     priority: 1,
///     max_wait: Span(9_000),
/// };
/// assert_eq!(queue.arrive(Instant(0), Ticket(1), &share), Decision::Start);
/// assert_eq!(queue.arrive(Instant(0), Ticket(2), &share), Decision::Wait);
/// queue.finish(&share.customer, Some(Span(10)));
/// assert_eq!(queue.pop(Instant(10)), Some(Ticket(2)));
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    settings: Settings,
    running: u64,
    waiting: u64,
    /// What one request lasts, smoothed, in microseconds.
    lasts: u64,
    virtual_now: u64,
    lines: BTreeMap<Customer, Line>,
}

impl Queue {
    /// Returns an empty queue.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            running: 0,
            waiting: 0,
            lasts: settings.first_guess.0 * 1000,
            virtual_now: 0,
            lines: BTreeMap::new(),
        }
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.running
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Sets how many requests run at a time.
    pub fn set_slots(&mut self, slots: u64) {
        self.settings.slots = slots;
    }

    /// Takes an arrival.
    pub fn arrive(&mut self, now: Instant, ticket: Ticket, share: &Share) -> Decision {
        let predicted = self.predict(share);
        let free = self.running < self.settings.slots && self.waiting == 0;
        let line = self.lines.entry(share.customer.clone()).or_default();
        line.weight = share.weight.max(1);
        if line.running + line.waiting.len() as u64 >= share.limit {
            return overloaded("the customer's limit is reached", Span(self.lasts / 1000));
        }
        if free {
            self.start(now, &share.customer);
            return Decision::Start;
        }
        if predicted > share.max_wait {
            let excess = Span(predicted.0 - share.max_wait.0);
            return overloaded("the wait would outlast what the service allows", excess);
        }
        // A customer that was idle does not save up its share.
        line.virtual_time = line.virtual_time.max(self.virtual_now);
        line.waiting.push_back(Waiting {
            ticket,
            since: now,
            deadline: now.plus(share.max_wait),
            priority: share.priority,
        });
        self.waiting += 1;
        Decision::Wait
    }

    /// Predicts the wait of a customer's next request.
    ///
    /// Its own line moves at its share of all slots, whatever the others send: a flood by one
    /// customer must not make the others' requests look hopeless.
    fn predict(&self, share: &Share) -> Span {
        let own = self.lines.get(&share.customer);
        let ahead = own.map_or(0, |line| line.waiting.len() as u64) + 1;
        let others = self
            .lines
            .iter()
            .filter(|(c, l)| **c != share.customer && l.is_active());
        let weight = share.weight.max(1);
        let total: u64 = others.map(|(_, line)| line.weight).sum::<u64>() + weight;
        let micros = ahead * self.lasts * total / (weight * self.settings.slots.max(1));
        Span(micros / 1000)
    }

    fn start(&mut self, now: Instant, customer: &Customer) {
        self.running += 1;
        let Some(line) = self.lines.get_mut(customer) else {
            return;
        };
        line.running += 1;
        line.served = now;
        line.virtual_time = line.virtual_time.max(self.virtual_now);
        self.virtual_now = line.virtual_time;
        line.virtual_time += VIRTUAL_UNIT / line.weight;
    }

    /// Books the end of a running request; how long it lasted, if it ended well.
    pub fn finish(&mut self, customer: &Customer, lasted: Option<Span>) {
        const SMOOTHING: u64 = 8;
        self.running = self.running.saturating_sub(1);
        if let Some(lasted) = lasted {
            self.lasts = (self.lasts * (SMOOTHING - 1) + lasted.0 * 1000) / SMOOTHING;
        }
        if let Some(line) = self.lines.get_mut(customer) {
            line.running = line.running.saturating_sub(1);
        }
        self.forget(customer);
    }

    /// Returns the next request to start, if a slot is free.
    pub fn pop(&mut self, now: Instant) -> Option<Ticket> {
        if self.running >= self.settings.slots {
            return None;
        }
        let ready = self
            .lines
            .iter()
            .filter(|(_, line)| !line.waiting.is_empty());
        let ranked = ready.map(|(customer, line)| (self.rank(now, line), customer));
        let customer = ranked.min()?.1.clone();
        let first = self.lines.get_mut(&customer)?.waiting.pop_front()?;
        self.waiting -= 1;
        self.start(now, &customer);
        Some(first.ticket)
    }

    /// Ranks a line: priority less age, then virtual time. Smaller goes first.
    ///
    /// Age counts from when the customer was last served. Were it to count from the arrival, a flood
    /// would age while it waits for itself, and outrank customers who send a request now and then.
    fn rank(&self, now: Instant, line: &Line) -> (u64, u64) {
        let first = line.waiting.front();
        let lifted = first.map_or(u64::MAX, |waiting| {
            let unserved = now.since(waiting.since.max(line.served));
            let steps = unserved.0 / self.settings.age_step.0.max(1);
            waiting.priority.saturating_sub(steps)
        });
        (lifted, line.virtual_time)
    }

    /// Takes out the requests whose wait has become too long; they are refused at once.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Arc<Refusal>)> {
        let lasts = Span(self.lasts / 1000);
        let mut expired = Vec::new();
        for line in self.lines.values_mut() {
            line.waiting.retain(|waiting| {
                let keep = now < waiting.deadline;
                if !keep {
                    expired.push((waiting.ticket, refusal("the wait became too long", lasts)));
                }
                keep
            });
        }
        self.waiting -= expired.len() as u64;
        expired
    }

    /// Takes out a waiting request whose caller is gone; `false` when it does not wait.
    pub fn cancel(&mut self, customer: &Customer, ticket: Ticket) -> bool {
        let Some(line) = self.lines.get_mut(customer) else {
            return false;
        };
        let before = line.waiting.len();
        line.waiting.retain(|waiting| waiting.ticket != ticket);
        let found = line.waiting.len() < before;
        self.waiting -= u64::from(found);
        self.forget(customer);
        found
    }

    /// Forgets a line that is idle and owes nothing: the lines must not grow with every customer
    /// ever seen.
    fn forget(&mut self, customer: &Customer) {
        let idle = |line: &Line| !line.is_active() && line.virtual_time <= self.virtual_now;
        if self.lines.get(customer).is_some_and(idle) {
            self.lines.remove(customer);
        }
    }
}

impl Line {
    fn is_active(&self) -> bool {
        self.running > 0 || !self.waiting.is_empty()
    }
}

fn overloaded(detail: &str, wait: Span) -> Decision {
    Decision::Refuse(refusal(detail, wait))
}

fn refusal(detail: &str, wait: Span) -> Arc<Refusal> {
    Arc::new(Refusal::not_run(Reason::Overloaded, detail).retry_after(wait))
}
