//! All requests at one stage.

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

/// The step ledger of one stage.
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
    /// Released requests, with the last released epoch and the time.
    released: BTreeMap<Request, (Epoch, Instant)>,
    leases: BTreeMap<BootId, Instant>,
    /// Removed requests whose cache is not freed yet, with the run in progress.
    freeing: BTreeMap<Request, Option<Run>>,
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
            freeing: BTreeMap::new(),
            last_run: Run(0),
            draining: false,
        }
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no request is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Refuses new requests from now on; open requests continue.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Sets the maximum number of concurrent requests.
    pub fn set_slots(&mut self, slots: usize) {
        self.limits.slots = slots;
    }

    /// Opens a request or moves it to a newer epoch, and returns how far this stage has run.
    ///
    /// A duplicate of the same epoch is accepted again.
    ///
    /// # Errors
    ///
    /// See [`Refused`]; the ledger is unchanged.
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
            slot.last_activity = now;
            if open.epoch > slot.open.epoch {
                slot.change_epoch(open);
            }
        } else {
            if self.draining {
                return Err(Refused::Draining);
            }
            if self.freeing.contains_key(&request) {
                // The engine still has the old cache, whose positions would not match.
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

    /// Refuses to open released requests.
    ///
    /// A duplicate of an open may arrive after the release, on another connection. It would occupy a
    /// slot until the entry dies.
    fn check_released(&self, open: &Open) -> Result<(), Refused> {
        match self.released.get(&open.request) {
            Some((epoch, _)) if open.epoch <= *epoch => Err(Refused::Stale(*epoch)),
            _ => Ok(()),
        }
    }

    /// Starts sending outputs to the successor.
    pub fn resume(&mut self, now: Instant, resume: Resume, actions: &mut Vec<Action>) -> Received {
        let received = self.classify(resume.request, resume.epoch);
        if received != Received::Accepted {
            return received;
        }
        if let Some(slot) = self.slots.get_mut(&resume.request) {
            slot.last_activity = now;
            // A duplicate must not send all outputs again.
            if slot.sent.is_none() {
                slot.resume(resume);
            }
        }
        self.advance(resume.request, actions);
        received
    }

    /// Receives inputs.
    pub fn frame(&mut self, now: Instant, frame: &Frame, actions: &mut Vec<Action>) -> Received {
        let received = self.classify(frame.request, frame.epoch);
        if received != Received::Accepted {
            return received;
        }
        if let Some(slot) = self.slots.get_mut(&frame.request) {
            slot.last_activity = now;
            slot.receive(frame);
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

    /// Records the outputs of an engine run.
    pub fn ran(
        &mut self,
        now: Instant,
        request: Request,
        run: Run,
        outputs: &[u64],
        actions: &mut Vec<Action>,
    ) {
        self.free_after_run(request, run, actions);
        let Some(slot) = self.slots.get_mut(&request) else {
            return;
        };
        let Some(running) = slot.running.filter(|running| running.run == run) else {
            return;
        };
        if outputs.len() != running.count {
            self.clear_run(request);
            self.drop_lost(request, actions);
            return;
        }
        slot.last_activity = now;
        slot.finish_run(outputs);
        self.advance(request, actions);
    }

    /// Drops a request after a failed engine run, which leaves its cache at an unknown position.
    pub fn failed(&mut self, request: Request, run: Run, actions: &mut Vec<Action>) {
        self.free_after_run(request, run, actions);
        let Some(slot) = self.slots.get(&request) else {
            return;
        };
        if slot.running.is_some_and(|running| running.run == run) {
            self.clear_run(request);
            self.drop_lost(request, actions);
        }
    }

    /// Reports to the entry that a successor does not know its request or is unreachable.
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

    /// Drops a request and reports it lost to its entry.
    fn drop_lost(&mut self, request: Request, actions: &mut Vec<Action>) {
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

    /// Removes a request and frees its cache once no run uses it.
    ///
    /// If the engine freed the cache before the run, the run would start a new cache in the middle of
    /// a sequence, which is never freed.
    fn remove(&mut self, request: Request, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.remove(&request) else {
            return;
        };
        let running = slot.running.map(|running| running.run);
        self.freeing.insert(request, running);
        if running.is_none() {
            actions.push(Action::Free { request });
        }
    }

    fn clear_run(&mut self, request: Request) {
        if let Some(slot) = self.slots.get_mut(&request) {
            slot.running = None;
        }
    }

    fn free_after_run(&mut self, request: Request, run: Run, actions: &mut Vec<Action>) {
        if self.freeing.get(&request) == Some(&Some(run)) {
            self.freeing.insert(request, None);
            actions.push(Action::Free { request });
        }
    }

    /// Records that the engine has freed the cache of a request, or is unreachable.
    pub fn freed(&mut self, request: Request) {
        self.freeing.remove(&request);
    }

    /// Frees a request permanently, for all epochs up to the given one.
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

    /// Starts or renews the lease of an entry on its requests.
    pub fn renew(&mut self, now: Instant, entry: BootId) {
        self.leases.insert(entry, now);
    }

    /// Returns the number of entries that hold a lease.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.leases.len()
    }

    /// Frees requests of dead entries and inactive requests.
    ///
    /// An entry that dies releases nothing; without leases its requests would hold cache memory until
    /// the backend server restarts. Live entries renew their lease with every heartbeat.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let limits = self.limits;
        let has_elapsed = |since: Instant, span: Span| now.since(since) > span;
        self.released
            .retain(|_, (_, at)| !has_elapsed(*at, limits.retention));
        let orphans = self.slots.iter().filter(|(request, _)| {
            let renewed = self.leases.get(&request.entry);
            renewed.is_none_or(|renewed| has_elapsed(*renewed, limits.lease))
        });
        let orphans: Vec<Request> = orphans.map(|(request, _)| *request).collect();
        for request in orphans {
            self.remove(request, actions);
        }
        self.leases
            .retain(|_, renewed| !has_elapsed(*renewed, limits.lease));
        let inactive = self
            .slots
            .iter()
            .filter(|(_, slot)| has_elapsed(slot.last_activity, limits.idle_timeout));
        let inactive: Vec<Request> = inactive.map(|(request, _)| *request).collect();
        for request in inactive {
            self.drop_lost(request, actions);
        }
    }

    /// Sends available outputs and starts the next run.
    fn advance(&mut self, request: Request, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(&request) else {
            return;
        };
        actions.extend(slot.send_outputs());
        let run = self.last_run.next();
        if let Some(action) = slot.start_run(run, self.limits.max_run_length) {
            self.last_run = run;
            actions.push(action);
        }
    }
}
