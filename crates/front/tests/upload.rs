//! Reading of request bodies: bounds of size, memory and time, and refusals that reach the caller.

#![allow(clippy::unwrap_used, reason = "a test that fails must panic")]

#[path = "../src/blocks.rs"]
mod blocks;
#[allow(dead_code, reason = "uploads use a part of it")]
#[path = "../src/memory.rs"]
mod memory;
#[path = "../src/upload.rs"]
mod upload;

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::pending;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::mpsc;
use futures::channel::mpsc::UnboundedReceiver;
use futures::channel::mpsc::UnboundedSender;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::Size;
use jujube_core::pipeline::total::Part;
use jujube_core::pipeline::total::Total;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use memory::Memory;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use upload::Limits;
use upload::Refusal;
use upload::Upload;

const MAX_SIZE: u64 = 4 << 20;
const FAR: Instant = Instant(1_000_000);
/// Longer than a caller must have taken nothing before it may be evicted.
const IDLE: Duration = Duration::from_millis(8_050);

type Item = Result<Frame<Bytes>, &'static str>;

/// A body that announces a length, whatever arrives.
struct Announcing {
    body: StreamBody<UnboundedReceiver<Item>>,
    length: u64,
}

impl Body for Announcing {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

fn body(length: u64) -> (UnboundedSender<Item>, Announcing) {
    let (sender, receiver) = mpsc::unbounded();
    let body = StreamBody::new(receiver);
    (sender, Announcing { body, length })
}

fn send(sender: &UnboundedSender<Item>, size: usize) {
    let data = Bytes::from(vec![b'x'; size]);
    sender.unbounded_send(Ok(Frame::data(data))).unwrap();
}

fn limits() -> Limits {
    Limits {
        size: Size(MAX_SIZE),
        deadline: clock::now().plus(Span(20_000)),
    }
}

fn memory(capacity: u64) -> Rc<Memory> {
    Rc::new(Memory::new(Size(capacity)))
}

fn held(memory: &Memory) -> u64 {
    memory.held_for(Cause::RequestBody).0
}

async fn read<B>(body: B, limits: Limits, memory: &Rc<Memory>) -> Result<Upload, Refusal>
where
    B: Body<Data = Bytes> + Unpin + 'static,
{
    let local = LocalSet::new();
    local
        .run_until(upload::read(body, limits, memory, pending()))
        .await
}

fn whole(upload: &Upload) -> Vec<u8> {
    upload.body.iter().collect::<Vec<_>>().concat()
}

/// Guards against bytes that are lost or counted twice between frames, and against a reservation
/// that ends before the body is dropped, or does not end.
#[tokio::test]
async fn a_body_is_reserved_for_as_long_as_it_is_kept() {
    let memory = memory(1_000);
    let (sender, body) = body(0);
    let frames = ["he", "", "llo", " there"];
    frames.iter().for_each(|text| {
        let frame = Frame::data(Bytes::from_static(text.as_bytes()));
        sender.unbounded_send(Ok(frame)).unwrap();
    });
    drop(sender);

    let upload = read(body, limits(), &memory).await.ok().unwrap();

    assert_eq!(whole(&upload), b"hello there");
    assert_eq!((upload.reservation.held(), held(&memory)), (Size(11), 11));
    drop(upload);
    assert_eq!(held(&memory), 0);
}

/// Guards against bodies that are collected in ever larger blocks: what one frees is of no use to what
/// else the entry keeps, and it exceeds its memory while it holds half of it.
#[tokio::test]
async fn a_long_body_is_kept_in_blocks_of_one_size() {
    const SIZE: usize = 1_000_000;
    let data: Vec<u8> = (0..SIZE).map(|index| (index % 251) as u8).collect();
    for capacity in [MAX_SIZE, SIZE as u64] {
        let memory = memory(capacity);
        let (sender, body) = body(SIZE as u64);
        for frame in data.chunks(8_191) {
            let frame = Frame::data(Bytes::copy_from_slice(frame));
            sender.unbounded_send(Ok(frame)).unwrap();
        }
        drop(sender);

        let upload = read(body, limits(), &memory).await.ok().unwrap();

        let largest = upload.body.iter().map(<[u8]>::len).max();
        assert_eq!(largest, Some(blocks::BLOCK));
        assert_eq!(upload.body.iter().count(), SIZE.div_ceil(blocks::BLOCK));
        assert!(whole(&upload) == data);
        assert_eq!(held(&memory), SIZE as u64);
    }
}

/// Guards against a body whose last block keeps room that is no longer reserved.
#[tokio::test]
async fn a_body_keeps_no_more_than_is_reserved_for_it() {
    for size in [200, blocks::BLOCK + 6] {
        let (sender, body) = body(0);
        send(&sender, 1);
        send(&sender, size - 1);
        drop(sender);

        let upload = read(body, limits(), &memory(MAX_SIZE)).await.ok().unwrap();

        let Upload { body, reservation } = upload;
        let mut body = body;
        let mut frames = Vec::new();
        while let Some(frame) = body.frame().await {
            frames.push(frame.unwrap().into_data().unwrap());
        }
        drop(body);
        let kept = frames
            .into_iter()
            .map(|data| data.try_into_mut().unwrap().capacity());
        assert_eq!(kept.sum::<usize>(), size);
        assert_eq!(reservation.held(), Size(size as u64));
    }
}

/// Guards against a body that is refused because others need the rest of the memory, although what it
/// has reserved already has room for it.
#[tokio::test]
async fn a_body_goes_on_within_what_is_reserved_for_it() {
    let total = Rc::new(RefCell::new(Total::of(None)));
    let memory = Rc::new(Memory::new(Size(MAX_SIZE)).within(total.clone()));
    let (sender, body) = body(0);
    send(&sender, 10);
    send(&sender, 10);
    let reading = read(body, limits(), &memory);
    tokio::pin!(reading);
    let pending = tokio::time::timeout(Duration::from_millis(50), reading.as_mut()).await;
    assert!(pending.is_err());
    assert_eq!(held(&memory), blocks::BLOCK as u64);

    let all = total.borrow().capacity();
    total.borrow_mut().record(Part::Places, all);
    send(&sender, blocks::BLOCK - 20);
    drop(sender);

    assert!(reading.await.is_ok());
}

/// Guards against a body that is copied although it arrived at once, and against one without bytes
/// that is refused where nothing is free.
#[tokio::test]
async fn whole_and_empty_bodies_are_read() {
    let data = Bytes::from_static(b"whole");
    let body = Full::new(data.clone());

    let whole = read(body, limits(), &memory(5)).await.ok().unwrap();
    let empty = Full::new(Bytes::new());
    let empty = read(empty, limits(), &memory(0)).await.ok().unwrap();

    assert_eq!(whole.body.iter().next().unwrap().as_ptr(), data.as_ptr());
    assert_eq!(empty.body.iter().count(), 0);
}

/// Guards against memory that is reserved for what a caller announces and never sends, and against
/// a part of a body that stays reserved after its caller has disconnected.
#[tokio::test]
async fn only_bytes_that_have_arrived_are_reserved() {
    let memory = memory(MAX_SIZE);
    let (sender, body) = body(MAX_SIZE);
    send(&sender, 100);
    let reading = read(body, limits(), &memory);
    tokio::pin!(reading);
    let pending = tokio::time::timeout(Duration::from_millis(50), reading.as_mut()).await;
    assert!(pending.is_err());
    assert_eq!(held(&memory), 100);

    sender.unbounded_send(Err("disconnected")).unwrap();
    let refused = reading.await;

    assert_eq!(refused.err(), Some(Refusal::Broken));
    assert_eq!(held(&memory), 0);
}

/// Guards against announced lengths that are found to be too large only after they have arrived.
#[tokio::test]
async fn announced_lengths_that_cannot_fit_are_refused_at_once() {
    let refuse = async |length, capacity| {
        let (_sender, body) = body(length);
        let memory = memory(capacity);
        let reading = read(body, limits(), &memory);
        let at_once = tokio::time::timeout(Duration::from_millis(100), reading).await;
        at_once.unwrap().err().unwrap()
    };

    assert_eq!(refuse(MAX_SIZE + 1, 2 * MAX_SIZE).await, Refusal::TooLarge);
    assert_eq!(refuse(MAX_SIZE + 1, 1_000).await, Refusal::TooLarge);
    assert_eq!(refuse(1_001, 1_000).await, Refusal::OutOfMemory);
    assert_eq!(refuse(u64::MAX, u64::MAX).await, Refusal::TooLarge);
}

/// Guards against bodies that grow beyond the limit or the budget without an announced length, and
/// against what stays reserved for them.
#[tokio::test]
async fn bodies_that_turn_out_too_large_are_refused() {
    for (capacity, expected) in [
        (9_000_000, Refusal::TooLarge),
        (3_000_000, Refusal::OutOfMemory),
    ] {
        let memory = memory(capacity);
        let (sender, body) = body(0);
        (0..9).for_each(|_| send(&sender, 500_000));

        let refused = read(body, limits(), &memory).await;

        assert_eq!(refused.err(), Some(expected));
        assert_eq!(held(&memory), 0);
    }
}

/// Guards against a body that arrives after its request's deadline, frame by frame.
#[tokio::test]
async fn a_body_arrives_within_the_deadline_of_its_request() {
    let (sender, body) = body(0);
    let limits = Limits {
        deadline: clock::now().plus(Span(200)),
        ..limits()
    };
    let began = clock::now();
    let sending = async {
        loop {
            send(&sender, 5_000);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let memory = memory(MAX_SIZE);

    let refused = tokio::select! {
        refused = read(body, limits, &memory) => refused.err(),
        () = sending => None,
    };

    assert_eq!(refused, Some(Refusal::Slow));
    let took = clock::now().since(began).0;
    assert!((200..1_000).contains(&took), "{took}");
}

/// Guards against an upload of a byte now and then, which no single pause shows.
#[tokio::test]
async fn a_body_that_arrives_byte_by_byte_is_refused_after_the_grace() {
    let (sender, body) = body(0);
    let began = clock::now();
    let sending = async {
        loop {
            send(&sender, 1);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let memory = memory(MAX_SIZE);

    let refused = tokio::select! {
        refused = read(body, limits(), &memory) => refused.err(),
        () = sending => None,
    };

    assert_eq!(refused, Some(Refusal::Slow));
    let took = clock::now().since(began).0;
    assert!((3_000..4_500).contains(&took), "{took}");
    assert_eq!(held(&memory), 0);
}

/// Guards against a bound that is missing, or that ends a body that arrives fast enough.
#[test]
fn each_bound_is_the_next_one_where_it_is_the_first() {
    let due = |now, received, deadline| {
        let due = upload::due(Instant(1_000), Instant(now), Size(received), deadline);
        due.0 - 1_000
    };

    assert_eq!(due(1_000, 0, FAR), 3_000, "pause and grace");
    assert_eq!(due(3_500, 0, FAR), 3_000, "grace");
    assert_eq!(due(3_500, 5 << 10, FAR), 5_000, "rate");
    assert_eq!(due(3_500, 1 << 20, FAR), 5_500, "pause");
    assert_eq!(due(30_000, 1 << 20, FAR), 30_000, "whole");
    assert_eq!(due(1_500, 1 << 20, Instant(2_000)), 1_000, "deadline");
    assert_eq!(due(1_500, u64::MAX, FAR), 3_500, "no overflow");
}

/// Guards against a refusal that is lost because the connection is reset while the caller still
/// sends: the caller would not know that its request did not run.
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_sends_everything_first() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = async {
        let (stream, _) = listener.accept().await.unwrap();
        let service = service_fn(|request: hyper::Request<hyper::body::Incoming>| async {
            let read =
                upload::read(request.into_body(), limits(), &memory(MAX_SIZE), pending()).await;
            let mut response = Response::new(Full::new(Bytes::new()));
            *response.status_mut() = hyper::StatusCode::PAYLOAD_TOO_LARGE;
            assert_eq!(read.err(), Some(Refusal::TooLarge));
            Ok::<_, Infallible>(response)
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connection.await.unwrap();
    };
    let caller = async {
        let length = 4 * MAX_SIZE as usize;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![b'x'; length]).await.unwrap();
        let mut status = [0; 12];
        stream.read_exact(&mut status).await.unwrap();
        status
    };

    let (status, ()) = LocalSet::new()
        .run_until(async { tokio::join!(caller, server) })
        .await;

    assert_eq!(&status, b"HTTP/1.1 413");
}

/// Guards against a caller that is evicted for room that no byte needs yet.
#[tokio::test]
async fn room_for_a_whole_block_evicts_nobody() {
    let memory = memory(20_000);
    let slow = Memory::open(&memory);
    slow.reserve(Cause::Response, Size(10_000)).unwrap();
    slow.set_waiting(true);
    tokio::time::sleep(IDLE).await;
    let (sender, body) = body(0);
    send(&sender, 100);
    send(&sender, 100);
    drop(sender);

    let upload = read(body, limits(), &memory).await;

    assert!(upload.is_ok());
    assert_eq!(slow.held(), Size(10_000));
}
