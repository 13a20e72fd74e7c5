//! Reading the bodies of callers' requests.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::Size;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::memory::Memory;
use crate::memory::Reservation;

/// Maximum pause between two frames of a body.
const MAX_PAUSE: Span = Span(3_000);
/// Maximum time for a whole body, whatever the request's deadline is.
const MAX_TIME: Span = Span(30_000);
/// How long a body may arrive at any rate, so that one lost packet does not end it.
const RATE_GRACE: Span = Span(3_000);
/// Minimum average rate of a body after that.
const MIN_BYTES_PER_SECOND: u64 = 1 << 10;
/// How long the rest of a refused body is read and dropped. If the connection were closed with
/// unread data, its reset could reach the caller before the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// What a body has to meet.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a body.
    pub size: Size,
    /// When the request's response is due.
    pub deadline: Instant,
}

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It is larger than allowed.
    TooLarge,
    /// It did not arrive in time.
    Slow,
    /// It ended early.
    Broken,
    /// There is no room for it in the memory budget.
    OutOfMemory,
    /// The process stops, and its request could not be passed on in time.
    Overtaken,
}

/// A body that has arrived.
pub struct Upload {
    /// The bytes.
    pub bytes: Bytes,
    /// The memory that they use.
    pub reservation: Reservation,
}

/// Reads a body, unless it is `overtaken` by a stop. If it is refused, the rest is read for a short time
/// and dropped.
///
/// Memory is reserved for bytes that have arrived, not for those that the caller has announced.
///
/// # Errors
///
/// The body is not read to its end.
pub async fn read<B>(
    mut body: B,
    limits: Limits,
    memory: &Rc<Memory>,
    overtaken: impl Future<Output = ()>,
) -> Result<Upload, Refusal>
where
    B: Body<Data = Bytes> + Unpin + 'static,
{
    let announced = Size(body.size_hint().lower());
    let read = match check_announced(announced, limits.size, memory.capacity()) {
        Ok(()) => tokio::select! {
            biased;
            () = overtaken => Err(Refusal::Overtaken),
            read = read_frames(&mut body, limits, memory) => read,
        },
        Err(refusal) => Err(refusal),
    };
    if read.is_err() {
        tokio::task::spawn_local(discard(body));
    }
    read
}

async fn read_frames<B>(
    body: &mut B,
    limits: Limits,
    memory: &Rc<Memory>,
) -> Result<Upload, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
{
    let began = clock::now();
    let reservation = Memory::open(memory);
    let mut received = Received::default();
    loop {
        let now = clock::now();
        let due = due(began, now, received.size(), limits.deadline);
        let pause = Duration::from_millis(due.since(now).0);
        let frame = tokio::time::timeout(pause, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Refusal::Slow)? else {
            break;
        };
        let frame = frame.map_err(|_| Refusal::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = Size(data.len() as u64);
        if received.size().0 + size.0 > limits.size.0 {
            return Err(Refusal::TooLarge);
        }
        let reserved = reservation.reserve(Cause::RequestBody, size);
        reserved.map_err(|_| Refusal::OutOfMemory)?;
        received.push(data);
    }
    Ok(Upload {
        bytes: received.into_bytes(),
        reservation,
    })
}

fn check_announced(announced: Size, max: Size, capacity: Size) -> Result<(), Refusal> {
    if announced > max {
        return Err(Refusal::TooLarge);
    }
    if announced > capacity {
        return Err(Refusal::OutOfMemory);
    }
    Ok(())
}

/// Returns when the next frame of a body has to be there, or its end.
pub fn due(began: Instant, now: Instant, received: Size, deadline: Instant) -> Instant {
    let at_min_rate = Span(received.0.saturating_mul(1_000) / MIN_BYTES_PER_SECOND);
    let of_rate = began.plus(at_min_rate.max(RATE_GRACE));
    let of_whole = deadline.min(began.plus(MAX_TIME));
    now.plus(MAX_PAUSE).min(of_rate).min(of_whole)
}

async fn discard<B: Body + Unpin>(mut body: B) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    let _is_whole = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
}

/// The part of a body that has arrived.
#[derive(Default)]
struct Received {
    /// The only frame so far. Most bodies arrive in one and need no copy.
    first: Option<Bytes>,
    buffer: BytesMut,
}

impl Received {
    fn size(&self) -> Size {
        let first = self.first.as_ref().map_or(0, Bytes::len);
        Size((first + self.buffer.len()) as u64)
    }

    fn push(&mut self, data: Bytes) {
        if self.first.is_none() && self.buffer.is_empty() {
            self.first = Some(data);
            return;
        }
        if let Some(first) = self.first.take() {
            self.buffer.extend_from_slice(&first);
        }
        self.buffer.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        self.first.unwrap_or_else(|| self.buffer.freeze())
    }
}
