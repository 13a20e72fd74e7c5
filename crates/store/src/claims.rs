//! Claims in the key-value service, many in one transaction.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::bundle;
use jujube_core::claim::Outcome;
use jujube_core::claim::Record;
use jujube_core::name::Customer;
use jujube_core::time::Span;
use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::kv::Condition;
use crate::kv::Error;
use crate::kv::Lease;
use crate::kv::Pair;
use crate::kv::Revision;
use crate::kv::Store;
use crate::kv::Write;

/// The prefix of claims.
const CLAIM: &str = "jujube/claim/";

/// Returns the key of a customer's claim; neither appears in clear.
///
/// # Examples
///
/// ```
/// # use jujube_store::claims::key;
/// assert_ne!(key(&"a".into(), "1"), key(&"b".into(), "1"));
/// ```
#[must_use]
pub fn key(customer: &Customer, idempotency_key: &str) -> String {
    // The length in front keeps ("ab", "c") and ("a", "bc") apart.
    let framed = format!("{}:{customer}:{idempotency_key}", customer.0.len());
    format!("{CLAIM}{}", bundle::digest(&framed))
}

struct Job {
    key: String,
    value: String,
    answer: oneshot::Sender<Outcome>,
}

/// How claims are grouped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grouping {
    /// How long the first claim of a group waits for others.
    pub delay: Duration,
    /// The most claims in one transaction.
    pub most: usize,
}

impl Default for Grouping {
    fn default() -> Self {
        Self {
            delay: Duration::from_millis(2),
            most: 64,
        }
    }
}

/// The claims of one entry.
#[derive(Clone)]
pub struct Claims<S> {
    leased: Leased<S>,
    jobs: mpsc::UnboundedSender<Job>,
}

/// A store with a lease that the claims of an hour share: one for each would double the writes.
#[derive(Clone)]
struct Leased<S> {
    store: S,
    kept: Arc<Mutex<Option<(Lease, Instant)>>>,
}

impl<S: Store> Leased<S> {
    async fn lease(&self) -> Result<Lease, Error> {
        const SHARED_FOR: Duration = Duration::from_secs(3_600);
        let mut kept = self.kept.lock().await;
        if let Some((lease, since)) = *kept
            && since.elapsed() < SHARED_FOR
        {
            return Ok(lease);
        }
        let lease = self
            .store
            .grant(Span((KEPT_SECONDS + SHARED_FOR.as_secs()) * 1000))
            .await?;
        *kept = Some((lease, Instant::now()));
        Ok(lease)
    }
}

impl<S: Store> Claims<S> {
    /// Starts the grouping task. Must be called inside a runtime.
    pub fn start(store: S, grouping: Grouping) -> Self {
        let (jobs, receiver) = mpsc::unbounded_channel();
        let leased = Leased {
            store,
            kept: Arc::default(),
        };
        tokio::spawn(group(leased.clone(), grouping, receiver));
        Self { leased, jobs }
    }

    /// Writes a record if there is none.
    pub async fn create(&self, key: &str, record: &Record) -> Outcome {
        let Ok(value) = serde_json::to_string(record) else {
            return Outcome::Down;
        };
        let (answer, outcome) = oneshot::channel();
        let key = key.to_string();
        let sent = self.jobs.send(Job { key, value, answer });
        if sent.is_err() {
            return Outcome::Down;
        }
        outcome.await.unwrap_or(Outcome::Unknown)
    }

    /// Reads a record.
    pub async fn read(&self, key: &str) -> Outcome {
        match self.leased.store.get(key).await {
            Ok(found) => outcome(found.as_ref()),
            Err(_) => Outcome::Unknown,
        }
    }

    /// Replaces exactly the record `before`; anything else that is there stays.
    pub async fn replace(&self, key: &str, before: &Record, record: &Record) -> Outcome {
        let found = match self.leased.store.get(key).await {
            Ok(Some(found)) => found,
            Ok(None) => return Outcome::Absent,
            Err(_) => return Outcome::Unknown,
        };
        let there = outcome(Some(&found));
        if there != Outcome::Found(before.clone()) {
            return there;
        }
        let Ok(value) = serde_json::to_string(record) else {
            return Outcome::Down;
        };
        match self.put_at(key, value, found.revision).await {
            Ok(true) => Outcome::Created,
            Ok(false) | Err(_) => Outcome::Unknown,
        }
    }

    async fn put_at(&self, key: &str, value: String, revision: Revision) -> Result<bool, Error> {
        let condition = Condition {
            key: key.into(),
            revision,
        };
        let lease = self.leased.lease().await?;
        let write = Write::Put {
            key: key.into(),
            value,
            lease: Some(lease),
        };
        self.leased.store.swap(&[condition], &[write]).await
    }

    /// Removes exactly this record: a release must not clear a successor's claim.
    pub async fn remove(&self, key: &str, record: &Record) {
        let Ok(Some(found)) = self.leased.store.get(key).await else {
            return;
        };
        if outcome(Some(&found)) != Outcome::Found(record.clone()) {
            return;
        }
        let condition = Condition {
            key: key.into(),
            revision: found.revision,
        };
        let write = Write::Delete { key: key.into() };
        let _left_to_its_lease = self.leased.store.swap(&[condition], &[write]).await;
    }
}

/// How long a claim is kept: a caller that comes back later starts afresh. One day, as the draft on
/// the `Idempotency-Key` header leaves to the resource.
const KEPT_SECONDS: u64 = 86_400;

fn outcome(found: Option<&Pair>) -> Outcome {
    let Some(pair) = found else {
        return Outcome::Absent;
    };
    match serde_json::from_str(&pair.value) {
        Ok(record) => Outcome::Found(record),
        Err(_) => Outcome::Unknown,
    }
}

async fn group<S: Store>(
    leased: Leased<S>,
    grouping: Grouping,
    mut receiver: mpsc::UnboundedReceiver<Job>,
) {
    while let Some(first) = receiver.recv().await {
        let mut jobs = vec![first];
        let end = Instant::now() + grouping.delay;
        while jobs.len() < grouping.most {
            match tokio::time::timeout_at(end, receiver.recv()).await {
                Ok(Some(job)) => jobs.push(job),
                Ok(None) | Err(_) => break,
            }
        }
        // The next group gathers while this one is on its way.
        tokio::spawn(write(leased.clone(), jobs));
    }
}

/// Writes a group in one transaction; when one of its keys is taken, each by itself.
async fn write<S: Store>(leased: Leased<S>, jobs: Vec<Job>) {
    let lease = match leased.lease().await {
        Ok(lease) => lease,
        Err(_) => return answer_all(jobs, &Outcome::Down),
    };
    let (jobs, repeats) = split_repeats(jobs);
    let store = leased.store;
    write_group(&store, lease, jobs).await;
    for job in repeats {
        write_alone(store.clone(), lease, job).await;
    }
}

/// Takes out jobs whose key stands in the group already: a transaction may write a key only once.
fn split_repeats(jobs: Vec<Job>) -> (Vec<Job>, Vec<Job>) {
    let mut seen = HashSet::new();
    jobs.into_iter()
        .partition(|job| seen.insert(job.key.clone()))
}

async fn write_group<S: Store>(store: &S, lease: Lease, jobs: Vec<Job>) {
    match put_new(store, lease, &jobs).await {
        Ok(true) => answer_all(jobs, &Outcome::Created),
        Ok(false) => {
            for job in jobs {
                tokio::spawn(write_alone(store.clone(), lease, job));
            }
        }
        Err(Error::Unknown(_) | Error::Cut(_) | Error::Unusable(_)) => {
            answer_all(jobs, &Outcome::Unknown)
        }
        Err(Error::Down(_) | Error::Busy(_)) => answer_all(jobs, &Outcome::Down),
    }
}

async fn write_alone<S: Store>(store: S, lease: Lease, job: Job) {
    let written = put_new(&store, lease, std::slice::from_ref(&job)).await;
    let outcome = match written {
        Ok(true) => Outcome::Created,
        Ok(false) => match store.get(&job.key).await {
            Ok(found) => outcome(found.as_ref()),
            Err(_) => Outcome::Unknown,
        },
        Err(Error::Unknown(_) | Error::Cut(_) | Error::Unusable(_)) => Outcome::Unknown,
        Err(Error::Down(_) | Error::Busy(_)) => Outcome::Down,
    };
    answer_all(vec![job], &outcome);
}

async fn put_new<S: Store>(store: &S, lease: Lease, jobs: &[Job]) -> Result<bool, Error> {
    let conditions = jobs.iter().map(|job| Condition {
        key: job.key.clone(),
        revision: Revision(0),
    });
    let writes = jobs.iter().map(|job| Write::Put {
        key: job.key.clone(),
        value: job.value.clone(),
        lease: Some(lease),
    });
    let conditions: Vec<Condition> = conditions.collect();
    let writes: Vec<Write> = writes.collect();
    store.swap(&conditions, &writes).await
}

fn answer_all(jobs: Vec<Job>, outcome: &Outcome) {
    for job in jobs {
        let _caller_gone = job.answer.send(outcome.clone());
    }
}
