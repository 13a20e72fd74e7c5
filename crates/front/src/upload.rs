//! Reading the bodies of callers' requests.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::OutOfMemory;
use jujube_core::pipeline::memory::Size;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::http;

use crate::blocks::BLOCK;
use crate::blocks::Blocks;
use crate::blocks::Growing;
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
    pub body: Blocks,
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
        drop_rest(body);
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
    let mut received = Received::new(Memory::open(memory), limits.size);
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
        received.push(data)?;
    }
    Ok(received.finish())
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

/// Has the rest of a body that nobody needs read for a short time and dropped.
pub fn drop_rest<B: Body + Unpin + 'static>(body: B) {
    tokio::task::spawn_local(tokio::time::timeout(DISCARD_TIMEOUT, http::discard(body)));
}

/// The part of a body that has arrived.
struct Received {
    /// The only frame so far. Most bodies arrive in one and need no copy.
    first: Option<Bytes>,
    /// All of them, if there are more.
    blocks: Growing,
    /// The most that the body may have.
    limit: Size,
    /// What is reserved: as much as the blocks have room for.
    reservation: Reservation,
}

impl Received {
    fn new(reservation: Reservation, limit: Size) -> Self {
        Self {
            first: None,
            blocks: Growing::default(),
            limit,
            reservation,
        }
    }

    fn size(&self) -> Size {
        let first = self.first.as_ref().map_or(0, Bytes::len);
        Size(first as u64 + self.blocks.size())
    }

    fn push(&mut self, data: Bytes) -> Result<(), Refusal> {
        let size = Size(self.size().0 + data.len() as u64);
        if size > self.limit {
            return Err(Refusal::TooLarge);
        }
        if self.size() == Size(0) {
            self.reserve(size, Reservation::reserve)?;
            self.first = Some(data);
            return Ok(());
        }
        let whole = Size(size.0.next_multiple_of(BLOCK as u64));
        let is_spare = self.reserve(whole, Reservation::reserve_free).is_ok();
        if !is_spare {
            self.reserve(size, Reservation::reserve)?;
        }
        if let Some(first) = self.first.take() {
            self.blocks.extend(&first, is_spare);
        }
        self.blocks.extend(&data, is_spare);
        Ok(())
    }

    /// Reserves so much in all, in the way of `reserve`.
    fn reserve(
        &self,
        size: Size,
        reserve: impl Fn(&Reservation, Cause, Size) -> Result<(), OutOfMemory>,
    ) -> Result<(), Refusal> {
        let held = self.reservation.held();
        let missing = Size(size.0.saturating_sub(held.0));
        if missing == Size(0) {
            // The limit may be lower by now than what is held.
            return Ok(());
        }
        let reserved = reserve(&self.reservation, Cause::RequestBody, missing);
        reserved.map_err(|_| Refusal::OutOfMemory)
    }

    fn finish(mut self) -> Upload {
        let surplus = Size(self.reservation.held().0 - self.size().0);
        self.reservation.release(Cause::RequestBody, surplus);
        let only = self.first.take().map(Blocks::from);
        Upload {
            body: only.unwrap_or_else(|| self.blocks.finish()),
            reservation: self.reservation,
        }
    }
}
