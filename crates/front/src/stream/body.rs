//! The response body of a stream, which continues across the loss of engines.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body as _;
use jujube_core::pipeline::attempts::Permission;
use jujube_core::pipeline::framing::Sender;
use jujube_core::pipeline::framing::Unproven;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::quarantine::BEGINNING;
use jujube_core::pipeline::quarantine::SURVIVAL;
use jujube_core::pipeline::relay::Fault;
use jujube_core::pipeline::relay::Relay;
use jujube_core::time::Instant;
use jujube_program::clock;
use jujube_program::event;
use tokio::sync::oneshot;

use crate::delivery::Completion;
use crate::dialect::Dialect;
use crate::framing;
use crate::quarantine;
use crate::reason::Reason;
use crate::upstream::Incomplete;
use crate::waiting::Permit;

use super::download::Download;
use super::download::Upstream;
use super::interrupt::Interrupt;
use super::open::Progress;
use super::open::Refusal;
use super::open::open;
use super::path::HeldPath;
use super::path::Registration;
use super::path::release_path;
use super::record::Loss;
use super::record::Stream;
use super::retry::ensure_retry;
use super::runs::earlier_servers;
use super::runs::permission;
use super::runs::record_loss;

/// A run that is being opened to replace the current or lost one.
pub(super) struct Opening<D> {
    result: oneshot::Receiver<Result<Incomplete, Refusal>>,
    /// The path of the current run, if it was not lost.
    current_path: HeldPath<D>,
    /// Why the current run should be replaced; `None` if it was lost.
    interrupt: Option<Interrupt>,
}

/// The response body of a stream.
pub struct EventBody<D> {
    /// Whether the body consists of events, as opposed to a backend server's error.
    pub(super) is_events: bool,
    pub(super) registration: Registration<D>,
    #[expect(dead_code, reason = "frees its slot when dropped")]
    pub(super) permit: Permit<D>,
    pub(super) relay: Relay,
    pub(super) upstream: Upstream,
    pub(super) opening: Option<Opening<D>>,
    pub(super) out: VecDeque<Bytes>,
}

type Next = Option<io::Result<Bytes>>;

impl<D: Dialect> EventBody<D> {
    /// Polls for the next complete event. Unless `may_read`, takes nothing more from the server.
    pub fn poll(&mut self, context: &mut Context<'_>, may_read: bool) -> Poll<Next> {
        let stream = self.registration.stream.clone();
        stream.body_waker.register(context.waker());
        loop {
            if let Some(bytes) = self.out.pop_front() {
                return Poll::Ready(Some(Ok(bytes)));
            }
            if stream.is_expired.get() {
                return Poll::Ready(self.abort("deadline"));
            }
            if self.is_reading() && self.opening.is_none() {
                let interrupt = stream.pending_interrupt.take();
                if let Some(end) = interrupt.and_then(|interrupt| self.handle_interrupt(interrupt))
                {
                    return Poll::Ready(end);
                }
            }
            if let Some(opening) = &mut self.opening {
                if let Poll::Ready(result) = Pin::new(&mut opening.result).poll(context) {
                    let result = result.unwrap_or_else(|_| Err((Reason::Failed, "stopped".into())));
                    if let Some(end) = self.handle_opened(result) {
                        return Poll::Ready(end);
                    }
                    continue;
                }
            }
            let polled = match &mut self.upstream {
                Upstream::Done => return Poll::Ready(None),
                Upstream::Lost => return Poll::Pending,
                Upstream::Reading(_) if !may_read => return Poll::Pending,
                Upstream::Reading(download) => Pin::new(&mut download.body).poll_frame(context),
            };
            let end = match polled {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => self.handle_data(data),
                    Err(_trailers) => None,
                },
                Poll::Ready(Some(Err(error))) => self.resume(&error.to_string(), self.broken()),
                Poll::Ready(None) => self.finish(),
            };
            if let Some(end) = end {
                return Poll::Ready(end);
            }
        }
    }

    fn handle_data(&mut self, data: Bytes) -> Option<Next> {
        self.record_data(&data);
        if !self.is_events {
            self.out.push_back(data);
            return None;
        }
        let mut events = Vec::new();
        let outcome = self.relay.feed(data, &mut events);
        let stream = &self.registration.stream;
        if !events.is_empty() {
            let now = clock::now();
            if stream.events.get() == 0 {
                self.registration.record_accepted();
                let elapsed = now.since(stream.arrived);
                self.registration
                    .state
                    .metrics
                    .observe("first_event", elapsed);
            }
            stream.record_event(now);
            self.registration.record_responded();
            self.record_survival(now);
            let interrupt = self.opening.as_ref().and_then(|opening| opening.interrupt);
            if interrupt.is_some_and(Interrupt::may_go_on) {
                stream.go_on();
            }
        }
        self.out.extend(events);
        match outcome {
            Ok(()) => None,
            // Another run would give the same, so no server is to blame.
            Err(Fault::TooLarge) => Some(self.abort("event-too-large")),
            Err(fault) => self.resume(&fault.to_string(), Loss::Broken),
        }
    }

    /// Records for each run that a part of its response's body arrived.
    fn record_data(&mut self, data: &Bytes) {
        let Upstream::Reading(download) = &mut self.upstream else {
            return;
        };
        if !download.begins(data) {
            return;
        }
        let (status, framing) = (download.status, download.framing);
        let first = self.current_first();
        let Registration { state, stream, .. } = &self.registration;
        let sender = sender(stream, first.as_ref());
        framing::received(state, sender, status, framing);
    }

    /// Records once for each run that its server lived on, and that the request survived its beginning.
    fn record_survival(&self, now: Instant) {
        let stream = &self.registration.stream;
        let Some(began) = stream.run_began.get() else {
            return;
        };
        let age = now.since(began);
        if age > BEGINNING {
            self.record_life();
        }
        if age >= SURVIVAL && !stream.has_survived.replace(true) {
            quarantine::survived(&self.registration.state, stream.features.request);
        }
    }

    fn record_life(&self) {
        let stream = &self.registration.stream;
        if !stream.has_lived.replace(true) {
            let sent = stream.run_sent.get();
            quarantine::lived(&self.registration.state, sent, &stream.features);
        }
    }

    fn finish(&mut self) -> Option<Next> {
        if let Err(fault) = self.relay.end() {
            return self.resume(&fault.to_string(), self.broken());
        }
        if let Err(unproven) = self.check_end() {
            return self.resume(&unproven.to_string(), self.broken());
        }
        let stream = &self.registration.stream;
        let state = &self.registration.state;
        if self.is_end_known() {
            quarantine::survived(state, stream.features.request);
            if stream.run_began.get().is_some() {
                self.record_life();
            }
        } else if let Some(first) = stream.first_part() {
            let run = stream.run_on(&first.server, stream.run_began.get());
            quarantine::lost(state, run.perhaps_complete());
        }
        if let Upstream::Reading(download) = std::mem::replace(&mut self.upstream, Upstream::Done) {
            download.release();
        }
        Some(None)
    }

    /// Checks whether the response of the current run is whole.
    fn check_end(&self) -> Result<(), Unproven> {
        let Upstream::Reading(download) = &self.upstream else {
            return Ok(());
        };
        let Registration { state, stream, .. } = &self.registration;
        let first = self.current_first();
        let sender = sender(stream, first.as_ref());
        framing::check(state, &stream.id, sender, download.ended())
    }

    /// Returns whether the server must have completed the response, and not crashed at the beginning of
    /// the run.
    fn is_end_known(&self) -> bool {
        let is_framed = match &self.upstream {
            Upstream::Reading(download) => download.framing.is_stated(),
            Upstream::Lost | Upstream::Done => true,
        };
        is_framed || self.registration.stream.has_lived.get()
    }

    /// Returns what is recorded once the caller has received the whole stream.
    pub(super) fn completion(&self) -> Completion {
        let stream = &self.registration.stream;
        Completion::Streamed {
            events: self.relay.events(),
            first_event_after: stream.first_event_after.get(),
            longest_gap: stream.longest_gap.get(),
            runs: stream.runs(),
            repairs: stream.repairs.get(),
        }
    }

    /// Returns how a run was lost whose connection ended early.
    fn broken(&self) -> Loss {
        if self.registration.stream.is_unread(clock::now()) {
            return Loss::Unread;
        }
        Loss::Broken
    }

    fn is_reading(&self) -> bool {
        matches!(self.upstream, Upstream::Reading(_))
    }

    /// Returns whether the stream may be resumed after its last complete event.
    fn can_resume(&self) -> bool {
        let stream = &self.registration.stream;
        let is_closed = permission(&self.registration.state, stream) == Permission::Denied;
        self.is_events && stream.route.resumable && !is_closed
    }

    /// Replaces the current run: immediately if it is lost, otherwise once another one is open.
    fn handle_interrupt(&mut self, interrupt: Interrupt) -> Option<Next> {
        if interrupt == Interrupt::FirstDead {
            return self.resume("abandoned", Loss::Dead);
        }
        if !self.can_resume() {
            return self.keep_run(interrupt, "no-server-left");
        }
        let state = &self.registration.state;
        let stream = &self.registration.stream;
        // A run whose first server is silent waits for a retry while it is kept. For others the
        // watchdog may still find another path, which needs no retry; it skips streams that are being
        // opened.
        if interrupt != Interrupt::FirstSilent {
            if !ensure_retry(state, stream) {
                return self.keep_run(interrupt, "no-retry-left");
            }
            if let Some(first) = stream.first_part() {
                state.failed(&first.server, stream.features.request);
            }
        }
        self.start_open(Some(interrupt), "abandoned");
        None
    }

    /// Returns the first part of the current run's path.
    fn current_first(&self) -> Option<Part> {
        let current_path = self
            .opening
            .as_ref()
            .and_then(|opening| opening.current_path.first());
        let stream = &self.registration.stream;
        current_path.cloned().or_else(|| stream.first_part())
    }

    /// Resumes the stream on another path after its last complete event, if the route allows it.
    fn resume(&mut self, cause: &str, loss: Loss) -> Option<Next> {
        let state = &self.registration.state;
        let stream = &self.registration.stream;
        if let Some(first) = self.current_first() {
            record_loss(state, stream, &first, loss, stream.run_began.get());
        }
        // Dropping the body closes its connection, which stops the engine.
        self.upstream = Upstream::Lost;
        if let Some(opening) = &mut self.opening {
            opening.current_path.release();
            return None;
        }
        if !self.can_resume() {
            return Some(self.abort(cause));
        }
        release_path(state, stream);
        self.start_open(None, cause);
        None
    }

    /// Starts to open another run; the current one, if there is one, continues meanwhile.
    fn start_open(&mut self, interrupt: Option<Interrupt>, cause: &str) {
        let state = &self.registration.state;
        let stream = &self.registration.stream;
        let last = self.relay.last();
        event!(
            Info,
            "resuming",
            request = stream.id,
            after = last.unwrap_or(0),
            path = [stream.path_text()],
            cause
        );
        state.metrics.count("streams_resumed");
        stream.has_gone_on.set(false);
        let (sender, result) = oneshot::channel();
        let current_path = HeldPath::detach(state, stream);
        let current_server = current_path.first().map(|first| first.server.clone());
        self.opening = Some(Opening {
            result,
            current_path,
            interrupt,
        });
        let (state, stream) = (state.clone(), stream.clone());
        tokio::task::spawn_local(async move {
            let result = open(&state, &stream, last, Progress::Started(current_server)).await;
            // If the client has disconnected, the receiver is gone and the new run is dropped.
            let _client_gone = sender.send(result);
        });
    }

    /// Switches to the newly opened run, or handles the failure to open it.
    fn handle_opened(&mut self, result: Result<Incomplete, Refusal>) -> Option<Next> {
        let opening = self.opening.take()?;
        match (result, opening.interrupt) {
            (Ok(incomplete), interrupt) => {
                let (state, stream) = (&self.registration.state, &self.registration.stream);
                match (opening.current_path.first(), interrupt) {
                    (Some(first), Some(Interrupt::FirstSilent)) => {
                        let began = stream.run_began.get();
                        record_loss(state, stream, first, Loss::Silent, began);
                    }
                    (Some(first), _) => stream.attempts.borrow_mut().left(&first.server),
                    (None, _) => {}
                }
                self.switch_to(incomplete);
                None
            }
            (Err((_, cause)), Some(interrupt)) if self.is_reading() => {
                opening.current_path.restore();
                // Leaves the unused retry to other requests.
                self.registration.stream.retry.take();
                // An interrupt that arrived meanwhile concerns the run that failed to open.
                self.registration.stream.pending_interrupt.take();
                self.keep_run(interrupt, &cause)
            }
            // The run went on, which ended the opening, and was then lost.
            (Err(_), Some(_))
                if self.registration.stream.has_gone_on.get() && self.can_resume() =>
            {
                release_path(&self.registration.state, &self.registration.stream);
                self.start_open(None, "run-lost");
                None
            }
            (Err((_, cause)), _) => Some(self.abort(&cause)),
        }
    }

    /// Keeps the stream on its current run.
    ///
    /// A stalled run may recover and a dead part may be replaced, while an aborted stream is lost. It is
    /// aborted only after any client has disconnected.
    fn keep_run(&mut self, interrupt: Interrupt, cause: &str) -> Option<Next> {
        let stream = &self.registration.stream;
        if stream.has_outlasted_client(clock::now()) {
            return Some(self.abort(cause));
        }
        self.registration.state.metrics.count("streams_kept");
        event!(
            Info,
            "run-kept",
            request = stream.id,
            events = stream.events.get(),
            path = [stream.path_text()],
            urge = interrupt,
            cause
        );
        None
    }

    fn switch_to(&mut self, incomplete: Incomplete) {
        self.relay.restart();
        self.registration.stream.run_began.set(None);
        self.registration.stream.has_lived.set(false);
        let (download, _) = Download::begin(incomplete);
        self.upstream = Upstream::Reading(download);
    }

    /// Aborts the response; the client sees a truncated body.
    fn abort(&mut self, cause: &str) -> Next {
        let stream = &self.registration.stream;
        let state = &self.registration.state;
        state.metrics.count("streams_cut");
        let now = clock::now();
        event!(
            Warn,
            "cut",
            request = stream.id,
            events = self.relay.events(),
            took_ms = now.since(stream.arrived),
            silent_ms = now.since(stream.last_read()),
            earlier = [earlier_servers(state, stream)],
            path = [stream.path_text()],
            cause
        );
        self.upstream = Upstream::Done;
        Some(Err(io::Error::other(
            "stream was interrupted and cannot be resumed",
        )))
    }
}

/// Returns who sends the response of a run whose path begins with a part.
fn sender<'a>(stream: &'a Stream, first: Option<&'a Part>) -> Sender<'a> {
    Sender {
        service: &stream.service,
        server: first.map(|first| &first.server),
    }
}
