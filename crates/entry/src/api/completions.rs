//! Completions: the well-known shape, streamed or whole.

use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use jujube_core::admission::Share;
use jujube_core::blackboard::Snapshot;
use jujube_core::bundle::Kind;
use jujube_core::bundle::Offer;
use jujube_core::name::Customer;
use jujube_core::name::Service;
use jujube_core::refusal::Reason;
use jujube_core::refusal::Refusal;
use jujube_core::request::Request as RequestId;
use jujube_core::session::Spec;
use jujube_program::clock;
use jujube_program::http;
use jujube_program::http::Body;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use super::auth;
use super::claimed;
use super::problem;
use crate::admit::admit;
use crate::drive::Output;
use crate::drive::drive;
use crate::state::State;
use crate::tokenizer::Tokenizer;
use crate::tokenizer::Words;

/// The longest request body.
pub(crate) const LONGEST_BODY: usize = 1 << 20;
const DEFAULT_MAX_TOKENS: usize = 16;
const MOST_TOKENS: usize = 8192;

/// What a caller asks; members that are not known are ignored, as clients send many.
#[derive(Clone, Debug, Deserialize)]
struct Wanted {
    model: String,
    prompt: Prompt,
    #[serde(default)]
    max_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

/// A completion, or a part of one, as callers read it.
#[derive(Serialize)]
pub(crate) struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    logprobs: Option<()>,
    finish_reason: Option<&'static str>,
}

#[derive(Clone, Copy, Serialize)]
struct Usage {
    prompt_tokens: usize,
    completion_tokens: usize,
    total_tokens: usize,
}

/// Returns a part as a server-sent event.
fn event(chunk: &Chunk<'_>) -> String {
    // Plain structs of texts and numbers always have a JSON form.
    let json = serde_json::to_string(chunk).unwrap_or_default();
    format!("data: {json}\n\n")
}

/// A completion under way, and how it is described to the caller.
struct Job {
    id: RequestId,
    /// The identifier that callers see.
    name: String,
    service: Service,
    created: u64,
    prompt_tokens: usize,
    max_tokens: usize,
    /// Whether the last event tells the usage.
    usage: bool,
}

fn invalid(detail: impl Into<std::sync::Arc<str>>) -> Refusal {
    Refusal::not_run(Reason::Invalid, detail)
}

/// Answers `GET /v1/models`.
pub(crate) fn models(state: &State, headers: &HeaderMap) -> Result<Response<Body>, Refusal> {
    let snapshot = state.snapshot();
    let customer = auth::customer(&snapshot, headers)?;
    let usable = snapshot.bundle.services.iter().filter(|(service, offer)| {
        offer.kind == Kind::Model && snapshot.bundle.may_use(&customer, service)
    });
    let data = usable.map(|(service, _)| {
        json!({"id": service, "object": "model", "created": 0, "owned_by": "jujubeshore"})
    });
    let list = json!({"object": "list", "data": data.collect::<Value>()});
    Ok(http::json(StatusCode::OK, &list))
}

/// Answers `POST /v1/completions`.
pub(crate) async fn answer(
    state: &State,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let snapshot = state.snapshot();
    let (parts, body) = request.into_parts();
    let customer = auth::customer(&snapshot, &parts.headers)?;
    let body = Limited::new(body, LONGEST_BODY).collect().await;
    let body = body
        .map_err(|error| invalid(format!("body: {error}")))?
        .to_bytes();
    let wanted: Wanted =
        serde_json::from_slice(&body).map_err(|error| invalid(format!("body: {error}")))?;
    let service = Service::from(wanted.model.as_str());
    let offer = auth::offer(&snapshot, &customer, &service, Kind::Model)?;
    let share = share(&snapshot, &customer, offer);
    let (job, spec) = plan(state, &wanted, service)?;
    let key = claimed::key(&parts.headers)?;
    let call = Call {
        state: state.clone(),
        share,
        spec,
        job,
        stream: wanted.stream,
    };
    match key {
        None => call.answer().await,
        Some(key) => claimed::completion(call, &customer, &key, &body).await,
    }
}

/// Returns a customer's claim on a service's queue.
pub(crate) fn share(snapshot: &Snapshot, customer: &Customer, offer: &Offer) -> Share {
    let tenant = snapshot.bundle.customers.get(customer);
    Share {
        customer: customer.clone(),
        weight: tenant.map_or(1, |tenant| tenant.weight),
        limit: tenant.map_or(1, |tenant| tenant.max_in_flight),
        priority: offer.priority,
        max_wait: offer.max_wait,
    }
}

fn plan(state: &State, wanted: &Wanted, service: Service) -> Result<(Job, Spec), Refusal> {
    let text = match &wanted.prompt {
        Prompt::One(text) => text,
        Prompt::Many(texts) => match texts.as_slice() {
            [one] => one,
            _ => return Err(invalid("prompt: expected one text")),
        },
    };
    let prompt = Words.encode(text);
    if prompt.is_empty() {
        return Err(invalid("prompt: expected at least one word"));
    }
    let max_tokens = wanted.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > MOST_TOKENS {
        return Err(invalid(format!("max_tokens: expected 1 to {MOST_TOKENS}")));
    }
    let id = state.next_request();
    let job = Job {
        id,
        name: format!("cmpl-{id}"),
        service,
        created: clock::unix_millis() / 1000,
        prompt_tokens: prompt.len(),
        max_tokens,
        usage: wanted.stream_options.unwrap_or_default().include_usage,
    };
    let spec = Spec {
        request: id,
        prompt,
        max_tokens,
    };
    Ok((job, spec))
}

/// A completion that has been checked.
pub(crate) struct Call {
    pub(crate) state: State,
    share: Share,
    spec: Spec,
    job: Job,
    pub(crate) stream: bool,
}

impl Call {
    /// Returns the request's identifier.
    pub(crate) fn id(&self) -> RequestId {
        self.job.id
    }

    /// Runs the completion and answers in the form that was asked for.
    pub(crate) async fn answer(self) -> Result<Response<Body>, Refusal> {
        let stream = self.stream;
        let (job, first, outputs) = self.begin().await?;
        if stream {
            return Ok(job.streamed(first, outputs));
        }
        let text = job.collect(first, outputs).await?;
        Ok(http::json(StatusCode::OK, &job.whole(&text)))
    }

    /// Runs the completion and returns the whole answer as JSON.
    pub(crate) async fn collect(self) -> Result<String, Refusal> {
        let (job, first, outputs) = self.begin().await?;
        let text = job.collect(first, outputs).await?;
        Ok(serde_json::to_string(&job.whole(&text)).unwrap_or_default())
    }

    /// Waits for admission and for the first output: until then a refusal has a status of its own.
    async fn begin(self) -> Result<(Job, Output, mpsc::UnboundedReceiver<Output>), Refusal> {
        let (sender, mut outputs) = mpsc::unbounded_channel();
        let Self {
            state,
            share,
            spec,
            job,
            ..
        } = self;
        let service = job.service.clone();
        let admitted = {
            let admission = state.clone();
            let (ready, admitted) = tokio::sync::oneshot::channel();
            tokio::spawn(async move {
                let mut held = match admit(&admission, &service, &share).await {
                    Ok(held) => held,
                    Err(refusal) => {
                        let _caller_gone = sender.send(Output::Fail(refusal));
                        return;
                    }
                };
                // The slot is held as long as the session runs, whoever reads its outputs.
                let _caller_gone = ready.send(());
                drive(admission.clone(), service.clone(), spec, sender).await;
                held.ended_well();
            });
            admitted
        };
        // A refusal comes through the outputs.
        let _admitted = admitted.await;
        match outputs.recv().await {
            Some(Output::Fail(refusal)) => Err((*refusal).clone()),
            Some(first) => Ok((job, first, outputs)),
            None => Err(invalid("the session ended without an answer")),
        }
    }
}

impl Job {
    fn usage(&self, completion: usize) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: completion,
            total_tokens: self.prompt_tokens + completion,
        }
    }

    fn chunk<'a>(&'a self, text: &'a str, finish: Option<&'static str>) -> Chunk<'a> {
        Chunk {
            id: &self.name,
            object: "text_completion",
            created: self.created,
            model: &self.service.0,
            choices: vec![Choice {
                index: 0,
                text,
                logprobs: None,
                finish_reason: finish,
            }],
            usage: None,
        }
    }

    fn whole<'a>(&'a self, text: &'a str) -> Chunk<'a> {
        Chunk {
            usage: Some(self.usage(self.max_tokens)),
            ..self.chunk(text, Some("length"))
        }
    }

    async fn collect(
        &self,
        first: Output,
        mut outputs: mpsc::UnboundedReceiver<Output>,
    ) -> Result<String, Refusal> {
        let mut text = String::new();
        let mut next = Some(first);
        while let Some(output) = next {
            match output {
                Output::Tokens(tokens) => text.extend(tokens.iter().map(|t| Words.decode(*t))),
                Output::Finish => return Ok(text),
                Output::Fail(refusal) => return Err((*refusal).clone()),
            }
            next = outputs.recv().await;
        }
        Err(invalid("the session ended without an answer"))
    }

    fn streamed(self, first: Output, rest: mpsc::UnboundedReceiver<Output>) -> Response<Body> {
        let rest = futures::stream::unfold(rest, |mut rest| async move {
            rest.recv().await.map(|output| (output, rest))
        });
        let outputs = futures::stream::once(async move { first }).chain(rest);
        let events = outputs.map(move |output| {
            let text = self.event(&output);
            Ok::<_, Infallible>(Frame::data(Bytes::from(text)))
        });
        let body = StreamBody::new(events);
        let body = BodyExt::map_err(body, |never| -> io::Error { match never {} });
        let mut response = Response::new(body.boxed_unsync());
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        response
    }

    /// Returns an output as server-sent events. A failure is an event of its own: a stream that just
    /// ends could be taken for a whole answer.
    fn event(&self, output: &Output) -> String {
        match output {
            Output::Tokens(tokens) => {
                let text: String = tokens.iter().map(|token| Words.decode(*token)).collect();
                event(&self.chunk(&text, None))
            }
            Output::Finish => {
                let mut text = event(&self.chunk("", Some("length")));
                if self.usage {
                    text.push_str(&event(&Chunk {
                        choices: Vec::new(),
                        ..self.whole("")
                    }));
                }
                text.push_str("data: [DONE]\n\n");
                text
            }
            Output::Fail(refusal) => {
                format!(
                    "event: error\ndata: {}\n\n",
                    json!({"error": problem::json(refusal)})
                )
            }
        }
    }
}
