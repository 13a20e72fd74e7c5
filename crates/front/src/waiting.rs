//! Requests that wait until a path has room for them.

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
use jujube_core::time::Span;
use jujube_program::clock;
use tokio::sync::oneshot;

use crate::state::State;
use crate::stream;

/// The share of the time to the first event that a request may wait for room; reading its prompt
/// takes most of the rest.
const WAIT_SHARE: f64 = 0.6;
/// How often waiting requests are looked through; room is made by the end of any stream.
const LOOK: Duration = Duration::from_millis(10);
/// What one request is taken to last before any has ended; a calm row of fast accelerators.
const FIRST_GUESS: Span = Span(1_500);
/// A bound on requests of one customer at one entry, far over what engines take.
const MOST: u64 = 10_000;

struct Waiter {
    need: Demand,
    admitted: oneshot::Sender<()>,
}

struct Line {
    queue: Queue,
    waiters: BTreeMap<Ticket, Waiter>,
    /// The next to start, for which there was no room yet. Smaller requests behind it wait too:
    /// else a large one would never find room under load.
    head: Option<Ticket>,
}

impl Default for Line {
    fn default() -> Self {
        let settings = Settings {
            slots: 0,
            initial_duration: FIRST_GUESS,
            ..Settings::default()
        };
        Self {
            queue: Queue::new(settings),
            waiters: BTreeMap::new(),
            head: None,
        }
    }
}

/// The queues of all models at this entry.
#[derive(Default)]
pub struct Waiting {
    lines: RefCell<BTreeMap<Service, Line>>,
    next: Cell<u64>,
}

impl Waiting {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        let lines = self.lines.borrow();
        lines.values().map(|line| line.waiters.len()).sum()
    }
}

/// A request that was admitted; it makes room when it is dropped.
pub struct Place<D> {
    state: Rc<State<D>>,
    service: Service,
    customer: Customer,
    started: jujube_core::time::Instant,
}

impl<D> Drop for Place<D> {
    fn drop(&mut self) {
        let lasted = clock::now().since(self.started);
        let mut lines = self.state.waiting.lines.borrow_mut();
        if let Some(line) = lines.get_mut(&self.service) {
            line.queue.finish(&self.customer, Some(lasted));
        }
    }
}

/// What is asked of the queue.
pub struct Ask<'a> {
    /// The request's identifier.
    pub id: &'a str,
    /// The model's service.
    pub service: &'a Service,
    /// Whose request it is.
    pub customer: &'a Customer,
    /// Its rank; 0 goes first.
    pub priority: u64,
    /// What it needs.
    pub need: Demand,
    /// How soon its first event is on time.
    pub target: Span,
}

/// Waits until there is room for a request.
///
/// # Errors
///
/// It could not start in time; when to come back.
pub async fn admit<D>(state: &Rc<State<D>>, ask: Ask<'_>) -> Result<Place<D>, Span> {
    let arrived = clock::now();
    let ticket = Ticket(state.waiting.next.get());
    state.waiting.next.set(ticket.0 + 1);
    let share = Share {
        customer: ask.customer.clone(),
        weight: 1,
        limit: MOST,
        priority: ask.priority,
        max_wait: Span((ask.target.0 as f64 * WAIT_SHARE) as u64),
    };
    let has_room = has_room(state, ask.service, ask.need);
    let waits = arrive(state, &ask, &share, ticket, has_room)?;
    let Some(admitted) = waits else {
        return Ok(place(state, &ask));
    };
    let patience = Duration::from_millis(share.max_wait.0);
    let cancel = Cancel {
        state,
        service: ask.service,
        customer: ask.customer,
        ticket,
    };
    let outcome = tokio::time::timeout(patience, admitted).await;
    if matches!(outcome, Ok(Ok(()))) {
        std::mem::forget(cancel);
        let waited = clock::now().since(arrived);
        state.metrics.observe("queue", waited);
        log::info!("event=admitted request={} waited_ms={waited}", ask.id);
        return Ok(place(state, &ask));
    }
    Err(come_back(state, ask.service))
}

fn place<D>(state: &Rc<State<D>>, ask: &Ask<'_>) -> Place<D> {
    Place {
        state: state.clone(),
        service: ask.service.clone(),
        customer: ask.customer.clone(),
        started: clock::now(),
    }
}

fn arrive<D>(
    state: &State<D>,
    ask: &Ask<'_>,
    share: &Share,
    ticket: Ticket,
    has_room: bool,
) -> Result<Option<oneshot::Receiver<()>>, Span> {
    let mut lines = state.waiting.lines.borrow_mut();
    let line = lines.entry(ask.service.clone()).or_default();
    let running = line.queue.running();
    line.queue.set_slots(running + u64::from(has_room));
    match line.queue.arrive(clock::now(), ticket, share) {
        Decision::Start => Ok(None),
        Decision::Refuse(refusal) => Err(refusal.retry_after.unwrap_or(FIRST_GUESS)),
        Decision::Wait => {
            let (admitted, receiver) = oneshot::channel();
            let waiter = Waiter {
                need: ask.need,
                admitted,
            };
            line.waiters.insert(ticket, waiter);
            state.metrics.count("requests_queued");
            log::info!(
                "event=queued request={} waiting={} running={running}",
                ask.id,
                line.waiters.len()
            );
            Ok(Some(receiver))
        }
    }
}

/// Takes a request out of the queue whose caller has left or whose wait is over.
struct Cancel<'a, D> {
    state: &'a Rc<State<D>>,
    service: &'a Service,
    customer: &'a Customer,
    ticket: Ticket,
}

impl<D> Drop for Cancel<'_, D> {
    fn drop(&mut self) {
        let mut lines = self.state.waiting.lines.borrow_mut();
        let Some(line) = lines.get_mut(self.service) else {
            return;
        };
        line.waiters.remove(&self.ticket);
        if line.head == Some(self.ticket) {
            line.head = None;
            line.queue.finish(self.customer, None);
        } else if !line.queue.cancel(self.customer, self.ticket) {
            // It was admitted in the moment in which its caller left.
            line.queue.finish(self.customer, None);
        }
    }
}

/// Returns when a refused request should come back: spread over the time that a request lasts, so
/// that those refused together do not return together.
fn come_back<D>(state: &State<D>, service: &Service) -> Span {
    let lines = state.waiting.lines.borrow();
    let waiting = lines
        .get(service)
        .map_or(0, |line| line.waiters.len() as u64);
    let spread = rand::random_range(0..FIRST_GUESS.0);
    Span(FIRST_GUESS.0 / 2 + spread + waiting * 10)
}

fn has_room<D>(state: &State<D>, service: &Service, need: Demand) -> bool {
    let choice = stream::choose_with(state, service, &[], 1.0, |fleet, view| {
        fleet.choose(need, view)
    });
    // Without any path there is nothing to wait for here; the request is answered at once.
    choice
        .flatten()
        .is_none_or(|choice| !choice.lacks_capacity() || choice.is_last_resort())
}

/// Admits waiting requests as room is made, until the process ends.
pub async fn run<D>(state: Rc<State<D>>) {
    loop {
        tokio::time::sleep(LOOK).await;
        let services: Vec<Service> = {
            let lines = state.waiting.lines.borrow();
            let busy = lines.iter().filter(|(_, line)| !line.waiters.is_empty());
            busy.map(|(service, _)| service.clone()).collect()
        };
        for service in services {
            while admit_next(&state, &service) {}
        }
    }
}

/// Admits the next request of a service; `false` when there is none or no room for it.
fn admit_next<D>(state: &State<D>, service: &Service) -> bool {
    let Some((ticket, need)) = next(state, service) else {
        return false;
    };
    if !has_room(state, service, need) {
        return false;
    }
    let mut lines = state.waiting.lines.borrow_mut();
    let Some(line) = lines.get_mut(service) else {
        return false;
    };
    line.head = None;
    let waiter = line.waiters.remove(&ticket);
    // A caller that has left takes its request back itself.
    waiter.is_some_and(|waiter| waiter.admitted.send(()).is_ok())
}

fn next<D>(state: &State<D>, service: &Service) -> Option<(Ticket, Demand)> {
    let mut lines = state.waiting.lines.borrow_mut();
    let line = lines.get_mut(service)?;
    if line.head.is_none() {
        let running = line.queue.running();
        line.queue.set_slots(running + 1);
        line.head = line.queue.pop(clock::now());
    }
    let ticket = line.head?;
    let need = line.waiters.get(&ticket)?.need;
    Some((ticket, need))
}
