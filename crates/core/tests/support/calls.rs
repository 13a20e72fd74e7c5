//! A world of calls to a plain service: entries, the key-value service, sidecars and the service.

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

/// A write or read of the claim.
#[derive(Clone, Debug)]
pub enum Ask {
    Create(Record),
    Read,
    Replace(Record, Record),
    Finish(Record),
    Release(Record),
}

/// Something on its way; the first number is the submission.
#[derive(Clone, Debug)]
pub enum Message {
    Kv(usize, Ask),
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
            Self::Kv(_, Ask::Create(_)) => "claim",
            Self::Kv(_, Ask::Read) => "read back",
            Self::Kv(_, Ask::Replace(..)) => "move claim",
            Self::Kv(_, Ask::Finish(_)) => "record",
            Self::Kv(_, Ask::Release(_)) => "free claim",
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

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// An entry is gone, with its submission.
    KillEntry(usize),
    /// A sidecar comes back without memory.
    RestartSidecar(usize),
    /// A sidecar and its service are gone.
    KillSidecar(usize),
    /// A sidecar takes no new work.
    Drain(usize),
    /// The key-value service fails from now on, and until the last submission.
    KvDown,
    /// The next message is lost.
    Lose,
    /// The next message comes long after its sender has given up on it.
    Late,
}

/// Guards that are switched off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mutation {
    /// A call that the deduplicator does not know is said to be not run, and not closed.
    pub forget_to_close: bool,
    /// A sidecar that restarted speaks for its earlier run.
    pub ignore_incarnation: bool,
    /// Calls are dispatched without a claim.
    pub no_claims: bool,
    /// An unclear dispatch is taken as not run.
    pub trust_silence: bool,
}

struct Sidecar {
    deduplicator: at_most_once::Deduplicator,
    incarnation: BootId,
    alive: bool,
    /// What the earlier runs had begun goes on at the service.
    life: u64,
}

struct Submission {
    call: Call,
    entry: usize,
    budget: Budget,
    /// Calls that were dispatched.
    calls: Vec<Request>,
}

/// How a submission ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Last {
    Answer,
    Replay,
    Refused(Refusal),
    EntryGone,
}

/// The world.
pub struct World {
    pub steps: Vec<&'static str>,
    pub broken: Vec<String>,
    pub last: BTreeMap<usize, Last>,
    /// Which calls ran.
    pub ran: Vec<Request>,
    now: u64,
    kv: Option<Record>,
    kv_down: bool,
    sidecars: Vec<Sidecar>,
    submissions: BTreeMap<usize, Submission>,
    gone: BTreeSet<usize>,
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
            let incarnation = BootId(100 + index as u64);
            Sidecar {
                deduplicator: at_most_once::Deduplicator::new(incarnation, 8),
                incarnation,
                alive: true,
                life: 0,
            }
        });
        Self {
            steps: Vec::new(),
            broken: Vec::new(),
            last: BTreeMap::new(),
            ran: Vec::new(),
            now: 1_000,
            kv: None,
            kv_down: false,
            sidecars: sidecars.collect(),
            submissions: BTreeMap::new(),
            gone: BTreeSet::new(),
            queue: VecDeque::new(),
            next_call: 1,
            mutation,
        }
    }

    /// Submits the same request again, through an entry.
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
                Action::Create(record) => self.send(Message::Kv(number, Ask::Create(record))),
                Action::Read => self.send(Message::Kv(number, Ask::Read)),
                Action::Replace(before, after) => {
                    self.send(Message::Kv(number, Ask::Replace(before, after)));
                }
                Action::Finish(record) => self.send(Message::Kv(number, Ask::Finish(record))),
                Action::Release(record) => self.send(Message::Kv(number, Ask::Release(record))),
                Action::Dispatch(dispatch) => {
                    let submission = self.submissions.get_mut(&number).unwrap();
                    submission.calls.push(dispatch.call);
                    self.send(Message::Dispatch(number, dispatch));
                }
                Action::Settle(dispatch) => self.send(Message::Settle(number, dispatch)),
                Action::Answer => self.end(number, Last::Answer),
                Action::Replay(_) => self.end(number, Last::Replay),
                Action::Refuse(refusal) => self.end(number, Last::Refused((*refusal).clone())),
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
            sidecar: self.sidecars[chosen].incarnation,
        });
        self.next_call += 1;
        let now = self.now;
        self.with(number, |call, _| call.chosen(now, dispatch));
    }

    fn end(&mut self, number: usize, last: Last) {
        if let Some(earlier) = self.last.insert(number, last.clone()) {
            self.broken
                .push(format!("{number}: {earlier:?}, then {last:?}"));
        }
    }

    fn send(&mut self, message: Message) {
        self.queue.push_back(message);
    }

    fn with(&mut self, number: usize, work: impl FnOnce(&mut Call, &mut Budget) -> Vec<Action>) {
        let submission = self.submissions.get_mut(&number).unwrap();
        if self.gone.contains(&submission.entry) {
            return;
        }
        let actions = work(&mut submission.call, &mut submission.budget);
        self.perform(number, actions);
    }

    /// Takes a fault.
    pub fn strike(&mut self, fault: &Fault) {
        match fault {
            Fault::KillEntry(entry) => {
                self.gone.insert(*entry);
                for (number, submission) in &self.submissions {
                    if submission.entry == *entry {
                        self.last.entry(*number).or_insert(Last::EntryGone);
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
                    self.give_up(&message);
                }
            }
            Fault::Late => {
                if let Some(message) = self.queue.pop_front() {
                    self.give_up(&message);
                    self.queue.push_back(message);
                }
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let sidecar = &mut self.sidecars[index];
        sidecar.life += 1;
        sidecar.incarnation = BootId(1_000 * sidecar.life + 100 + index as u64);
        sidecar.deduplicator = at_most_once::Deduplicator::new(sidecar.incarnation, 8);
        // Whoever waited for an answer has lost its connection.
        let waits = |message: &&Message| match message {
            Message::Run(_, dispatch) | Message::Ran(_, dispatch) => {
                self::index(&dispatch.server) == index
            }
            _ => false,
        };
        let waiting: Vec<Message> = self.queue.iter().filter(waits).cloned().collect();
        for message in waiting {
            self.give_up(&message);
        }
    }

    /// What a sender does that hears nothing.
    fn give_up(&mut self, message: &Message) {
        let number = message.submission();
        let now = self.now;
        match message {
            Message::Kv(_, Ask::Finish(_) | Ask::Release(_)) => {}
            Message::Kv(..) | Message::KvAnswer(..) => {
                self.with(number, |call, _| call.claimed(now, Outcome::Unknown));
            }
            Message::Dispatch(..)
            | Message::Run(..)
            | Message::Ran(..)
            | Message::Answered(_)
            | Message::Refused(..) => self.unclear(number),
            Message::Settle(..) | Message::Settled(..) => {
                self.with(number, |call, budget| {
                    call.settled(Verdict::MayHaveRun, budget)
                });
            }
        }
    }

    fn unclear(&mut self, number: usize) {
        if self.mutation.trust_silence {
            self.with(number, |call, budget| call.refused(Verdict::NotRun, budget));
            return;
        }
        self.with(number, |call, _| call.lost());
    }

    /// Handles one message; `false` when there is none.
    pub fn step(&mut self) -> bool {
        let Some(message) = self.queue.pop_front() else {
            return false;
        };
        self.steps.push(message.step());
        self.now += 1;
        self.handle(message);
        true
    }

    /// Returns the step that comes next.
    pub fn next_step(&self) -> &'static str {
        self.queue.front().map_or("idle", Message::step)
    }

    fn handle(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Kv(number, ask) => self.kv(number, ask),
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
                if sidecar.incarnation == dispatch.sidecar {
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

    fn kv(&mut self, number: usize, ask: Ask) {
        if self.kv_down {
            if !matches!(ask, Ask::Finish(_) | Ask::Release(_)) {
                self.send(Message::KvAnswer(number, Outcome::Down));
            }
            return;
        }
        let found = |kv: &Option<Record>| match kv {
            Some(record) => Outcome::Found(record.clone()),
            None => Outcome::Absent,
        };
        let outcome = match ask {
            Ask::Create(record) if self.kv.is_none() => {
                self.kv = Some(record);
                Outcome::Created
            }
            Ask::Create(_) | Ask::Read => found(&self.kv),
            Ask::Replace(before, after) if self.kv.as_ref() == Some(&before) => {
                self.kv = Some(after);
                Outcome::Created
            }
            Ask::Replace(..) => found(&self.kv),
            Ask::Finish(record) => {
                if self.kv.as_ref() == Some(&record) {
                    let progress = Progress::Done(Answer {
                        body: Some("answer".into()),
                        ..Answer::default()
                    });
                    self.kv = Some(Record { progress, ..record });
                }
                return;
            }
            Ask::Release(record) => {
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
            // The connection is refused: nothing was sent.
            self.send(Message::Refused(number, Verdict::NotRun));
            return;
        }
        let meant_for = if self.mutation.ignore_incarnation {
            sidecar.incarnation
        } else {
            dispatch.sidecar
        };
        match sidecar.deduplicator.begin(now, dispatch.call, meant_for) {
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
            let meant_for = if self.mutation.ignore_incarnation {
                sidecar.incarnation
            } else {
                dispatch.sidecar
            };
            let known = sidecar.deduplicator.state(dispatch.call).is_some();
            verdict = if self.mutation.forget_to_close && !known {
                Verdict::NotRun
            } else {
                sidecar.deduplicator.settle(now, dispatch.call, meant_for)
            };
        }
        self.send(Message::Settled(number, verdict));
    }

    /// Runs until nothing is on its way.
    pub fn settle_down(&mut self) {
        while self.step() {}
    }

    /// Heals the key-value service and lets time pass, as before a caller comes back later.
    pub fn heal(&mut self) {
        self.kv_down = false;
        self.now += 60_000;
        for sidecar in &mut self.sidecars {
            sidecar.alive = true;
        }
    }

    /// Judges what was seen from the outside.
    pub fn check(&mut self) {
        if self.ran.len() > 1 {
            self.broken.push(format!("ran {} times", self.ran.len()));
        }
        for (number, submission) in &self.submissions {
            let ran = submission.calls.iter().any(|call| self.ran.contains(call));
            match self.last.get(number) {
                None => self.broken.push(format!("{number}: no last word")),
                Some(Last::Refused(refusal)) if refusal.verdict == Verdict::NotRun && ran => {
                    self.broken
                        .push(format!("{number}: said to be not run, and it ran"));
                }
                Some(Last::Answer) if !ran => {
                    self.broken.push(format!("{number}: an answer to nothing"));
                }
                Some(Last::Replay) if self.ran.is_empty() => {
                    self.broken.push(format!("{number}: a replay of nothing"));
                }
                Some(_) => {}
            }
        }
    }
}
