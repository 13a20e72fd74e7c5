//! The response of one run, as far as it was read.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use jujube_core::pipeline::framing::Ended;
use jujube_core::pipeline::framing::Framing;

use crate::pool::Lease;
use crate::upstream::Incomplete;

/// The source of the events.
pub(super) enum Upstream {
    Reading(Download),
    /// The last run was lost; the next one is being opened.
    Lost,
    Done,
}

/// A response whose body is being read.
pub(super) struct Download {
    pub(super) body: Incoming,
    lease: Lease,
    headers: HeaderMap,
    pub(super) status: StatusCode,
    pub(super) framing: Framing,
    /// Whether a part of the body arrived.
    has_data: bool,
}

impl Download {
    /// Returns a response whose head has arrived, and its head.
    pub(super) fn begin(incomplete: Incomplete) -> (Self, Parts) {
        let (parts, body) = incomplete.response.into_parts();
        let download = Self {
            body,
            lease: incomplete.lease,
            headers: parts.headers.clone(),
            status: parts.status,
            framing: incomplete.framing,
            has_data: false,
        };
        (download, parts)
    }

    /// Records a part of the body; returns whether it is the first one.
    pub(super) fn begins(&mut self, data: &Bytes) -> bool {
        let is_first = !self.has_data && !data.is_empty();
        self.has_data |= is_first;
        is_first
    }

    /// Returns the response at the end of its body.
    pub(super) fn ended(&self) -> Ended {
        Ended {
            status: self.status.as_u16(),
            framing: self.framing,
            has_body: self.has_data,
        }
    }

    /// Returns the connection to the pool, once the body was read to its end.
    pub(super) fn release(self) {
        self.lease.release(&self.headers);
    }
}
