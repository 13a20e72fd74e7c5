//! Connections between the system's processes.

use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

use crate::service::EntryClient;
use crate::service::EntryRequest;
use crate::service::EntryResponse;
use crate::service::SidecarClient;
use crate::service::SidecarRequest;
use crate::service::SidecarResponse;

/// Why a call between processes failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection can be made: nobody listens there.
    Refused,
    /// Connections are made or exist, and nothing is answered in time.
    Silent,
}

/// A client that is made from a stream.
pub trait Client: Clone + Send + Sync + 'static {
    /// Starts a client on a connected stream.
    fn start(stream: TcpStream) -> Self;
}

type Transport<I, O> = tarpc::serde_transport::Transport<
    TcpStream,
    tarpc::Response<I>,
    tarpc::ClientMessage<O>,
    Bincode<tarpc::Response<I>, tarpc::ClientMessage<O>>,
>;

fn transport<I, O>(stream: TcpStream) -> Transport<I, O>
where
    I: serde::de::DeserializeOwned,
    O: serde::Serialize,
{
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    tarpc::serde_transport::new(framed, Bincode::default())
}

impl Client for SidecarClient {
    fn start(stream: TcpStream) -> Self {
        let transport = transport::<SidecarResponse, SidecarRequest>(stream);
        Self::new(tarpc::client::Config::default(), transport).spawn()
    }
}

impl Client for EntryClient {
    fn start(stream: TcpStream) -> Self {
        let transport = transport::<EntryResponse, EntryRequest>(stream);
        Self::new(tarpc::client::Config::default(), transport).spawn()
    }
}

/// How long to wait for what.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    /// For a connection.
    pub connect: Duration,
    /// For an answer.
    pub answer: Duration,
    /// How many connections are tried.
    pub tries: u32,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(150),
            answer: Duration::from_millis(150),
            tries: 2,
        }
    }
}

/// One peer, with a connection that is made when it is needed.
#[derive(Clone)]
pub struct Peer<C> {
    address: Arc<str>,
    patience: Patience,
    client: Arc<Mutex<Option<C>>>,
}

impl<C: Client> Peer<C> {
    /// Returns a peer that is not connected yet.
    pub fn new(address: impl Into<Arc<str>>, patience: Patience) -> Self {
        Self {
            address: address.into(),
            patience,
            client: Arc::default(),
        }
    }

    /// Makes a call, on a new connection when the old one gives no answer.
    ///
    /// A connection can go silent for good while new ones work: something in between has lost track
    /// of it. Waiting on it, or even on TCP's own retransmissions, would hold the step for minutes.
    /// The receiver's ledgers make the repeated call safe.
    ///
    /// # Errors
    ///
    /// See [`Error`]; the call may have taken effect unless it is `Refused` on the first try.
    pub async fn call<T, F>(&self, call: impl Fn(C, Context) -> F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let mut last = Error::Silent;
        for _ in 0..self.patience.tries {
            let client = match self.connect().await {
                Ok(client) => client,
                Err(Error::Refused) => return Err(Error::Refused),
                Err(error) => {
                    last = error;
                    continue;
                }
            };
            let mut context = Context::current();
            context.deadline = Instant::now() + self.patience.answer;
            let answer = tokio::time::timeout(self.patience.answer, call(client, context)).await;
            match answer {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(_)) | Err(_) => {
                    last = Error::Silent;
                    self.reset();
                }
            }
        }
        Err(last)
    }

    async fn connect(&self) -> Result<C, Error> {
        let kept = self.lock().clone();
        if let Some(client) = kept {
            return Ok(client);
        }
        let connecting = TcpStream::connect(&*self.address);
        let connected = tokio::time::timeout(self.patience.connect, connecting).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(Error::Refused),
            Err(_) => return Err(Error::Silent),
        };
        let _best_effort = stream.set_nodelay(true);
        let client = C::start(stream);
        *self.lock() = Some(client.clone());
        Ok(client)
    }

    /// Forgets the connection; the next call makes a new one.
    pub fn reset(&self) {
        *self.lock() = None;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<C>> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
