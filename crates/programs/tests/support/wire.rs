//! A TCP relay that can go silent on the connections it has, while new ones work.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// A relay to one address.
pub struct Relay {
    pub address: String,
    /// Connections of an earlier number are silent.
    silent_before: Arc<AtomicU64>,
    accepted: Arc<AtomicU64>,
    /// Bytes passed on, both ways.
    pub bytes: Arc<AtomicU64>,
}

impl Relay {
    pub async fn start(to: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let silent_before = Arc::new(AtomicU64::new(0));
        let accepted = Arc::new(AtomicU64::new(0));
        let relay = Self {
            address,
            silent_before: silent_before.clone(),
            accepted: accepted.clone(),
            bytes: Arc::default(),
        };
        let bytes = relay.bytes.clone();
        tokio::spawn(async move {
            while let Ok((inner, _)) = listener.accept().await {
                let number = accepted.fetch_add(1, Ordering::SeqCst);
                let Ok(outer) = TcpStream::connect(&to).await else {
                    continue;
                };
                let silent = silent_before.clone();
                let bytes = bytes.clone();
                tokio::spawn(pair(inner, outer, number, silent, bytes));
            }
        });
        relay
    }

    /// Makes all present connections silent for good: bytes are taken and go nowhere.
    pub fn silence(&self) {
        self.silent_before
            .store(self.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

async fn pair(
    inner: TcpStream,
    outer: TcpStream,
    number: u64,
    silent: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
) {
    let (from_inner, to_inner) = inner.into_split();
    let (from_outer, to_outer) = outer.into_split();
    let there = copy(from_inner, to_outer, number, silent.clone(), bytes.clone());
    let back = copy(from_outer, to_inner, number, silent, bytes);
    tokio::join!(there, back);
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    number: u64,
    silent: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        if silent.load(Ordering::SeqCst) > number {
            if count == 0 {
                // The other end must not hear of the close either.
                std::future::pending::<()>().await;
            }
            continue;
        }
        bytes.fetch_add(count as u64, Ordering::SeqCst);
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
