//! Responses on their way to callers, and what is recorded of them.

use std::rc::Rc;
use std::sync::Arc;

use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;

use crate::metrics::Metrics;
use crate::request::Guard;

use super::Delivery;

/// What is recorded once a caller has received a whole response.
#[derive(Clone, Debug)]
pub enum Completion {
    /// A stream.
    Streamed {
        events: u64,
        first_event_after: Span,
        longest_gap: Span,
        runs: usize,
        repairs: u64,
    },
    /// A plain response.
    Answered { status: u16 },
}

/// A response that the caller has not received yet.
pub(super) struct Receipt {
    request: Arc<str>,
    arrived: Instant,
    written_before: u64,
    /// Whether its head was passed to the connection.
    has_begun: bool,
    /// `None` while the response is incomplete.
    completion: Option<Completion>,
    #[expect(dead_code, reason = "counts the request in flight until dropped")]
    guard: Guard,
}

impl Receipt {
    pub(super) fn record_delivered(self, metrics: &Metrics) {
        let request = &self.request;
        let elapsed = clock::now().since(self.arrived);
        match &self.completion {
            Some(Completion::Streamed {
                events,
                first_event_after,
                longest_gap,
                runs,
                repairs,
            }) => {
                metrics.count("streams_completed");
                metrics.observe("stream", elapsed);
                event!(
                    Info,
                    "streamed",
                    request,
                    events,
                    took_ms = elapsed,
                    first_ms = first_event_after,
                    longest_pause_ms = longest_gap,
                    runs,
                    repairs
                );
            }
            Some(Completion::Answered { status }) => {
                metrics.count("requests_answered");
                metrics.observe("answer", elapsed);
                event!(Info, "answered", request, status, took_ms = elapsed);
            }
            None => {}
        }
    }

    pub(super) fn record_undelivered(self, delivery: &Delivery) {
        delivery.metrics.count("responses_undelivered");
        event!(
            Info,
            "undelivered",
            request = self.request,
            bytes = delivery.written.get() - self.written_before,
            cause = delivery.end.get(),
            is_complete = self.completion.is_some()
        );
    }
}

/// A response to a caller. If it has begun and is dropped before the connection has all of it, it is
/// recorded as undelivered.
pub struct Outbound {
    receipt: Option<Receipt>,
    delivery: Rc<Delivery>,
}

impl Outbound {
    /// Prepares to send the response to a request.
    pub fn new(delivery: Rc<Delivery>, guard: Guard, request: Arc<str>, arrived: Instant) -> Self {
        let receipt = Receipt {
            request,
            arrived,
            written_before: delivery.written.get(),
            has_begun: false,
            completion: None,
            guard,
        };
        Self {
            receipt: Some(receipt),
            delivery,
        }
    }

    /// Returns the progress of the caller's connection.
    pub fn delivery(&self) -> &Rc<Delivery> {
        &self.delivery
    }

    /// Records that the head of the response is sent.
    pub fn begin(&mut self) {
        if let Some(receipt) = &mut self.receipt {
            receipt.has_begun = true;
            self.delivery.request.replace(receipt.request.clone());
        }
    }

    /// Returns how many bytes the connection has taken since the request arrived.
    pub fn written(&self) -> u64 {
        let before = self.receipt.as_ref().map(|receipt| receipt.written_before);
        self.delivery.written.get() - before.unwrap_or_default()
    }

    /// Records that the response is complete at this entry.
    pub fn complete(&mut self, completion: Completion) {
        if let Some(receipt) = &mut self.receipt {
            receipt.completion = Some(completion);
        }
    }

    /// Records that every byte was passed to the connection, which may not have written all yet.
    pub fn finish(&mut self) {
        let mut unflushed = self.delivery.unflushed.borrow_mut();
        unflushed.extend(self.receipt.take());
    }

    /// Records that the response is aborted; the caller sees a truncated body.
    pub fn abort(&mut self) {
        self.receipt.take();
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        if let Some(receipt) = self.receipt.take().filter(|receipt| receipt.has_begun) {
            receipt.record_undelivered(&self.delivery);
        }
    }
}
