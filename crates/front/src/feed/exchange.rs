//! The messages by which entries pass on the changes of the store, and their signatures.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bincode::Options;
use ed25519_dalek::Signature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use jujube_core::pipeline::era::Era;
use jujube_core::pipeline::feed::difference::Difference;
use jujube_core::revision::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The length of the random text that begins each connection. All signatures cover it, so that a
/// message of another connection is not accepted.
pub const CHALLENGE_BYTES: usize = 32;
/// The longest question.
pub const MAX_QUESTION_BYTES: usize = 1_024;
/// The longest answer: all keys of ten thousand servers and a thousand entries.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
/// How long a message may pause on its way.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

const QUESTION_CONTEXT: &[u8] = b"jujube-feed-question-1";
const ANSWER_CONTEXT: &[u8] = b"jujube-feed-answer-1";

/// A random text that the asked entry sends first.
pub type Challenge = [u8; CHALLENGE_BYTES];

/// What the asked entry passed on last.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mark {
    /// The process that answered.
    pub boot: u64,
    /// The version of its knowledge.
    pub version: u64,
}

/// Asks for the changes of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Question {
    /// The entry that asks.
    pub from: Arc<str>,
    /// The number of the question on its connection.
    pub number: u64,
    /// The era that the entry knows.
    pub era: Option<Era>,
    /// The revision through which it knows all changes.
    pub after: Revision,
    /// What it was told last.
    pub told: Mark,
    /// Whether values must not be told as differences.
    pub wants_texts: bool,
    /// How long to wait for something else to tell.
    pub wait_ms: u32,
}

/// The value of a changed key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Value {
    /// The key was removed.
    Removed,
    /// A text.
    Text(Arc<str>),
    /// A text as its difference from an earlier one.
    Difference(Arc<Difference>),
    /// Bytes that are not text, and why.
    Unreadable(Arc<str>),
}

/// A changed key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    /// The key.
    pub key: Arc<str>,
    /// The revision of its last change.
    pub revision: Revision,
    /// Its value.
    pub value: Value,
}

/// What the asked entry knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// The number of the question.
    pub number: u64,
    /// The process that answers, and the version of its knowledge.
    pub mark: Mark,
    /// The era of its knowledge.
    pub era: Option<Era>,
    /// Whether it can't reach the store, not even by others.
    pub is_away: bool,
    /// How often that was so.
    pub outages: u64,
    /// How old its knowledge is; `None` if it has none.
    pub age_ms: Option<u64>,
    /// How long it waited before it answered.
    pub waited_ms: u64,
    /// The revision through which it knows all changes.
    pub through: Revision,
    /// Whether the rows are all keys, not those that changed.
    pub is_whole: bool,
    /// The changed keys.
    pub rows: Vec<Row>,
}

/// Why a message was not taken.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The message paused for too long.
    #[error("stalled")]
    Stalled,
    /// The message is longer than allowed.
    #[error("{0} bytes")]
    TooLong(usize),
    /// The message can't be decoded.
    #[error("malformed")]
    Malformed,
    /// A value is told as the difference from one that this entry does not have, because it was told
    /// others by another source.
    #[error("unknown difference")]
    UnknownDifference,
    /// The signature is not that of the sender.
    #[error("not authentic")]
    NotAuthentic,
}

/// A received message whose signature has not been checked.
pub struct Sealed {
    signature: Signature,
    body: Vec<u8>,
}

/// Returns the signed part of a message: its kind, the connection and the body.
fn signed(context: &[u8], challenge: &Challenge, body: &[u8]) -> Vec<u8> {
    [context, challenge, body].concat()
}

fn options() -> impl Options {
    bincode::DefaultOptions::new()
}

async fn send(
    stream: &mut TcpStream,
    context: &[u8],
    key: &SigningKey,
    challenge: &Challenge,
    message: &impl Serialize,
) -> Result<(), Error> {
    let body = options().serialize(message).map_err(|_| Error::Malformed)?;
    let signature = key.sign(&signed(context, challenge, &body)).to_bytes();
    let length = u32::try_from(body.len()).map_err(|_| Error::TooLong(body.len()))?;
    let bytes = [&length.to_be_bytes()[..], &signature, &body].concat();
    let sent = tokio::time::timeout(STALL_TIMEOUT, stream.write_all(&bytes)).await;
    Ok(sent.map_err(|_| Error::Stalled)??)
}

async fn receive(stream: &mut TcpStream, max_bytes: usize) -> Result<Sealed, Error> {
    let length = stream.read_u32().await? as usize;
    if length > max_bytes {
        return Err(Error::TooLong(length));
    }
    let mut signature = [0; Signature::BYTE_SIZE];
    stream.read_exact(&mut signature).await?;
    let mut body = Vec::new();
    // The memory grows with what arrives, not with what is announced.
    let mut limited = stream.take(length as u64);
    while body.len() < length {
        let read = tokio::time::timeout(STALL_TIMEOUT, limited.read_buf(&mut body)).await;
        if read.map_err(|_| Error::Stalled)?? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
    }
    let signature = Signature::from_bytes(&signature);
    Ok(Sealed { signature, body })
}

impl Sealed {
    fn open<T: DeserializeOwned>(&self, max_bytes: usize) -> Result<T, Error> {
        let options = options().with_limit(max_bytes as u64);
        let message = options.deserialize(&self.body);
        message.map_err(|_| Error::Malformed)
    }

    fn check(
        &self,
        context: &[u8],
        challenge: &Challenge,
        key: &VerifyingKey,
    ) -> Result<(), Error> {
        let bytes = signed(context, challenge, &self.body);
        let checked = key.verify_strict(&bytes, &self.signature);
        checked.map_err(|_| Error::NotAuthentic)
    }

    /// Returns the question, of which nothing may be believed yet but which key to check it by.
    ///
    /// # Errors
    ///
    /// It is malformed.
    pub fn question(&self) -> Result<Question, Error> {
        self.open(MAX_QUESTION_BYTES)
    }

    /// Checks that the question was signed by a key.
    ///
    /// # Errors
    ///
    /// It was not.
    pub fn check_question(&self, challenge: &Challenge, key: &VerifyingKey) -> Result<(), Error> {
        self.check(QUESTION_CONTEXT, challenge, key)
    }

    /// Returns the answer if it was signed by a key.
    ///
    /// # Errors
    ///
    /// It was not, or is malformed.
    pub fn answer(&self, challenge: &Challenge, key: &VerifyingKey) -> Result<Answer, Error> {
        self.check(ANSWER_CONTEXT, challenge, key)?;
        self.open(MAX_ANSWER_BYTES)
    }
}

/// Sends the text that begins a connection.
pub async fn send_challenge(stream: &mut TcpStream) -> Result<Challenge, Error> {
    let challenge: Challenge = rand::random();
    stream.write_all(&challenge).await?;
    Ok(challenge)
}

/// Receives the text that begins a connection.
pub async fn receive_challenge(stream: &mut TcpStream) -> Result<Challenge, Error> {
    let mut challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut challenge).await?;
    Ok(challenge)
}

/// Sends a question.
pub async fn send_question(
    stream: &mut TcpStream,
    key: &SigningKey,
    challenge: &Challenge,
    question: &Question,
) -> Result<(), Error> {
    send(stream, QUESTION_CONTEXT, key, challenge, question).await
}

/// Receives a question.
pub async fn receive_question(stream: &mut TcpStream) -> Result<Sealed, Error> {
    receive(stream, MAX_QUESTION_BYTES).await
}

/// Sends an answer.
pub async fn send_answer(
    stream: &mut TcpStream,
    key: &SigningKey,
    challenge: &Challenge,
    answer: &Answer,
) -> Result<(), Error> {
    send(stream, ANSWER_CONTEXT, key, challenge, answer).await
}

/// Receives an answer.
pub async fn receive_answer(stream: &mut TcpStream) -> Result<Sealed, Error> {
    receive(stream, MAX_ANSWER_BYTES).await
}
