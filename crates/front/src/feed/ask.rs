//! Asks another entry for the changes of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use jujube_core::pipeline::era::Era;
use jujube_core::revision::Revision;
use jujube_core::time::Span;
use tokio::net::TcpStream;

use super::exchange;
use super::exchange::Answer;
use super::exchange::Challenge;
use super::exchange::Error;
use super::exchange::Mark;
use super::exchange::Question;

/// Another entry, as it announced itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// Where it answers.
    pub address: SocketAddr,
    /// The key that its answers are signed by.
    pub key: VerifyingKey,
}

/// What this entry knows already.
#[derive(Clone, Debug)]
pub struct Known {
    /// Its name.
    pub own: Arc<str>,
    /// The era of its knowledge.
    pub era: Option<Era>,
    /// The revision through which it knows all changes.
    pub after: Revision,
    /// Whether values must not be told as differences.
    pub wants_texts: bool,
}

/// A connection to another entry.
pub struct Connection {
    peer: Peer,
    stream: TcpStream,
    challenge: Challenge,
    number: u64,
    told: Mark,
    /// How often the peer lost the store, as it told last; `None` before its first answer.
    outages: Option<u64>,
}

impl Connection {
    /// Connects to an entry.
    pub async fn open(peer: Peer) -> Result<Self, Error> {
        let mut stream = TcpStream::connect(peer.address).await?;
        let _without_delay = stream.set_nodelay(true);
        let challenge = exchange::receive_challenge(&mut stream).await?;
        Ok(Self {
            peer,
            stream,
            challenge,
            number: 0,
            told: Mark::default(),
            outages: None,
        })
    }

    /// Returns whether this is a connection to the process that the announcement describes.
    pub fn leads_to(&self, peer: &Peer) -> bool {
        self.peer == *peer
    }

    /// Asks for what is new, and waits for that for `wait`.
    pub async fn ask(
        &mut self,
        key: &SigningKey,
        known: &Known,
        wait: Span,
    ) -> Result<Answer, Error> {
        self.number += 1;
        let question = Question {
            from: known.own.clone(),
            number: self.number,
            era: known.era,
            after: known.after,
            told: self.told,
            wants_texts: known.wants_texts,
            wait_ms: u32::try_from(wait.0).unwrap_or(u32::MAX),
        };
        exchange::send_question(&mut self.stream, key, &self.challenge, &question).await?;
        let sealed = exchange::receive_answer(&mut self.stream).await?;
        let answer = sealed.answer(&self.challenge, &self.peer.key)?;
        if answer.number != self.number {
            return Err(Error::NotAuthentic);
        }
        self.told = answer.mark;
        Ok(answer)
    }

    /// Records how often the peer lost the store; returns whether it did since it told last.
    pub fn has_lost_store(&mut self, outages: u64) -> bool {
        let known = self.outages.replace(outages);
        known.is_some_and(|known| known != outages)
    }
}

/// Runs an exchange for at most `limit`.
pub async fn within<T>(
    limit: Span,
    exchange: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let exchange = tokio::time::timeout(Duration::from_millis(limit.0), exchange);
    exchange.await.unwrap_or(Err(Error::Stalled))
}
