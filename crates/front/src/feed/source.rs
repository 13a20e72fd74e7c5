//! Follows the store: reads it, or asks the entries that do.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::pipeline::cadence::Cadence;
use jujube_core::pipeline::cell::Directory;
use jujube_core::pipeline::cell::Role;
use jujube_core::pipeline::feed::bounds::Bounds;
use jujube_core::pipeline::feed::contact::Contact;
use jujube_core::pipeline::feed::follower::AT_ONCE;
use jujube_core::pipeline::feed::follower::Follower;
use jujube_core::pipeline::feed::follower::Reason;
use jujube_core::pipeline::feed::follower::Step;
use jujube_core::pipeline::feed::follower::Told;
use jujube_core::pipeline::feed::follower::Verdict;
use jujube_core::pipeline::feed::replica::Item;
use jujube_core::revision::Revision;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv;
use jujube_store::kv::Change;
use jujube_store::kv::News;

use crate::metrics::Metrics;

use super::Content;
use super::Feed;
use super::ask;
use super::ask::Connection;
use super::ask::Known;
use super::ask::Peer;
use super::exchange;
use super::exchange::Answer;
use super::exchange::Row;
use super::exchange::Value;
use super::first;
use super::item;

/// The empty prefix: one watch covers the configuration, the registrations and the planner's lease.
const ALL_KEYS: &str = "";
/// The pause before the sources are asked again if all failed at once, such as by refusing
/// connections.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// The shortest time between two reads of all keys because an answer to a watch could not be used. A store
/// whose answers stay so is followed by such reads alone, within the time limit of a configuration.
const UNUSABLE_INTERVAL: Span = Span(1_000);
/// The shortest time between two reads of all keys because some were left out.
const READ_AGAIN_INTERVAL: Span = Span(5_000);

/// What asking another entry brought.
enum Outcome {
    /// Changes, perhaps none.
    News(News),
    /// No changes, but a verdict about the source.
    Verdict(Verdict),
}

/// Returns the counter of the calls that are made for a reason.
fn counter(reason: Reason) -> &'static str {
    match reason {
        Reason::Changes => "store_calls_changes",
        Reason::Loss => "store_calls_loss",
        Reason::Doubt => "store_calls_doubt",
        Reason::LaterEra => "store_calls_era",
        Reason::TooOld => "store_calls_too_old",
        Reason::Behind => "store_calls_behind",
    }
}

/// Follows the store: reads it, or asks the entries that do.
pub struct Source<F> {
    feed: Rc<Feed>,
    store: F,
    bounds: Bounds,
    metrics: Rc<Metrics>,
    connection: Option<Connection>,
    follower: Follower,
    /// Whether the last changes came from another entry.
    was_told: bool,
    /// Whether all keys have just been received.
    is_whole: bool,
    /// Whether the store no longer has the changes since those that are known.
    is_forgotten: bool,
    /// Whether a difference could not be applied.
    wants_texts: bool,
    /// When all keys were last read.
    read_at: Instant,
    /// Whether all keys are to be read because an answer could not be used, and how soon that may be done
    /// again.
    is_passed_over: bool,
    unusable: Cadence,
}

impl<F: kv::Feed> Source<F> {
    /// Creates the source of an entry that has read nothing yet.
    pub fn new(feed: Rc<Feed>, store: F, metrics: Rc<Metrics>) -> Self {
        let bounds = feed.bounds;
        Self {
            feed,
            store,
            bounds,
            metrics,
            connection: None,
            follower: Follower::new(bounds),
            was_told: false,
            is_whole: false,
            is_forgotten: false,
            wants_texts: false,
            read_at: clock::now(),
            is_passed_over: false,
            unusable: Cadence::of(UNUSABLE_INTERVAL),
        }
    }

    /// Records what the last attempt showed of the store.
    pub fn set_contact(&mut self, contact: Contact) {
        self.follower.set_contact(contact);
        if contact == Contact::Lost {
            self.feed.lose();
        }
    }

    /// Returns how this entry receives changes now; `None` if each entry reads the store, because
    /// there are few.
    pub fn role(&self, directory: &RefCell<Directory>) -> Option<Role> {
        let directory = directory.borrow();
        let is_shared = self.feed.is_shared(directory.count());
        is_shared.then(|| directory.role(clock::now()))
    }

    /// Returns how old what is known may become.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Returns whether the last changes came from another entry, which paused before it read them.
    pub fn was_told(&self) -> bool {
        self.was_told
    }

    /// Reads all keys for the first time, however long the store takes; they may be some seconds
    /// old. Until then every caller is refused.
    pub async fn read_first(&self) -> (Vec<Change>, Revision) {
        let (changes, revision) = first::read(&self.store, ALL_KEYS, &self.metrics).await;
        self.feed.restore(self.store.era());
        self.replace(changes, revision);
        self.feed.all()
    }

    /// Returns all keys as they are now, and the revision to follow from.
    pub async fn snapshot(
        &mut self,
        directory: &RefCell<Directory>,
    ) -> Result<(Vec<Change>, Revision), kv::Error> {
        if std::mem::take(&mut self.is_whole) {
            return Ok(self.feed.all());
        }
        if std::mem::take(&mut self.is_passed_over) {
            let pause = self.unusable.wait(clock::now());
            tokio::time::sleep(Duration::from_millis(pause.0)).await;
        }
        let is_known = self.feed.replica.borrow().is_filled()
            && self.feed.belief.borrow().era() == self.store.era()
            && !std::mem::take(&mut self.is_forgotten);
        let news = match is_known {
            // What is kept, and the changes since, are all keys.
            true if matches!(self.role(directory), Some(Role::Follower { .. })) => {
                self.follow(directory).await?
            }
            true => self.read_changes(AT_ONCE, "store_calls_start").await?,
            false => News::Forgotten,
        };
        let news = self.read_rest(news).await?;
        if news == News::Forgotten && !std::mem::take(&mut self.is_whole) {
            self.read_all().await?;
        }
        Ok(self.feed.all())
    }

    /// Reads on until the store has nothing more to tell.
    async fn read_rest(&mut self, mut news: News) -> Result<News, kv::Error> {
        while matches!(news, News::Part(..)) {
            let counter = counter(Reason::Behind);
            news = self.read_changes(AT_ONCE, counter).await?;
        }
        Ok(news)
    }

    async fn read_all(&mut self) -> Result<(), kv::Error> {
        self.metrics.count("store_calls_whole");
        let asked_at = clock::now();
        self.read_at = asked_at;
        let (changes, revision) = self.store.snapshot(ALL_KEYS).await?;
        let era = self.store.era();
        if self.feed.belief.borrow().era() != era {
            self.feed.restore(era);
        }
        self.replace(changes, revision);
        self.feed.confirm(revision, asked_at, &self.feed.own);
        self.was_told = false;
        self.is_forgotten = false;
        Ok(())
    }

    fn replace(&self, changes: Vec<Change>, revision: Revision) {
        let left_out = self.store.left_out();
        if !left_out.is_empty() {
            event!(
                Warn,
                "store-keys-left-out",
                kinds = format_args!("{left_out:?}")
            );
        }
        let items = changes.into_iter().map(item).collect();
        self.feed.replace(items, revision, &left_out);
    }

    /// Waits for changes after those that are known, for a bounded time.
    pub async fn follow(&mut self, directory: &RefCell<Directory>) -> Result<News, kv::Error> {
        loop {
            let role = self.role(directory);
            let belief = *self.feed.belief.borrow();
            match self.follower.step(clock::now(), role.as_ref(), &belief) {
                Step::Read { wait, reason } => {
                    if reason == Reason::TooOld {
                        event!(Info, "feed-too-old", _ = self.feed.view());
                    }
                    return self.read_changes(wait, counter(reason)).await;
                }
                Step::Ask { source, wait } => match self.ask(&source, wait).await {
                    Ok(Outcome::News(news)) => {
                        self.follower.succeeded();
                        self.wants_texts = false;
                        return Ok(news);
                    }
                    Ok(Outcome::Verdict(verdict)) => self.follower.failed(verdict),
                    Err(error) => {
                        self.report(&source, &error);
                        self.wants_texts |= matches!(error, exchange::Error::UnknownDifference);
                        self.follower.failed(Verdict::Useless);
                    }
                },
                Step::Pause => tokio::time::sleep(ROUND_PAUSE).await,
                Step::GiveUp => {
                    return Err(kv::Error::Down("no source reaches the store".into()));
                }
            }
        }
    }

    /// Reads the changes from the store.
    async fn read_changes(&mut self, wait: Span, counter: &'static str) -> Result<News, kv::Error> {
        let after = self.feed.replica.borrow().through();
        let asked_at = clock::now();
        self.metrics.count(counter);
        let mut news = match self.store.follow(ALL_KEYS, after, wait).await {
            Err(kv::Error::Unusable(cause)) => return Ok(self.pass_over(after, &cause)),
            answer => answer?,
        };
        self.was_told = false;
        self.follower.set_behind(matches!(news, News::Part(..)));
        match &mut news {
            News::Part(changes, through) => {
                self.feed.apply_part(changes, *through, &self.feed.own);
            }
            News::Forgotten => {
                event!(Info, "history-lost", revision = after);
                self.is_forgotten = true;
            }
            News::Changes(changes, through) => {
                if changes.is_empty() {
                    self.metrics.count("store_answers_empty");
                }
                self.feed.apply(changes, *through, asked_at, &self.feed.own);
            }
        }
        Ok(self.or_forgotten(news))
    }

    /// Gives up the changes after a revision, as their answer cannot be used.
    ///
    /// The next answer would be the same, for as long as the store has this history; the pages of a read
    /// of all keys are smaller.
    fn pass_over(&mut self, after: Revision, cause: &str) -> News {
        self.metrics.count("store_answers_unusable");
        event!(Warn, "store-answer-unusable", revision = after, cause);
        self.is_forgotten = true;
        self.is_passed_over = true;
        News::Forgotten
    }

    /// Returns the changes, or that all keys are to be read again.
    fn or_forgotten(&mut self, news: News) -> News {
        let is_due = clock::now().since(self.read_at) >= READ_AGAIN_INTERVAL;
        if !matches!(news, News::Changes(..)) || !is_due || !self.feed.has_room_again() {
            return news;
        }
        event!(Info, "store-keys-read-again");
        self.is_forgotten = true;
        News::Forgotten
    }

    fn report(&self, name: &Arc<str>, error: &exchange::Error) {
        self.metrics.count("feed_sources_failed");
        event!(Info, "feed-source-failed", source = name, cause = error);
    }

    /// Asks one source.
    async fn ask(&mut self, name: &Arc<str>, wait: Span) -> Result<Outcome, exchange::Error> {
        let Some(announcement) = self.feed.announcement(name) else {
            return Ok(Outcome::Verdict(Verdict::Useless));
        };
        let Some(key) = announcement.key else {
            // A program that does not pass changes on.
            return Ok(Outcome::Verdict(Verdict::Useless));
        };
        let address = announcement.place.address;
        let peer = Peer {
            name: name.clone(),
            address,
            key,
        };
        let known = Known {
            own: self.feed.own.clone(),
            era: self.feed.belief.borrow().era(),
            after: self.feed.replica.borrow().through(),
            wants_texts: self.wants_texts,
        };
        // Taken out, so that an exchange that is given up halfway ends its connection.
        let connection = self.connection.take().filter(|known| known.leads_to(&peer));
        let exchange = async {
            let mut connection = match connection {
                Some(connection) => connection,
                None => Connection::open(peer).await?,
            };
            let asked_at = clock::now();
            let answer = connection.ask(&self.feed.key, &known, wait).await?;
            Ok((connection, answer, clock::now().since(asked_at)))
        };
        // An answer at the end of the wait has yet to arrive.
        let limit = Span(wait.0 + self.bounds.answer.0);
        let (mut connection, answer, took) = ask::within(limit, exchange).await?;
        let has_lost_store = connection.has_lost_store(answer.outages);
        self.connection = Some(connection);
        self.metrics.count("feed_answers_received");
        let age = answer.age_ms.map(|age| {
            // The way of the question and the answer.
            Span(age + took.0.saturating_sub(answer.waited_ms))
        });
        let told = Told {
            era: answer.era,
            through: answer.through,
            age,
            is_away: answer.is_away,
            has_lost_store,
            is_changed: answer.is_whole || !answer.rows.is_empty(),
        };
        self.take(name, &told, answer)
    }

    /// Applies an answer if it is of any worth.
    fn take(
        &mut self,
        name: &Arc<str>,
        told: &Told,
        answer: Answer,
    ) -> Result<Outcome, exchange::Error> {
        let belief = *self.feed.belief.borrow();
        let verdict = told.judge(&belief, self.bounds.next_source);
        let Some(age) = told.age.filter(|_| verdict == Verdict::Applied) else {
            return Ok(Outcome::Verdict(verdict));
        };
        let asked_at = Instant(clock::now().0.saturating_sub(age.0));
        self.metrics.observe("feed_age", age);
        let items = self.items(answer.rows)?;
        self.was_told = true;
        if answer.is_whole {
            self.feed.replace(items, answer.through, &[]);
            self.feed.confirm(answer.through, asked_at, name);
            self.is_whole = true;
            return Ok(Outcome::News(News::Forgotten));
        }
        let mut changes: Vec<Change> = items.into_iter().map(super::change).collect();
        self.feed
            .apply(&mut changes, answer.through, asked_at, name);
        let news = News::Changes(changes, answer.through);
        Ok(Outcome::News(self.or_forgotten(news)))
    }

    /// Returns the changes that rows describe.
    fn items(&self, rows: Vec<Row>) -> Result<Vec<Item<Content>>, exchange::Error> {
        let replica = self.feed.replica.borrow();
        let item = |row: Row| {
            let value = match row.value {
                Value::Removed => None,
                Value::Text(text) => Some(Content::Text(text)),
                Value::Unreadable(cause) => Some(Content::Unreadable(cause)),
                Value::Difference(difference) => {
                    let text = match replica.get(&row.key) {
                        Some(Content::Text(known)) => difference.apply(known),
                        _ => None,
                    };
                    let text = text.ok_or(exchange::Error::UnknownDifference)?;
                    Some(Content::Text(text.into()))
                }
            };
            Ok(Item {
                key: row.key,
                value,
                revision: row.revision,
            })
        };
        rows.into_iter().map(item).collect()
    }
}
