//! The ledger of all requests at one stage.

use std::collections::BTreeMap;

use super::limits::Limits;
use super::message::Action;
use super::message::Frame;
use super::message::Lost;
use super::message::Open;
use super::message::Opened;
use super::message::Received;
use super::message::Refused;
use super::message::Resume;
use super::message::Run;
use super::slot::Slot;
use crate::name::Server;
use crate::request::BootId;
use crate::request::Epoch;
use crate::request::Request;
use crate::time::Instant;
use crate::time::Span;

/// The ledger.
///
/// # Examples
///
/// ```
/// # use jujube_core::ledger::Ledger;
/// # use jujube_core::ledger::Limits;
/// let ledger = Ledger::new("stage-1".into(), Limits::default());
/// assert_eq!(ledger.len(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    server: Server,
    limits: Limits,
    slots: BTreeMap<Request, Slot>,
    /// Released requests: up to which epoch, and when.
    released: BTreeMap<Request, (Epoch, Instant)>,
    leases: BTreeMap<BootId, Instant>,
    /// Requests that are gone and whose cache is not freed yet; with the run that still goes on.
    leaving: BTreeMap<Request, Option<Run>>,
    last_run: Run,
    draining: bool,
}

impl Ledger {
    /// Returns an empty ledger of a backend server.
    #[must_use]
    pub fn new(server: Server, limits: Limits) -> Self {
        Self {
            server,
            limits,
            slots: BTreeMap::new(),
            released: BTreeMap::new(),
            leases: BTreeMap::new(),
            leaving: BTreeMap::new(),
            last_run: Run(0),
            draining: false,
        }
    }

    /// Returns how many requests are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Tells whether no request is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Refuses new requests from now on; those that are held go on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Sets how many requests are taken at a time.
    pub fn set_slots(&mut self, slots: usize) {
        self.limits.slots = slots;
    }

    /// Takes a request, or moves it to a newer epoch, and tells how far this stage has run.
    ///
    /// A repeat of the same epoch is answered as the first was.
    ///
    /// # Errors
    ///
    /// See [`Refused`]; nothing has changed then.
    pub fn open(
        &mut self,
        now: Instant,
        open: Open,
        actions: &mut Vec<Action>,
    ) -> Result<Opened, Refused> {
        let stage = open.route.stages.get(open.index);
        if stage.is_none_or(|stage| stage.server != self.server) {
            return Err(Refused::Misrouted);
        }
        self.check_released(&open)?;
        let request = open.request;
        if let Some(slot) = self.slots.get_mut(&request) {
            let layers = open.route.stages[open.index].layers;
            let held = slot.open.route.stages[slot.open.index].layers;
            if open.epoch < slot.open.epoch {
                return Err(Refused::Stale(slot.open.epoch));
            }
            if layers != held {
                return Err(Refused::Misrouted);
            }
            slot.heard = now;
            if open.epoch > slot.open.epoch {
                slot.move_to(open);
            }
        } else {
            if self.draining {
                return Err(Refused::Draining);
            }
            if self.leaving.contains_key(&request) {
                // The engine still has the cache of the earlier stay: positions would not fit it.
                return Err(Refused::Busy);
            }
            if self.slots.len() >= self.limits.slots {
                return Err(Refused::Busy);
            }
            self.leases.insert(request.entry, now);
            self.slots.insert(request, Slot::new(now, open));
        }
        let slot = &self.slots[&request];
        let opened = Opened {
            count: slot.count(),
            reached: slot.reached,
        };
        self.advance(request, actions);
        Ok(opened)
    }

    /// Refuses to open what was released.
    ///
    /// The release and a late copy of the open travel on different connections. Without the memory
    /// the late copy would occupy a slot until the entry dies.
    fn check_released(&self, open: &Open) -> Result<(), Refused> {
        match self.released.get(&open.request) {
            Some((epoch, _)) if open.epoch <= *epoch => Err(Refused::Stale(*epoch)),
            _ => Ok(()),
        }
    }

    /// Starts sending to the successor under an epoch.
    pub fn resume(&mut self, now: Instant, resume: Resume, actions: &mut Vec<Action>) -> Received {
        let received = self.classify(resume.request, resume.epoch);
        if received != Received::Accepted {
            return received;
        }
        if let Some(slot) = self.slots.get_mut(&resume.request) {
            slot.heard = now;
            // A repeat of the word must not send everything again.
            if slot.sent.is_none() {
                slot.resume(resume);
            }
        }
        self.advance(resume.request, actions);
        received
    }

    /// Takes inputs.
    pub fn frame(&mut self, now: Instant, frame: &Frame, actions: &mut Vec<Action>) -> Received {
        let received = self.classify(frame.request, frame.epoch);
        if received != Received::Accepted {
            return received;
        }
        if let Some(slot) = self.slots.get_mut(&frame.request) {
            slot.heard = now;
            slot.take(frame);
        }
        self.advance(frame.request, actions);
        received
    }

    fn classify(&self, request: Request, epoch: Epoch) -> Received {
        if let Some((released, _)) = self.released.get(&request)
            && epoch <= *released
        {
            return Received::Stale;
        }
        match self.slots.get(&request) {
            Some(slot) if epoch == slot.open.epoch => Received::Accepted,
            Some(slot) if epoch < slot.open.epoch => Received::Stale,
            _ => Received::Unknown,
        }
    }

    /// Books what the engine has run.
    pub fn ran(
        &mut self,
        now: Instant,
        request: Request,
        run: Run,
        outputs: &[u64],
        actions: &mut Vec<Action>,
    ) {
        self.run_ended(request, run, actions);
        let Some(slot) = self.slots.get_mut(&request) else {
            return;
        };
        let Some(running) = slot.running.filter(|running| running.run == run) else {
            return;
        };
        if outputs.len() != running.count {
            self.end_run(request);
            self.lose(request, actions);
            return;
        }
        slot.heard = now;
        slot.finish(outputs);
        self.advance(request, actions);
    }

    /// Gives up a request whose engine failed: the engine's cache may be at any position.
    pub fn failed(&mut self, request: Request, run: Run, actions: &mut Vec<Action>) {
        self.run_ended(request, run, actions);
        let Some(slot) = self.slots.get(&request) else {
            return;
        };
        if slot.running.is_some_and(|running| running.run == run) {
            self.end_run(request);
            self.lose(request, actions);
        }
    }

    /// Tells the entry that a successor does not know its request, or cannot be reached.
    pub fn successor_lost(
        &mut self,
        request: Request,
        epoch: Epoch,
        server: &Server,
        actions: &mut Vec<Action>,
    ) {
        let Some(slot) = self.slots.get(&request) else {
            return;
        };
        if slot.open.epoch != epoch {
            return;
        }
        actions.push(Action::Report {
            to: slot.open.route.entry.clone(),
            lost: Lost {
                request,
                epoch,
                server: server.clone(),
            },
        });
    }

    fn lose(&mut self, request: Request, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get(&request) else {
            return;
        };
        actions.push(Action::Report {
            to: slot.open.route.entry.clone(),
            lost: Lost {
                request,
                epoch: slot.open.epoch,
                server: self.server.clone(),
            },
        });
        self.remove(request, actions);
    }

    /// Takes a request out, and has its cache freed when no run uses it.
    ///
    /// A free that overtakes a run has the engine begin a new cache in the middle of a sequence, and
    /// nobody frees that one.
    fn remove(&mut self, request: Request, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.remove(&request) else {
            return;
        };
        let running = slot.running.map(|running| running.run);
        self.leaving.insert(request, running);
        if running.is_none() {
            actions.push(Action::Free { request });
        }
    }

    fn end_run(&mut self, request: Request) {
        if let Some(slot) = self.slots.get_mut(&request) {
            slot.running = None;
        }
    }

    fn run_ended(&mut self, request: Request, run: Run, actions: &mut Vec<Action>) {
        if self.leaving.get(&request) == Some(&Some(run)) {
            self.leaving.insert(request, None);
            actions.push(Action::Free { request });
        }
    }

    /// Books that the engine has freed a request's cache, or cannot be asked to.
    pub fn freed(&mut self, request: Request) {
        self.leaving.remove(&request);
    }

    /// Frees a request up to an epoch, for good.
    pub fn release(
        &mut self,
        now: Instant,
        request: Request,
        epoch: Epoch,
        actions: &mut Vec<Action>,
    ) {
        let newer = |slot: &Slot| slot.open.epoch > epoch;
        if self.slots.get(&request).is_some_and(newer) {
            return;
        }
        self.released.insert(request, (epoch, now));
        self.remove(request, actions);
    }

    /// Takes or renews an entry's lease on its requests.
    pub fn renew(&mut self, now: Instant, entry: BootId) {
        self.leases.insert(entry, now);
    }

    /// Returns how many entries hold a lease.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.leases.len()
    }

    /// Frees what nobody asks for any more.
    ///
    /// An entry that dies releases nothing: without the lease its requests would hold cache memory
    /// until the backend server restarts. A live entry renews with every heartbeat, so that a
    /// lapsed lease means that nobody will read the answer from here.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let limits = self.limits;
        let lapsed = |since: Instant, span: Span| now.since(since) > span;
        self.released
            .retain(|_, (_, at)| !lapsed(*at, limits.remember));
        let orphans = self.slots.iter().filter(|(request, _)| {
            let renewed = self.leases.get(&request.entry);
            renewed.is_none_or(|renewed| lapsed(*renewed, limits.lease))
        });
        let orphans: Vec<Request> = orphans.map(|(request, _)| *request).collect();
        for request in orphans {
            self.remove(request, actions);
        }
        self.leases
            .retain(|_, renewed| !lapsed(*renewed, limits.lease));
        let still = self
            .slots
            .iter()
            .filter(|(_, slot)| lapsed(slot.heard, limits.idle));
        let still: Vec<Request> = still.map(|(request, _)| *request).collect();
        for request in still {
            self.lose(request, actions);
        }
    }

    /// Sends what can be sent and runs what can be run.
    fn advance(&mut self, request: Request, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(&request) else {
            return;
        };
        actions.extend(slot.send());
        let run = self.last_run.next();
        if let Some(action) = slot.start(run, self.limits.longest_run) {
            self.last_run = run;
            actions.push(action);
        }
    }
}
