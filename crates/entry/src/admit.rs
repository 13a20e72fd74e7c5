//! Queues and choosers by service, and the waits of those that are queued.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use jujube_core::admission::Decision;
use jujube_core::admission::Queue;
use jujube_core::admission::Settings;
use jujube_core::admission::Share;
use jujube_core::admission::Ticket;
use jujube_core::name::Customer;
use jujube_core::name::Server;
use jujube_core::name::Service;
use jujube_core::path;
use jujube_core::path::Chooser;
use jujube_core::path::Stage;
use jujube_core::path::Table;
use jujube_core::refusal::Refusal;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use crate::state::State;
use crate::state::lock;

type Wait = oneshot::Sender<Result<(), Arc<Refusal>>>;

struct Desk {
    queue: Queue,
    chooser: Chooser,
    waits: HashMap<Ticket, Wait>,
    tickets: Ticket,
    random: StdRng,
}

/// The admission of all services at one entry.
pub(crate) struct Admission {
    path: path::Settings,
    desks: Mutex<HashMap<Service, Desk>>,
}

/// A request that was admitted; its slot is free again when this is dropped.
pub(crate) struct Admitted {
    state: State,
    service: Service,
    customer: Customer,
    since: Instant,
    well: bool,
}

/// A request that waits; it leaves the queue when this is dropped.
struct Waiting<'a> {
    admission: &'a Admission,
    service: &'a Service,
    customer: &'a Customer,
    ticket: Ticket,
    done: bool,
}

impl Admission {
    pub(crate) fn new(path: path::Settings) -> Self {
        Self {
            path,
            desks: Mutex::default(),
        }
    }

    fn with<T>(&self, service: &Service, work: impl FnOnce(&mut Desk) -> T) -> T {
        let mut desks = lock(&self.desks);
        let desk = desks.entry(service.clone()).or_insert_with(|| Desk {
            queue: Queue::new(Settings::default()),
            chooser: Chooser::new(self.path),
            waits: HashMap::new(),
            tickets: Ticket(0),
            random: StdRng::seed_from_u64(rand::random()),
        });
        work(desk)
    }

    async fn wait(
        &self,
        service: &Service,
        customer: &Customer,
        ticket: Ticket,
        wait: oneshot::Receiver<Result<(), Arc<Refusal>>>,
    ) -> Result<(), Arc<Refusal>> {
        let mut waiting = Waiting {
            admission: self,
            service,
            customer,
            ticket,
            done: false,
        };
        let answer = wait.await;
        waiting.done = true;
        // The sender lives in the desk until it has answered.
        answer.unwrap_or(Ok(()))
    }

    fn finish(&self, service: &Service, customer: &Customer, lasted: Option<Span>) {
        self.with(service, |desk| {
            let now = clock::now();
            desk.queue.finish(customer, lasted);
            desk.start_all(now);
        });
    }

    /// Refuses those whose wait has become too long, and starts those that can start.
    pub(crate) fn tick(&self, slots: impl Fn(&Service) -> Option<u64>) {
        let now = clock::now();
        for (service, desk) in lock(&self.desks).iter_mut() {
            if let Some(slots) = slots(service) {
                desk.queue.set_slots(slots);
            }
            for (ticket, refusal) in desk.queue.expire(now) {
                if let Some(wait) = desk.waits.remove(&ticket) {
                    let _caller_gone = wait.send(Err(refusal));
                }
            }
            desk.start_all(now);
        }
    }

    /// Returns running and waiting requests by service.
    pub(crate) fn depths(&self) -> Vec<(Service, u64, u64)> {
        let desks = lock(&self.desks);
        let depths = desks
            .iter()
            .map(|(service, desk)| (service.clone(), desk.queue.running(), desk.queue.waiting()));
        depths.collect()
    }

    pub(crate) fn choose(
        &self,
        service: &Service,
        table: &Table,
        excluded: &[Server],
    ) -> Option<Vec<Stage>> {
        self.with(service, |desk| {
            desk.chooser.choose(table, excluded, &mut desk.random)
        })
    }

    pub(crate) fn repair(
        &self,
        service: &Service,
        table: &Table,
        stages: &[Stage],
        excluded: &[Server],
    ) -> Option<Vec<Stage>> {
        self.with(service, |desk| {
            desk.chooser
                .repair(table, stages, excluded, &mut desk.random)
        })
    }

    pub(crate) fn end(&self, service: &Service, stages: &[Stage]) {
        self.with(service, |desk| desk.chooser.end(stages));
    }

    pub(crate) fn begin(&self, service: &Service, stage: &Stage) {
        self.with(service, |desk| {
            desk.chooser.begin(std::slice::from_ref(stage))
        });
    }

    /// Returns how many requests of this entry a backend server has in flight.
    pub(crate) fn in_flight(&self, service: &Service, server: &Server) -> u64 {
        self.with(service, |desk| desk.chooser.in_flight(server))
    }
}

impl Desk {
    fn start_all(&mut self, now: Instant) {
        while let Some(ticket) = self.queue.pop(now) {
            let Some(wait) = self.waits.remove(&ticket) else {
                continue;
            };
            // A caller that left in this moment gives its slot back through `Admitted`.
            let _caller_gone = wait.send(Ok(()));
        }
    }
}

/// Admits a request, now or after a wait, or refuses it at once.
pub(crate) async fn admit(
    state: &State,
    service: &Service,
    share: &Share,
) -> Result<Admitted, Arc<Refusal>> {
    let admission = &state.admission;
    let (ticket, decision, wait) = admission.with(service, |desk| {
        desk.tickets = desk.tickets.next();
        let ticket = desk.tickets;
        let decision = desk.queue.arrive(clock::now(), ticket, share);
        let (sender, receiver) = oneshot::channel();
        if decision == Decision::Wait {
            desk.waits.insert(ticket, sender);
        }
        (ticket, decision, receiver)
    });
    match decision {
        Decision::Start => {}
        Decision::Refuse(refusal) => return Err(refusal),
        Decision::Wait => {
            admission
                .wait(service, &share.customer, ticket, wait)
                .await?
        }
    }
    Ok(Admitted {
        state: state.clone(),
        service: service.clone(),
        customer: share.customer.clone(),
        since: clock::now(),
        well: false,
    })
}

impl Admitted {
    /// Books that the request ended well; how long it lasted then counts for predictions.
    pub(crate) fn ended_well(&mut self) {
        self.well = true;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let lasted = self.well.then(|| clock::now().since(self.since));
        self.state
            .admission
            .finish(&self.service, &self.customer, lasted);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let still_waits = self.admission.with(self.service, |desk| {
            desk.waits.remove(&self.ticket);
            desk.queue.cancel(self.customer, self.ticket)
        });
        if !still_waits {
            // It was started in the moment in which its caller left.
            self.admission.finish(self.service, self.customer, None);
        }
    }
}
