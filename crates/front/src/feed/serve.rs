//! Answers other entries that ask for the changes of the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::pipeline::feed::replica::Item;
use jujube_core::pipeline::feed::replica::Missing;
use jujube_core::revision::Revision;
use jujube_program::clock;
use jujube_program::event;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::metrics::Metrics;

use super::Content;
use super::Feed;
use super::exchange;
use super::exchange::Answer;
use super::exchange::Challenge;
use super::exchange::Error;
use super::exchange::Mark;
use super::exchange::Question;
use super::exchange::Row;
use super::exchange::Value;

/// The most followers of an entry: twice a cell, since the views of entries differ for a while.
/// Others are turned away and ask elsewhere.
const MAX_FOLLOWERS: usize = 64;
/// How long a follower may be silent.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest that a question may wait for the announcement of the entry that asks.
const MAX_WAIT_UNKNOWN: Duration = Duration::from_secs(2);
/// The longest that a question may wait for something to tell.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Accepts and answers other entries until the process ends.
pub async fn serve(feed: Rc<Feed>, metrics: Rc<Metrics>, listener: Rc<TcpListener>) {
    let places = Arc::new(tokio::sync::Semaphore::new(MAX_FOLLOWERS));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            metrics.count("feed_turned_away");
            continue;
        };
        let (feed, metrics) = (feed.clone(), metrics.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_follower(&feed, &metrics, stream).await
                && !matches!(error, Error::Io(_))
            {
                metrics.count("feed_questions_refused");
                event!(Info, "feed-question-refused", address, cause = error);
            }
            drop(place);
        });
    }
}

async fn serve_follower(
    feed: &Feed,
    metrics: &Metrics,
    mut stream: TcpStream,
) -> Result<(), Error> {
    let _without_delay = stream.set_nodelay(true);
    let challenge = exchange::send_challenge(&mut stream).await?;
    loop {
        let sealed = exchange::receive_question(&mut stream);
        let sealed = tokio::time::timeout(IDLE_TIMEOUT, sealed).await;
        let sealed = sealed.map_err(|_| Error::Stalled)??;
        let question = sealed.question()?;
        check(feed, &challenge, &sealed, &question).await?;
        let asked_at = clock::now();
        wait_for_news(feed, &question).await;
        let mut answer = answer(feed, &question);
        answer.waited_ms = clock::now().since(asked_at).0;
        metrics.count("feed_answers");
        exchange::send_answer(&mut stream, &feed.key, &challenge, &answer).await?;
    }
}

/// Checks that an entry that the store announces asks: the answer contains customers' API keys.
///
/// The announcement of an entry that has just started may not be known yet.
async fn check(
    feed: &Feed,
    challenge: &Challenge,
    sealed: &exchange::Sealed,
    question: &Question,
) -> Result<(), Error> {
    let announced = async {
        loop {
            let changed = feed.changed.notified();
            let announcement = feed.announcement(&question.from);
            let key = announcement.and_then(|announcement| announcement.key);
            if key.is_some_and(|key| sealed.check_question(challenge, &key).is_ok()) {
                return;
            }
            changed.await;
        }
    };
    let wait = Duration::from_millis(question.wait_ms.into()).min(MAX_WAIT_UNKNOWN);
    let announced = tokio::time::timeout(wait, announced).await;
    announced.map_err(|_| Error::NotAuthentic)
}

/// Waits until there is something that the follower was not told.
async fn wait_for_news(feed: &Feed, question: &Question) {
    let wait = Duration::from_millis(question.wait_ms.into()).min(MAX_WAIT);
    let news = async {
        loop {
            let changed = feed.changed.notified();
            if has_news(feed, question) {
                return;
            }
            changed.await;
        }
    };
    let _told_or_timeout = tokio::time::timeout(wait, news).await;
}

/// Returns whether there is something that the follower does not know. It may have been told and
/// not have taken it.
fn has_news(feed: &Feed, question: &Question) -> bool {
    let belief = feed.belief.borrow();
    let is_started = belief.is_away() || belief.age(clock::now()).is_some();
    let is_behind = belief.era() == question.era && belief.through() > question.after;
    is_started && (is_behind || mark(feed) != question.told)
}

fn mark(feed: &Feed) -> Mark {
    Mark {
        boot: feed.boot,
        version: feed.belief.borrow().version(),
    }
}

fn answer(feed: &Feed, question: &Question) -> Answer {
    let belief = *feed.belief.borrow();
    let replica = feed.replica.borrow();
    // What is known of another era is of no use to the follower.
    let is_useful = belief.era() == question.era && belief.age(clock::now()).is_some();
    let (is_whole, items) = match is_useful.then(|| replica.since(question.after)) {
        None => (false, Vec::new()),
        Some(Missing::Changes(items)) => (false, items),
        Some(Missing::Whole(items)) => (true, items),
    };
    let rows = items.into_iter().map(|item| {
        let known = (!is_whole && !question.wants_texts).then_some(question.after);
        row(feed, item, known)
    });
    Answer {
        number: question.number,
        mark: mark(feed),
        era: belief.era(),
        is_away: belief.is_away(),
        outages: belief.outages(),
        age_ms: belief.age(clock::now()).map(|age| age.0),
        waited_ms: 0,
        through: belief.through(),
        is_whole,
        rows: rows.collect(),
    }
}

/// Returns the row of a key, as a difference if the follower knows the changes through `known`.
fn row(feed: &Feed, item: Item<Content>, known: Option<Revision>) -> Row {
    let Item {
        key,
        value,
        revision,
    } = item;
    let mut earlier = feed.earlier.borrow_mut();
    let value = match value {
        None => Value::Removed,
        Some(Content::Unreadable(cause)) => Value::Unreadable(cause),
        Some(Content::Text(text)) => {
            let difference = known.and_then(|known| earlier.difference(&key, known));
            let difference = difference.map(|(_, difference)| difference);
            match difference.filter(|difference| difference.size() < text.len()) {
                Some(difference) => Value::Difference(difference),
                None => Value::Text(text),
            }
        }
    };
    Row {
        key,
        revision,
        value,
    }
}
