//! Weighted fair queueing by customer within priorities, with aging.

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

/// The parameters of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The maximum number of running requests.
    pub slots: u64,
    /// The time without service after which a customer's requests gain one priority level.
    pub age_step: Span,
    /// The assumed duration of a request before any has finished.
    pub initial_duration: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 64,
            age_step: Span(2_000),
            initial_duration: Span(500),
        }
    }
}

/// The terms on which a customer's request is queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The customer.
    pub customer: Customer,
    /// The weight of the customer; 0 counts as 1.
    pub weight: u64,
    /// The maximum number of its running and waiting requests.
    pub limit: u64,
    /// The priority of the service; smaller values go first.
    pub priority: u64,
    /// The maximum time that the request may wait.
    pub max_wait: Span,
}

/// The decision on an arriving request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request starts now.
    Start,
    /// The request waits until [`Queue::pop`] or [`Queue::expire`] returns it.
    Wait,
    /// The request is refused, with the time after which to retry.
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
struct Flow {
    weight: u64,
    running: u64,
    /// The virtual time: service received divided by the weight.
    virtual_time: u64,
    waiting: VecDeque<Waiting>,
    /// When a request of this customer last started.
    served: Instant,
}

/// The virtual time of one request at weight 1.
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
    /// The moving average of the duration of a request.
    mean_micros: u64,
    virtual_now: u64,
    flows: BTreeMap<Customer, Flow>,
}

impl Queue {
    /// Returns an empty queue.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            running: 0,
            waiting: 0,
            mean_micros: settings.initial_duration.0 * 1000,
            virtual_now: 0,
            flows: BTreeMap::new(),
        }
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u64 {
        self.running
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Sets the maximum number of running requests.
    pub fn set_slots(&mut self, slots: u64) {
        self.settings.slots = slots;
    }

    /// Starts, queues or refuses an arriving request.
    pub fn arrive(&mut self, now: Instant, ticket: Ticket, share: &Share) -> Decision {
        let predicted = self.predict_wait(share);
        let free = self.running < self.settings.slots && self.waiting == 0;
        let flow = self.flows.entry(share.customer.clone()).or_default();
        flow.weight = share.weight.max(1);
        if flow.running + flow.waiting.len() as u64 >= share.limit {
            return overloaded(
                "the customer's limit is reached",
                Span(self.mean_micros / 1000),
            );
        }
        if free {
            self.start(now, &share.customer);
            return Decision::Start;
        }
        if predicted > share.max_wait {
            let excess = Span(predicted.0 - share.max_wait.0);
            return overloaded("the wait would outlast what the service allows", excess);
        }
        // An idle customer accumulates no credit.
        flow.virtual_time = flow.virtual_time.max(self.virtual_now);
        flow.waiting.push_back(Waiting {
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
    /// The prediction uses the customer's own queue and its weighted share of the slots, so that a
    /// flood by one customer does not cause the requests of others to be refused.
    fn predict_wait(&self, share: &Share) -> Span {
        let own = self.flows.get(&share.customer);
        let ahead = own.map_or(0, |flow| flow.waiting.len() as u64) + 1;
        let others = self
            .flows
            .iter()
            .filter(|(customer, flow)| **customer != share.customer && flow.is_active());
        let weight = share.weight.max(1);
        let total: u64 = others.map(|(_, flow)| flow.weight).sum::<u64>() + weight;
        let micros = ahead * self.mean_micros * total / (weight * self.settings.slots.max(1));
        Span(micros / 1000)
    }

    fn start(&mut self, now: Instant, customer: &Customer) {
        self.running += 1;
        let Some(flow) = self.flows.get_mut(customer) else {
            return;
        };
        flow.running += 1;
        flow.served = now;
        flow.virtual_time = flow.virtual_time.max(self.virtual_now);
        self.virtual_now = flow.virtual_time;
        flow.virtual_time += VIRTUAL_UNIT / flow.weight;
    }

    /// Records the end of a running request, with its duration if it succeeded.
    pub fn finish(&mut self, customer: &Customer, duration: Option<Span>) {
        const SMOOTHING: u64 = 8;
        self.running = self.running.saturating_sub(1);
        if let Some(duration) = duration {
            self.mean_micros = (self.mean_micros * (SMOOTHING - 1) + duration.0 * 1000) / SMOOTHING;
        }
        if let Some(flow) = self.flows.get_mut(customer) {
            flow.running = flow.running.saturating_sub(1);
        }
        self.remove_idle(customer);
    }

    /// Returns the next request to start, if a slot is free.
    pub fn pop(&mut self, now: Instant) -> Option<Ticket> {
        if self.running >= self.settings.slots {
            return None;
        }
        let ready = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.waiting.is_empty());
        let ranked = ready.map(|(customer, flow)| (self.rank(now, flow), customer));
        let customer = ranked.min()?.1.clone();
        let first = self.flows.get_mut(&customer)?.waiting.pop_front()?;
        self.waiting -= 1;
        self.start(now, &customer);
        Some(first.ticket)
    }

    /// Returns the sort key of a flow: the priority reduced by aging, then the virtual time. Smaller
    /// keys go first.
    ///
    /// Aging counts from the last start of a request of the customer, not only from the arrival.
    /// Otherwise a flood would age in its own queue and outrank customers that send few requests.
    fn rank(&self, now: Instant, flow: &Flow) -> (u64, u64) {
        let first = flow.waiting.front();
        let priority = first.map_or(u64::MAX, |waiting| {
            let unserved = now.since(waiting.since.max(flow.served));
            let steps = unserved.0 / self.settings.age_step.0.max(1);
            waiting.priority.saturating_sub(steps)
        });
        (priority, flow.virtual_time)
    }

    /// Removes the requests that have reached their deadline and returns them with their refusals.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Arc<Refusal>)> {
        let mean = Span(self.mean_micros / 1000);
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            flow.waiting.retain(|waiting| {
                let keep = now < waiting.deadline;
                if !keep {
                    expired.push((waiting.ticket, refusal("the wait became too long", mean)));
                }
                keep
            });
        }
        self.waiting -= expired.len() as u64;
        expired
    }

    /// Removes a waiting request whose caller has disconnected. Returns `false` when it is not
    /// waiting.
    pub fn cancel(&mut self, customer: &Customer, ticket: Ticket) -> bool {
        let Some(flow) = self.flows.get_mut(customer) else {
            return false;
        };
        let before = flow.waiting.len();
        flow.waiting.retain(|waiting| waiting.ticket != ticket);
        let found = flow.waiting.len() < before;
        self.waiting -= u64::from(found);
        self.remove_idle(customer);
        found
    }

    /// Removes an idle flow whose virtual time has been reached, so that the number of flows does not
    /// grow with every customer ever seen.
    fn remove_idle(&mut self, customer: &Customer) {
        let idle = |flow: &Flow| !flow.is_active() && flow.virtual_time <= self.virtual_now;
        if self.flows.get(customer).is_some_and(idle) {
            self.flows.remove(customer);
        }
    }
}

impl Flow {
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
