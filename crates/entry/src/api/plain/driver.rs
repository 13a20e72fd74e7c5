//! Carrying out a call's actions.

use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use jujube_core::blackboard::Target;
use jujube_core::call::Action;
use jujube_core::call::Call;
use jujube_core::call::Dispatch;
use jujube_core::claim::Outcome;
use jujube_core::claim::Record;
use jujube_core::refusal::Reason;
use jujube_core::refusal::Refusal;
use jujube_core::retry::Budget;
use jujube_core::verdict::Verdict;
use jujube_program::clock;
use jujube_program::http;
use jujube_program::http::Body;
use jujube_wire::plain::remove_hop_by_hop;

use super::caller::Booked;
use super::caller::Caller;
use crate::api::claimed;
use crate::api::claimed::Place;
use crate::api::dispatch::Sent;
use crate::api::dispatch::send;

/// Carries out a call's actions.
pub(super) struct Driver<'a> {
    pub(super) call: Call,
    pub(super) caller: Caller<'a>,
    pub(super) place: Option<Place>,
    pub(super) kept: Option<Bytes>,
    pub(super) once: Option<Incoming>,
    pub(super) target: Option<Target>,
    pub(super) response: Option<(Response<Incoming>, Booked)>,
}

impl Driver<'_> {
    pub(super) async fn run(&mut self) -> Result<Response<Body>, Refusal> {
        let mut actions = self.call.start();
        loop {
            let mut next = Vec::new();
            let mut last = None;
            let mut finish = None;
            let mut answer = None;
            for action in actions {
                match action {
                    Action::Answer => answer = self.response.take(),
                    Action::Replay(answer) => last = Some(Ok(claimed::replay(answer))),
                    Action::Refuse(refusal) => last = Some(Err((*refusal).clone())),
                    Action::Finish(record) => finish = Some(record),
                    Action::Release(record) => self.release(record),
                    waits => next = self.wait(waits).await,
                }
            }
            if let Some((response, booked)) = answer {
                return self.pass_on(response, booked, finish).await;
            }
            if let Some(last) = last {
                return last;
            }
            actions = next;
        }
    }

    /// Carries out an action that has an answer, and returns what comes next.
    async fn wait(&mut self, action: Action) -> Vec<Action> {
        let now = clock::unix_millis();
        match action {
            Action::Choose(excluded) => {
                self.target = self.caller.choose(&excluded);
                let dispatch = self.target.as_ref().map(|target| Dispatch {
                    call: self.caller.state.next_request(),
                    server: Some(target.server.clone()),
                    sidecar: target.sidecar,
                });
                self.call.chosen(now, dispatch)
            }
            Action::Create(record) => {
                let outcome = self
                    .claim(|place| async move { place.create(&record).await })
                    .await;
                self.call.claimed(now, outcome)
            }
            Action::Read => {
                let outcome = self.claim(|place| async move { place.read().await }).await;
                self.call.claimed(now, outcome)
            }
            Action::Replace(before, after) => {
                let replace = |place: Place| async move { place.replace(&before, &after).await };
                let outcome = self.claim(replace).await;
                self.call.claimed(now, outcome)
            }
            Action::Dispatch(dispatch) => self.dispatch(&dispatch).await,
            Action::Settle(dispatch) => {
                let verdict = self.caller.settle(&dispatch).await;
                let service = self.caller.service.clone();
                let call = &mut self.call;
                self.caller
                    .state
                    .budget(&service, |budget| call.settled(verdict, budget))
            }
            Action::Answer
            | Action::Finish(_)
            | Action::Release(_)
            | Action::Replay(_)
            | Action::Refuse(_) => Vec::new(),
        }
    }

    async fn claim<F: Future<Output = Outcome>>(&self, ask: impl FnOnce(Place) -> F) -> Outcome {
        match self.place.clone() {
            Some(place) => ask(place).await,
            None => Outcome::Down,
        }
    }

    fn release(&self, record: Record) {
        if let Some(place) = self.place.clone() {
            place.release(record);
        }
    }

    async fn dispatch(&mut self, dispatch: &Dispatch) -> Vec<Action> {
        let Some(target) = self.target.clone() else {
            return Vec::new();
        };
        let body = match (&self.kept, self.once.take()) {
            (Some(kept), _) => http::whole(kept.clone()),
            (None, Some(body)) => body.map_err(io::Error::other).boxed_unsync(),
            (None, None) => http::whole(""),
        };
        let caller = &self.caller;
        let state = caller.state;
        let booked = caller.book(&target);
        let request = caller.request(body);
        match send(state, &target, dispatch.call, caller.idempotent, request).await {
            Sent::Answered(response) => {
                state.budget(&caller.service, Budget::succeeded);
                self.response = Some((response, booked));
                self.call.answered()
            }
            Sent::Refused(verdict) => {
                let call = &mut self.call;
                state.budget(&caller.service, |budget| call.refused(verdict, budget))
            }
            Sent::Unclear => self.call.lost(),
        }
    }

    /// Gives the answer to the caller; with a claim it is kept as well, when it is short.
    async fn pass_on(
        &self,
        response: Response<Incoming>,
        booked: Booked,
        finish: Option<Record>,
    ) -> Result<Response<Body>, Refusal> {
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        let (Some(record), Some(place)) = (finish, self.place.clone()) else {
            return Ok(Response::from_parts(parts, http::held(body, booked)));
        };
        let text = |name| {
            parts
                .headers
                .get(name)
                .and_then(|value: &HeaderValue| value.to_str().ok())
        };
        let kind = text(CONTENT_TYPE).map(str::to_string);
        let length: Option<usize> = text(CONTENT_LENGTH).and_then(|text| text.parse().ok());
        if length.is_none_or(|length| length > claimed::LONGEST_KEPT) {
            let mut answer = claimed::kept(parts.status, kind, &Bytes::new());
            answer.body = None;
            place.finish(record, answer);
            return Ok(Response::from_parts(parts, http::held(body, booked)));
        }
        match body.collect().await {
            Ok(body) => {
                let body = body.to_bytes();
                place.finish(record, claimed::kept(parts.status, kind, &body));
                Ok(Response::from_parts(parts, http::whole(body)))
            }
            Err(error) => {
                let mut answer = claimed::kept(parts.status, kind, &Bytes::new());
                answer.body = None;
                place.finish(record, answer);
                let refusal = Refusal::not_run(Reason::BackendFailed, error.to_string());
                Err(refusal.verdict(Verdict::Ran))
            }
        }
    }
}
