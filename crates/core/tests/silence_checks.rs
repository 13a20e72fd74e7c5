//! How often many entries check a server that answers nothing, and when they find out what became of it.

#[path = "support/registry.rs"]
mod registry;

use std::collections::BTreeMap;

use jujube_core::pipeline::liveness::Evidence;
use jujube_core::pipeline::local_health::LocalHealth;
use jujube_core::pipeline::roster::Roster;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::State;
use jujube_core::pipeline::suspicion::Suspicion;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use registry::server;

/// The interval at which suspects that are due are looked for.
const POLL: u64 = 100;
/// The timeout of a check.
const CHECK: Span = Span(100);
/// When a server falls silent.
const SILENT_AT: Instant = Instant(10_000);
/// How long after it fell silent its registration is removed: three heartbeats of 1.2 s.
const LAPSE: Span = Span(3_600);
/// The longest silence of a sound server, and how long after it an entry may still avoid the server: the
/// longest delay between two checks of an entry that checks alone.
const SILENCE: Span = Span(1_200);
const MAX_AVOIDED: Span = Span(1_600 + POLL + CHECK.0);

/// The entries that suspect one server, and tell each other.
struct Entries {
    suspicions: Vec<Suspicion>,
    local_health: LocalHealth,
    now: Instant,
    server: Incarnation,
    /// The checks that no answer has come to yet, by the number of their entry.
    pending: BTreeMap<usize, Instant>,
}

impl Entries {
    fn new(count: usize) -> Self {
        let mut local_health = LocalHealth::new(Span(25));
        // Late only long before the first check.
        (0..=SILENT_AT.0 / 25).for_each(|tick| local_health.tick(Instant(tick * 25)));
        Self {
            suspicions: vec![Suspicion::default(); count],
            local_health,
            now: SILENT_AT,
            server: "a".into(),
            pending: BTreeMap::new(),
        }
    }

    /// Has each entry suspect the server within a fifth of a second after it fell silent.
    fn suspect(&mut self) {
        let count = self.suspicions.len() as u64;
        for (number, suspicion) in self.suspicions.iter_mut().enumerate() {
            let delay = 120 + number as u64 * 200 / count;
            suspicion.suspect(SILENT_AT.plus(Span(delay)), &self.server);
        }
    }

    /// Plays on until a moment; the server answers checks that are under way at `answers_at` or sent later.
    fn play(&mut self, until: Instant, answers_at: Option<Instant>) {
        while self.now < until {
            self.now = self.now.plus(Span(25));
            self.local_health.tick(self.now);
            self.local_health.record_answer(self.now);
            self.end_checks(answers_at);
            if self.now.0 % POLL == 0 {
                self.report();
                self.start_checks();
            }
        }
    }

    fn end_checks(&mut self, answers_at: Option<Instant>) {
        let (now, server) = (self.now, &self.server);
        let is_over = |sent: &Instant| now.since(*sent) >= CHECK;
        let over: Vec<(usize, Instant)> = self
            .pending
            .iter()
            .filter(|(_, sent)| is_over(sent))
            .map(|(number, sent)| (*number, *sent))
            .collect();
        self.pending.retain(|_, sent| !is_over(sent));
        for (number, sent) in over {
            match answers_at.is_some_and(|at| at <= sent.plus(CHECK)) {
                true => {
                    self.suspicions[number].clear(server);
                }
                false => self.suspicions[number].check_failed(now, server),
            }
        }
    }

    /// Tells each entry how many others suspect the server.
    fn report(&mut self) {
        let server = &self.server;
        let all = self
            .suspicions
            .iter()
            .map(|s| u64::from(s.is_suspected(server)));
        let all: u64 = all.sum();
        for suspicion in &mut self.suspicions {
            let others = all - u64::from(suspicion.is_suspected(server));
            let others = (others > 0).then(|| (server.clone(), others));
            suspicion.set_peer_reports(self.now, others.into_iter().collect());
        }
    }

    fn start_checks(&mut self) {
        for (number, suspicion) in self.suspicions.iter_mut().enumerate() {
            if !suspicion.due(self.now).is_empty() {
                self.pending.insert(number, self.now);
            }
        }
    }

    fn suspecting(&self) -> usize {
        let suspicions = self.suspicions.iter();
        suspicions
            .filter(|suspicion| suspicion.is_suspected(&self.server))
            .count()
    }
}

/// Guards against a sound server that entries avoid for many times its silence, because each waits for
/// the checks of the others.
#[test]
fn a_server_that_goes_on_is_trusted_soon_by_many_entries() {
    for count in [1, 3, 10, 30, 100] {
        let mut entries = Entries::new(count);
        entries.suspect();
        let goes_on = SILENT_AT.plus(SILENCE);

        entries.play(goes_on.plus(MAX_AVOIDED), Some(goes_on));

        let suspecting = entries.suspecting();
        assert_eq!(suspecting, 0, "of {count} entries at {}", entries.now);
    }
}

/// Guards against requests that count runs on a dead server for good, because its many observers checked
/// it too rarely to know that it was silent for longer than a sound one.
#[test]
fn a_silent_server_has_ended_once_unregistered_for_many_entries() {
    for count in [1, 3, 10, 30, 100] {
        let mut entries = Entries::new(count);
        entries.suspect();

        entries.play(SILENT_AT.plus(LAPSE), None);

        let now = entries.now;
        let knowing = entries.suspicions.iter().filter(|suspicion| {
            let mut roster = Roster::default();
            roster.registered(SILENT_AT, server("a", State::Ready));
            roster.removed(now, &"a".into());
            roster.record_deaths(now, suspicion, &entries.local_health);
            roster.end(&entries.server) == Some(Evidence::Lapsed)
        });
        assert_eq!(knowing.count(), count, "of {count} entries");
    }
}
