//! Admission queues for requests that wait for capacity on a path.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::admission::Decision;
use jujube_core::admission::Queue;
use jujube_core::admission::Settings;
use jujube_core::admission::Share;
use jujube_core::admission::Ticket;
use jujube_core::name::Customer;
use jujube_core::name::Service;
use jujube_core::pipeline::chooser::Demand;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use tokio::sync::oneshot;

use crate::gate::Opening;
use crate::loans;
use crate::state::State;
use crate::stream;

/// Share of the first-event target that a request may spend in the queue; prefill takes most of the
/// rest.
const MAX_WAIT_SHARE: f64 = 0.6;
/// How often the queues are checked; the end of any stream may free capacity.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Assumed duration of a request until one has completed.
const INITIAL_DURATION: Span = Span(1_500);
/// Maximum requests of one customer at one entry; far above what engines can serve.
const MAX_REQUESTS_PER_CUSTOMER: u64 = 10_000;

struct Waiter {
    demand: Demand,
    admitted: oneshot::Sender<()>,
}

struct ServiceQueue {
    queue: Queue,
    waiters: BTreeMap<Ticket, Waiter>,
    /// The request at the head, which is waiting for capacity. Requests behind it wait too, even if
    /// smaller; otherwise a large request would starve under load.
    head: Option<Ticket>,
}

impl Default for ServiceQueue {
    fn default() -> Self {
        let settings = Settings {
            slots: 0,
            initial_duration: INITIAL_DURATION,
            ..Settings::default()
        };
        Self {
            queue: Queue::new(settings),
            waiters: BTreeMap::new(),
            head: None,
        }
    }
}

/// The admission queues of all models at this entry.
#[derive(Default)]
pub struct Waiting {
    queues: RefCell<BTreeMap<Service, ServiceQueue>>,
    next: Cell<u64>,
}

impl Waiting {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        let queues = self.queues.borrow();
        queues
            .values()
            .map(|service_queue| service_queue.waiters.len())
            .sum()
    }
}

/// An admitted request; frees its slot when dropped.
pub struct Permit<D> {
    state: Rc<State<D>>,
    service: Service,
    customer: Customer,
    started: Instant,
}

impl<D> Drop for Permit<D> {
    fn drop(&mut self) {
        let duration = clock::now().since(self.started);
        let mut queues = self.state.waiting.queues.borrow_mut();
        if let Some(service_queue) = queues.get_mut(&self.service) {
            service_queue.queue.finish(&self.customer, Some(duration));
        }
    }
}

/// A request for admission.
pub struct Request<'a> {
    /// The request's identifier.
    pub id: &'a str,
    /// The model's service.
    pub service: &'a Service,
    /// The customer.
    pub customer: &'a Customer,
    /// The priority; 0 is the highest.
    pub priority: u64,
    /// The tokens that it needs.
    pub demand: Demand,
    /// The target for the time to the first event.
    pub target: Span,
}

/// A request that is not admitted.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// When to retry.
    pub retry_after: Span,
    /// The cause for logs.
    pub cause: &'static str,
}

impl Rejection {
    fn no_room(retry_after: Span) -> Self {
        Self {
            retry_after,
            cause: "no-room",
        }
    }
}

impl From<Opening> for Rejection {
    fn from(opening: Opening) -> Self {
        Self {
            retry_after: opening.after,
            cause: opening.cause,
        }
    }
}

/// Waits until there is capacity for a request.
///
/// # Errors
///
/// The request waited too long, or it is certain that it would.
pub async fn admit<D>(state: &Rc<State<D>>, request: Request<'_>) -> Result<Permit<D>, Rejection> {
    let arrived = clock::now();
    let ticket = Ticket(state.waiting.next.get());
    state.waiting.next.set(ticket.0 + 1);
    let share = Share {
        customer: request.customer.clone(),
        weight: 1,
        limit: MAX_REQUESTS_PER_CUSTOMER,
        priority: request.priority,
        max_wait: Span((request.target.0 as f64 * MAX_WAIT_SHARE) as u64),
    };
    record_demand(state, request.service);
    let room = room(state, request.service, request.demand);
    match room {
        // Waiting does not help if no path opens in time.
        Room::Opens(opening) if opening.after > share.max_wait => return Err(opening.into()),
        Room::Free | Room::Taken | Room::Opens(_) => {}
    }
    let has_capacity = room == Room::Free;
    let waiting = enqueue(state, &request, &share, ticket, has_capacity);
    let waiting = waiting.map_err(Rejection::no_room)?;
    let Some(admitted) = waiting else {
        return Ok(permit(state, &request));
    };
    let max_wait = Duration::from_millis(share.max_wait.0);
    let cancel = Cancel {
        state,
        service: request.service,
        customer: request.customer,
        ticket,
    };
    let outcome = tokio::time::timeout(max_wait, admitted).await;
    if matches!(outcome, Ok(Ok(()))) {
        std::mem::forget(cancel);
        let waited = clock::now().since(arrived);
        state.metrics.observe("queue", waited);
        event!(Info, "admitted", request = request.id, waited_ms = waited);
        return Ok(permit(state, &request));
    }
    let opening = Opening::of_model(state, request.service);
    let retry_after = retry_after(state, request.service);
    Err(Rejection::no_room(Opening::not_before(
        opening,
        retry_after,
    )))
}

/// Records a request for the demand at the servers that a path of its model can begin with.
fn record_demand<D>(state: &State<D>, service: &Service) {
    if let Some(fleet) = state.fleets.borrow().get(service) {
        loans::record_demand(state, fleet.first_servers());
    }
}

fn permit<D>(state: &Rc<State<D>>, request: &Request<'_>) -> Permit<D> {
    Permit {
        state: state.clone(),
        service: request.service.clone(),
        customer: request.customer.clone(),
        started: clock::now(),
    }
}

fn enqueue<D>(
    state: &State<D>,
    request: &Request<'_>,
    share: &Share,
    ticket: Ticket,
    has_capacity: bool,
) -> Result<Option<oneshot::Receiver<()>>, Span> {
    let mut queues = state.waiting.queues.borrow_mut();
    let service_queue = queues.entry(request.service.clone()).or_default();
    let running = service_queue.queue.running();
    service_queue
        .queue
        .set_slots(running + u64::from(has_capacity));
    match service_queue.queue.arrive(clock::now(), ticket, share) {
        Decision::Start => Ok(None),
        Decision::Refuse(refusal) => Err(refusal.retry_after.unwrap_or(INITIAL_DURATION)),
        Decision::Wait => {
            let (admitted, receiver) = oneshot::channel();
            let waiter = Waiter {
                demand: request.demand,
                admitted,
            };
            service_queue.waiters.insert(ticket, waiter);
            state.metrics.count("requests_queued");
            event!(
                Info,
                "queued",
                request = request.id,
                waiting = service_queue.waiters.len(),
                running
            );
            Ok(Some(receiver))
        }
    }
}

/// Removes a request from the queue if its client disconnects or its wait times out.
struct Cancel<'a, D> {
    state: &'a Rc<State<D>>,
    service: &'a Service,
    customer: &'a Customer,
    ticket: Ticket,
}

impl<D> Drop for Cancel<'_, D> {
    fn drop(&mut self) {
        let mut queues = self.state.waiting.queues.borrow_mut();
        let Some(service_queue) = queues.get_mut(self.service) else {
            return;
        };
        service_queue.waiters.remove(&self.ticket);
        if service_queue.head == Some(self.ticket) {
            service_queue.head = None;
            service_queue.queue.finish(self.customer, None);
        } else if !service_queue.queue.cancel(self.customer, self.ticket) {
            // The request was admitted just as its client disconnected.
            service_queue.queue.finish(self.customer, None);
        }
    }
}

/// Returns when a rejected request should retry; randomized, so that requests rejected together do
/// not retry together.
fn retry_after<D>(state: &State<D>, service: &Service) -> Span {
    let queues = state.waiting.queues.borrow();
    let waiting = queues
        .get(service)
        .map_or(0, |service_queue| service_queue.waiters.len() as u64);
    let spread = rand::random_range(0..INITIAL_DURATION.0);
    Span(INITIAL_DURATION.0 / 2 + spread + waiting * 10)
}

/// Whether there is room for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Room {
    Free,
    Taken,
    /// Servers without which there is no path say when they may get a request.
    Opens(Opening),
}

fn room<D>(state: &State<D>, service: &Service, demand: Demand) -> Room {
    let choice = stream::choose_with(state, service, &[], 1.0, |fleet, context| {
        fleet.choose(demand, context)
    });
    let Some(choice) = choice.flatten() else {
        // Without any path, waiting does not help; the request fails immediately.
        return Room::Free;
    };
    if !choice.lacks_capacity() || choice.is_last_resort() {
        return Room::Free;
    }
    let first = Opening::of_model(state, service).filter(|_| choice.is_closed());
    let later = Opening::of_later_parts(state, &choice.path);
    first.max(later).map_or(Room::Taken, Room::Opens)
}

/// Admits waiting requests as capacity becomes available. Never returns.
pub async fn run<D>(state: Rc<State<D>>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let services: Vec<Service> = {
            let queues = state.waiting.queues.borrow();
            let busy = queues
                .iter()
                .filter(|(_, service_queue)| !service_queue.waiters.is_empty());
            busy.map(|(service, _)| service.clone()).collect()
        };
        for service in services {
            while admit_next(&state, &service) {}
        }
    }
}

/// Admits the next request of a service; returns `false` if there is none or no capacity for it.
fn admit_next<D>(state: &State<D>, service: &Service) -> bool {
    let Some((ticket, demand)) = next_waiting(state, service) else {
        return false;
    };
    if room(state, service, demand) != Room::Free {
        return false;
    }
    let mut queues = state.waiting.queues.borrow_mut();
    let Some(service_queue) = queues.get_mut(service) else {
        return false;
    };
    service_queue.head = None;
    let waiter = service_queue.waiters.remove(&ticket);
    // If the client has disconnected, `Cancel` frees the slot.
    waiter.is_some_and(|waiter| waiter.admitted.send(()).is_ok())
}

fn next_waiting<D>(state: &State<D>, service: &Service) -> Option<(Ticket, Demand)> {
    let mut queues = state.waiting.queues.borrow_mut();
    let service_queue = queues.get_mut(service)?;
    if service_queue.head.is_none() {
        let running = service_queue.queue.running();
        service_queue.queue.set_slots(running + 1);
        service_queue.head = service_queue.queue.pop(clock::now());
    }
    let ticket = service_queue.head?;
    let demand = service_queue.waiters.get(&ticket)?.demand;
    Some((ticket, demand))
}
