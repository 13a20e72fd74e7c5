//! A simulation of calls to a plain service, with entries, the key-value service and sidecars.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use jujube_core::at_most_once;
use jujube_core::call::Action;
use jujube_core::call::Call;
use jujube_core::call::Dispatch;
use jujube_core::call::Key;
use jujube_core::call::Spec;
use jujube_core::claim::Answer;
use jujube_core::claim::Outcome;
use jujube_core::claim::Progress;
use jujube_core::claim::Record;
use jujube_core::name::Server;
use jujube_core::refusal::Refusal;
use jujube_core::request::BootId;
use jujube_core::request::Request;
use jujube_core::retry::Budget;
use jujube_core::time::Instant;
use jujube_core::verdict::Verdict;

/// A request to the key-value service about the claim.
#[derive(Clone, Debug)]
pub enum KvRequest {
    Create(Record),
    Read,
    Replace(Record, Record),
    Finish(Record),
    Release(Record),
}

/// A message in transit; the first field is the number of the submission.
#[derive(Clone, Debug)]
pub enum Message {
    Kv(usize, KvRequest),
    KvAnswer(usize, Outcome),
    Dispatch(usize, Dispatch),
    Run(usize, Dispatch),
    Ran(usize, Dispatch),
    Answered(usize),
    Refused(usize, Verdict),
    Settle(usize, Dispatch),
    Settled(usize, Verdict),
}

impl Message {
    pub fn step(&self) -> &'static str {
        match self {
            Self::Kv(_, KvRequest::Create(_)) => "claim",
            Self::Kv(_, KvRequest::Read) => "read back",
            Self::Kv(_, KvRequest::Replace(..)) => "move claim",
            Self::Kv(_, KvRequest::Finish(_)) => "record",
            Self::Kv(_, KvRequest::Release(_)) => "free claim",
            Self::KvAnswer(..) => "claim answer",
            Self::Dispatch(..) => "dispatch",
            Self::Run(..) => "before run",
            Self::Ran(..) => "after run",
            Self::Answered(_) => "answer",
            Self::Refused(..) => "refusal",
            Self::Settle(..) => "settle",
            Self::Settled(..) => "settled",
        }
    }

    fn submission(&self) -> usize {
        match self {
            Self::Kv(number, _)
            | Self::KvAnswer(number, _)
            | Self::Dispatch(number, _)
            | Self::Run(number, _)
            | Self::Ran(number, _)
            | Self::Answered(number)
            | Self::Refused(number, _)
            | Self::Settle(number, _)
            | Self::Settled(number, _) => *number,
        }
    }
}

/// A fault to inject.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// An entry dies with its submission.
    KillEntry(usize),
    /// A sidecar restarts and loses its state.
    RestartSidecar(usize),
    /// A sidecar and its service die.
    KillSidecar(usize),
    /// A sidecar refuses new calls.
    Drain(usize),
    /// The key-value service is down until recovery.
    KvDown,
    /// The next message is lost.
    Lose,
    /// The next message arrives after its sender has timed out.
    Late,
}

/// Safeguards to disable.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mutation {
    /// An unknown call is reported as not run and is not closed.
    pub forget_to_close: bool,
    /// A restarted sidecar answers for its earlier run.
    pub ignore_incarnation: bool,
    /// Calls are dispatched without a claim.
    pub no_claims: bool,
    /// A dispatch without an answer is treated as not run.
    pub trust_silence: bool,
}

struct Sidecar {
    deduplicator: at_most_once::Deduplicator,
    boot: BootId,
    alive: bool,
    /// The number of restarts; calls of earlier runs continue at the service.
    restarts: u64,
}

struct Submission {
    call: Call,
    entry: usize,
    budget: Budget,
    /// The dispatched calls.
    calls: Vec<Request>,
}

/// The end of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    Answer,
    Replay,
    Refused(Refusal),
    EntryGone,
}

/// The simulation.
pub struct World {
    pub steps: Vec<&'static str>,
    pub violations: Vec<String>,
    pub endings: BTreeMap<usize, Ending>,
    /// The calls that ran, in order.
    pub ran: Vec<Request>,
    now: u64,
    kv: Option<Record>,
    kv_down: bool,
    sidecars: Vec<Sidecar>,
    submissions: BTreeMap<usize, Submission>,
    dead_entries: BTreeSet<usize>,
    queue: VecDeque<Message>,
    next_call: u64,
    mutation: Mutation,
}

const SIDECARS: usize = 2;

fn name(index: usize) -> Server {
    format!("s{index}").into()
}

fn index(server: &Option<Server>) -> usize {
    let name = server.as_ref().unwrap().to_string();
    name[1..].parse().unwrap()
}

impl World {
    pub fn new(mutation: Mutation) -> Self {
        let sidecars = (0..SIDECARS).map(|index| {
            let boot = BootId(100 + index as u64);
            Sidecar {
                deduplicator: at_most_once::Deduplicator::new(boot, 8),
                boot,
                alive: true,
                restarts: 0,
            }
        });
        Self {
            steps: Vec::new(),
            violations: Vec::new(),
            endings: BTreeMap::new(),
            ran: Vec::new(),
            now: 1_000,
            kv: None,
            kv_down: false,
            sidecars: sidecars.collect(),
            submissions: BTreeMap::new(),
            dead_entries: BTreeSet::new(),
            queue: VecDeque::new(),
            next_call: 1,
            mutation,
        }
    }

    /// Submits the request through an entry.
    pub fn submit(&mut self, number: usize, entry: usize) {
        let key = Key {
            nonce: format!("nonce-{number}").into(),
            fingerprint: "same".into(),
        };
        let spec = Spec {
            idempotent: false,
            replayable: true,
            key: (!self.mutation.no_claims).then_some(key),
        };
        let call = Call::new(spec);
        let actions = call.start();
        let submission = Submission {
            call,
            entry,
            budget: Budget::default(),
            calls: Vec::new(),
        };
        self.submissions.insert(number, submission);
        self.perform(number, actions);
    }

    fn perform(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Choose(excluded) => self.choose(number, &excluded),
                Action::Create(record) => self.send(Message::Kv(number, KvRequest::Create(record))),
                Action::Read => self.send(Message::Kv(number, KvRequest::Read)),
                Action::Replace(before, after) => {
                    self.send(Message::Kv(number, KvRequest::Replace(before, after)));
                }
                Action::Finish(record) => self.send(Message::Kv(number, KvRequest::Finish(record))),
                Action::Release(record) => {
                    self.send(Message::Kv(number, KvRequest::Release(record)))
                }
                Action::Dispatch(dispatch) => {
                    let submission = self.submissions.get_mut(&number).unwrap();
                    submission.calls.push(dispatch.call);
                    self.send(Message::Dispatch(number, dispatch));
                }
                Action::Settle(dispatch) => self.send(Message::Settle(number, dispatch)),
                Action::Answer => self.end(number, Ending::Answer),
                Action::Replay(_) => self.end(number, Ending::Replay),
                Action::Refuse(refusal) => self.end(number, Ending::Refused((*refusal).clone())),
            }
        }
    }

    fn choose(&mut self, number: usize, excluded: &[Server]) {
        let usable =
            |index: &usize| self.sidecars[*index].alive && !excluded.contains(&name(*index));
        let chosen = (0..SIDECARS).find(usable);
        let dispatch = chosen.map(|chosen| Dispatch {
            call: Request {
                entry: BootId(number as u64),
                number: self.next_call,
            },
            server: Some(name(chosen)),
            sidecar: self.sidecars[chosen].boot,
        });
        self.next_call += 1;
        let now = self.now;
        self.with(number, |call, _| call.chosen(now, dispatch));
    }

    fn end(&mut self, number: usize, ending: Ending) {
        if let Some(earlier) = self.endings.insert(number, ending.clone()) {
            self.violations
                .push(format!("{number}: {earlier:?}, then {ending:?}"));
        }
    }

    fn send(&mut self, message: Message) {
        self.queue.push_back(message);
    }

    fn with(&mut self, number: usize, work: impl FnOnce(&mut Call, &mut Budget) -> Vec<Action>) {
        let submission = self.submissions.get_mut(&number).unwrap();
        if self.dead_entries.contains(&submission.entry) {
            return;
        }
        let actions = work(&mut submission.call, &mut submission.budget);
        self.perform(number, actions);
    }

    /// Injects a fault.
    pub fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::KillEntry(entry) => {
                self.dead_entries.insert(*entry);
                for (number, submission) in &self.submissions {
                    if submission.entry == *entry {
                        self.endings.entry(*number).or_insert(Ending::EntryGone);
                    }
                }
            }
            Fault::RestartSidecar(index) => self.restart(*index),
            Fault::KillSidecar(index) => {
                self.restart(*index);
                self.sidecars[*index].alive = false;
            }
            Fault::Drain(index) => self.sidecars[*index].deduplicator.drain(),
            Fault::KvDown => self.kv_down = true,
            Fault::Lose => {
                if let Some(message) = self.queue.pop_front() {
                    self.time_out(&message);
                }
            }
            Fault::Late => {
                if let Some(message) = self.queue.pop_front() {
                    self.time_out(&message);
                    self.queue.push_back(message);
                }
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let sidecar = &mut self.sidecars[index];
        sidecar.restarts += 1;
        sidecar.boot = BootId(1_000 * sidecar.restarts + 100 + index as u64);
        sidecar.deduplicator = at_most_once::Deduplicator::new(sidecar.boot, 8);
        // The restart closes the connections of waiting entries.
        let waits = |message: &&Message| match message {
            Message::Run(_, dispatch) | Message::Ran(_, dispatch) => {
                self::index(&dispatch.server) == index
            }
            _ => false,
        };
        let waiting: Vec<Message> = self.queue.iter().filter(waits).cloned().collect();
        for message in waiting {
            self.time_out(&message);
        }
    }

    /// Reports a timeout to the sender of a message.
    fn time_out(&mut self, message: &Message) {
        let number = message.submission();
        let now = self.now;
        match message {
            Message::Kv(_, KvRequest::Finish(_) | KvRequest::Release(_)) => {}
            Message::Kv(..) | Message::KvAnswer(..) => {
                self.with(number, |call, _| call.claimed(now, Outcome::Unknown));
            }
            Message::Dispatch(..)
            | Message::Run(..)
            | Message::Ran(..)
            | Message::Answered(_)
            | Message::Refused(..) => self.report_lost(number),
            Message::Settle(..) | Message::Settled(..) => {
                self.with(number, |call, budget| {
                    call.settled(Verdict::MayHaveRun, budget)
                });
            }
        }
    }

    fn report_lost(&mut self, number: usize) {
        if self.mutation.trust_silence {
            self.with(number, |call, budget| call.refused(Verdict::NotRun, budget));
            return;
        }
        self.with(number, |call, _| call.lost());
    }

    /// Handles one message; returns `false` if there is none.
    pub fn step(&mut self) -> bool {
        let Some(message) = self.queue.pop_front() else {
            return false;
        };
        self.steps.push(message.step());
        self.now += 1;
        self.handle(message);
        true
    }

    /// Returns the name of the next step.
    pub fn next_step(&self) -> &'static str {
        self.queue.front().map_or("idle", Message::step)
    }

    fn handle(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Kv(number, request) => self.kv(number, request),
            Message::KvAnswer(number, outcome) => {
                self.with(number, |call, _| call.claimed(now, outcome));
            }
            Message::Dispatch(number, dispatch) => self.dispatched(number, dispatch),
            Message::Run(number, dispatch) => {
                self.ran.push(dispatch.call);
                self.send(Message::Ran(number, dispatch));
            }
            Message::Ran(number, dispatch) => {
                let sidecar = &mut self.sidecars[index(&dispatch.server)];
                if sidecar.boot == dispatch.sidecar {
                    let state = at_most_once::State::Answered(200);
                    sidecar
                        .deduplicator
                        .advance(Instant(now), dispatch.call, state);
                    sidecar.deduplicator.end();
                    self.send(Message::Answered(number));
                }
            }
            Message::Answered(number) => self.with(number, |call, _| call.answered()),
            Message::Refused(number, verdict) => {
                self.with(number, |call, budget| call.refused(verdict, budget));
            }
            Message::Settle(number, dispatch) => self.settle(number, &dispatch),
            Message::Settled(number, verdict) => {
                self.with(number, |call, budget| call.settled(verdict, budget));
            }
        }
    }

    fn kv(&mut self, number: usize, request: KvRequest) {
        if self.kv_down {
            if !matches!(request, KvRequest::Finish(_) | KvRequest::Release(_)) {
                self.send(Message::KvAnswer(number, Outcome::Down));
            }
            return;
        }
        let found = |kv: &Option<Record>| match kv {
            Some(record) => Outcome::Found(record.clone()),
            None => Outcome::Absent,
        };
        let outcome = match request {
            KvRequest::Create(record) if self.kv.is_none() => {
                self.kv = Some(record);
                Outcome::Created
            }
            KvRequest::Create(_) | KvRequest::Read => found(&self.kv),
            KvRequest::Replace(before, after) if self.kv.as_ref() == Some(&before) => {
                self.kv = Some(after);
                Outcome::Created
            }
            KvRequest::Replace(..) => found(&self.kv),
            KvRequest::Finish(record) => {
                if self.kv.as_ref() == Some(&record) {
                    let progress = Progress::Done(Answer {
                        body: Some("answer".into()),
                        ..Answer::default()
                    });
                    self.kv = Some(Record { progress, ..record });
                }
                return;
            }
            KvRequest::Release(record) => {
                if self.kv.as_ref() == Some(&record) {
                    self.kv = None;
                }
                return;
            }
        };
        self.send(Message::KvAnswer(number, outcome));
    }

    fn dispatched(&mut self, number: usize, dispatch: Dispatch) {
        let now = Instant(self.now);
        let sidecar = &mut self.sidecars[index(&dispatch.server)];
        if !sidecar.alive {
            // The connection is refused, so nothing was sent.
            self.send(Message::Refused(number, Verdict::NotRun));
            return;
        }
        let addressed_to = if self.mutation.ignore_incarnation {
            sidecar.boot
        } else {
            dispatch.sidecar
        };
        match sidecar.deduplicator.begin(now, dispatch.call, addressed_to) {
            Ok(()) => {
                sidecar
                    .deduplicator
                    .advance(now, dispatch.call, at_most_once::State::Handed);
                self.send(Message::Run(number, dispatch));
            }
            Err(at_most_once::Refused::Repeated(state)) => {
                self.send(Message::Refused(number, state.verdict()));
            }
            Err(_) => self.send(Message::Refused(number, Verdict::NotRun)),
        }
    }

    fn settle(&mut self, number: usize, dispatch: &Dispatch) {
        let now = Instant(self.now);
        let sidecar = &mut self.sidecars[index(&dispatch.server)];
        let mut verdict = Verdict::MayHaveRun;
        if sidecar.alive {
            let addressed_to = if self.mutation.ignore_incarnation {
                sidecar.boot
            } else {
                dispatch.sidecar
            };
            let known = sidecar.deduplicator.state(dispatch.call).is_some();
            verdict = if self.mutation.forget_to_close && !known {
                Verdict::NotRun
            } else {
                sidecar
                    .deduplicator
                    .settle(now, dispatch.call, addressed_to)
            };
        }
        self.send(Message::Settled(number, verdict));
    }

    /// Handles messages until none is left.
    pub fn run_until_idle(&mut self) {
        while self.step() {}
    }

    /// Restarts the sidecars and the key-value service, and advances the time by a minute.
    pub fn recover(&mut self) {
        self.kv_down = false;
        self.now += 60_000;
        for sidecar in &mut self.sidecars {
            sidecar.alive = true;
        }
    }

    /// Checks the endings against the calls that ran.
    pub fn check(&mut self) {
        if self.ran.len() > 1 {
            self.violations
                .push(format!("ran {} times", self.ran.len()));
        }
        for (number, submission) in &self.submissions {
            let ran = submission.calls.iter().any(|call| self.ran.contains(call));
            match self.endings.get(number) {
                None => self.violations.push(format!("{number}: not ended")),
                Some(Ending::Refused(refusal)) if refusal.verdict == Verdict::NotRun && ran => {
                    self.violations
                        .push(format!("{number}: reported as not run, but ran"));
                }
                Some(Ending::Answer) if !ran => {
                    self.violations
                        .push(format!("{number}: an answer to a call that did not run"));
                }
                Some(Ending::Replay) if self.ran.is_empty() => {
                    self.violations
                        .push(format!("{number}: a replay of a call that did not run"));
                }
                Some(_) => {}
            }
        }
    }
}
