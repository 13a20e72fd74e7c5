//! Callers that are told at once that there is no room for them.

use std::rc::Rc;
use std::time::Duration;

use jujube_program::event;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::metrics::Metrics;

/// The response to a request that was not read. Its status promises that the request has not run.
const ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n\
    retry-after: 1.000\r\nconnection: close\r\ncontent-length: 13\r\n\r\nout-of-memory";
/// How long a caller that is turned away may take to send its request, and to read the answer. If the
/// connection were closed with unread data, its reset could reach the caller before the answer.
const LONGEST: Duration = Duration::from_secs(1);
/// What is read at a time of a request that is dropped.
const READ_BYTES: usize = 512;

/// Turns away a caller that has just connected, once it has sent something.
pub async fn run(mut stream: TcpStream, metrics: Rc<Metrics>) {
    metrics.count("callers_turned_away");
    log("connection");
    let told = async {
        let mut dropped = [0; READ_BYTES];
        let _begun = stream.read(&mut dropped).await?;
        stream.write_all(ANSWER).await?;
        stream.shutdown().await?;
        while stream.read(&mut dropped).await? > 0 {}
        Ok::<_, std::io::Error>(())
    };
    let _gone_or_slow = tokio::time::timeout(LONGEST, told).await;
}

/// Answers a caller whose head does not fit, as far as its connection takes it now.
pub fn answer(stream: &TcpStream) {
    let _closed_or_full = stream.try_write(ANSWER);
}

/// Logs that a caller was turned away, and what there is no room for.
pub fn log(what: &str) {
    event!(
        Warn,
        "turned-away",
        what,
        reason = "out-of-memory",
        status = 503
    );
}
