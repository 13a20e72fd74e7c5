//! The changes of the store: read by a few entries, and passed on to the others.

mod ask;
mod exchange;
mod first;
pub(crate) mod kind;
mod serve;
mod source;

use std::cell::RefCell;
use std::fmt;
use std::sync::Arc;

use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use jujube_core::pipeline::era::Era;
use jujube_core::pipeline::feed::belief::Belief;
use jujube_core::pipeline::feed::bounds::Bounds;
use jujube_core::pipeline::feed::earlier::Earlier;
use jujube_core::pipeline::feed::replica::Item;
use jujube_core::pipeline::feed::replica::Replica;
use jujube_core::pipeline::feed::replica::Rules;
use jujube_core::pipeline::feed::room::Kind;
use jujube_core::pipeline::memory::Size;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::word::Fields;
use jujube_program::word::Word;
use jujube_store::kv::Change;
use jujube_store::kv::Revision;
use jujube_store::kv::Value;

use crate::gossip;
use crate::gossip::Announcement;

pub use serve::serve;
pub use source::Source;

/// A value of the store, shared by all who hold it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Content {
    /// A text.
    Text(Arc<str>),
    /// Bytes that are not text, and why.
    Unreadable(Arc<str>),
}

impl From<Value> for Content {
    fn from(value: Value) -> Self {
        match value {
            Value::Text(text) => Self::Text(text.into()),
            Value::Unreadable(cause) => Self::Unreadable(cause.into()),
        }
    }
}

impl From<Content> for Value {
    fn from(content: Content) -> Self {
        match content {
            Content::Text(text) => Self::Text(text.to_string()),
            Content::Unreadable(cause) => Self::Unreadable(cause.to_string()),
        }
    }
}

/// The smallest value of which earlier ones are kept as well, and how many of these.
const LARGE_BYTES: usize = 4_096;
const EARLIER: usize = 4;

/// Returns what is kept of a value at most, with its earlier ones.
fn size_of(content: &Content) -> usize {
    let (Content::Text(text) | Content::Unreadable(text)) = content;
    match text.len() {
        small if small < LARGE_BYTES => small,
        large => large * (1 + EARLIER),
    }
}

fn item(change: Change) -> Item<Content> {
    Item {
        key: change.key.into(),
        value: change.value.map(Content::from),
        revision: change.revision,
    }
}

fn change(item: Item<Content>) -> Change {
    Change {
        key: item.key.to_string(),
        value: item.value.map(Value::from),
        revision: item.revision,
    }
}

/// By which knowledge of the store this entry judges requests.
#[derive(Clone, Debug)]
pub struct View {
    /// The revision through which all changes are known.
    pub revision: Revision,
    /// How old that is; `None` before the first answer.
    pub age: Option<Span>,
    /// The entry that told it; this one if it read the store itself.
    pub source: Arc<str>,
}

impl Fields for View {}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            revision, source, ..
        } = self;
        let source = Word(source);
        match self.age {
            Some(age) => write!(f, "known={revision} known_age_ms={age} known_from={source}"),
            None => write!(f, "known={revision} known_age_ms=- known_from={source}"),
        }
    }
}

/// What this entry knows of the store, for itself and for those that ask it.
pub struct Feed {
    own: Arc<str>,
    bounds: Bounds,
    /// Tells this process apart from earlier ones of the same name.
    boot: u64,
    key: SigningKey,
    replica: RefCell<Replica<Content>>,
    earlier: RefCell<Earlier>,
    belief: RefCell<Belief>,
    source: RefCell<Arc<str>>,
    /// Notified when there is something to pass on.
    changed: tokio::sync::Notify,
}

impl Feed {
    /// Creates the feed of an entry that knows nothing of the store.
    ///
    /// Of the keys it keeps those for which `kind_of` returns a kind, as far as `room` goes.
    pub fn new(
        own: Arc<str>,
        bounds: Bounds,
        kind_of: fn(&str) -> Option<Kind>,
        room: Size,
    ) -> Self {
        let rules = Rules {
            kind_of,
            size_of,
            room,
        };
        Self {
            bounds,
            source: RefCell::new(own.clone()),
            own,
            boot: rand::random(),
            key: SigningKey::from_bytes(&rand::random()),
            replica: RefCell::new(Replica::bounded(rules)),
            earlier: RefCell::default(),
            belief: RefCell::default(),
            changed: tokio::sync::Notify::new(),
        }
    }

    /// Returns whether a few of `entries` entries read the store for all.
    pub fn is_shared(&self, entries: usize) -> bool {
        self.bounds.is_shared(entries)
    }

    /// Returns the moment as of which all changes are known, where a few of `entries` entries read
    /// the store for all; `None` where each reads for itself and learns of a change at once, and while
    /// the store is away.
    pub fn told_through(&self, entries: usize) -> Option<Instant> {
        let belief = self.belief.borrow();
        let is_told = self.is_shared(entries) && !belief.is_away();
        belief.as_of().filter(|_| is_told)
    }

    /// Returns the key by which other entries check what this one says.
    pub fn public_key(&self) -> VerifyingKey {
        self.key.verifying_key()
    }

    /// Returns by which knowledge of the store requests are judged now.
    pub fn view(&self) -> View {
        let belief = self.belief.borrow();
        View {
            revision: belief.through(),
            age: belief.age(clock::now()),
            source: self.source.borrow().clone(),
        }
    }

    /// Records that the store became unavailable to this entry.
    pub fn lose(&self) {
        self.belief.borrow_mut().lose();
        self.changed.notify_waiters();
    }

    /// Starts a later era, of which nothing is known yet.
    fn restore(&self, era: Option<Era>) {
        let emptied = self.replica.borrow().emptied();
        self.replica.replace(emptied);
        *self.earlier.borrow_mut() = Earlier::default();
        self.belief.borrow_mut().restore(era);
        self.changed.notify_waiters();
    }

    /// Applies changes as of `asked_at`, which `source` told; those of keys that are left out become
    /// removals.
    fn apply(
        &self,
        changes: &mut [Change],
        through: Revision,
        asked_at: Instant,
        source: &Arc<str>,
    ) {
        self.keep(changes, through);
        self.confirm(through, asked_at, source);
    }

    /// Applies changes that `source` told, after which there may be others.
    fn apply_part(&self, changes: &mut [Change], through: Revision, source: &Arc<str>) {
        self.keep(changes, through);
        self.belief.borrow_mut().advance(through);
        self.tell(source);
    }

    fn keep(&self, changes: &mut [Change], through: Revision) {
        let items: Vec<Item<Content>> = changes.iter().cloned().map(item).collect();
        let left_out = self
            .replica
            .borrow_mut()
            .apply(items.iter().cloned(), through);
        let left = changes
            .iter_mut()
            .filter(|change| left_out.contains(change.key.as_str()));
        left.for_each(|change| change.value = None);
        self.record_earlier(&items);
    }

    /// Applies all keys of the store, read at a revision, of which the reader has left out some kinds.
    fn replace(&self, items: Vec<Item<Content>>, through: Revision, left_out: &[Kind]) {
        let mut replica = self.replica.borrow_mut();
        replica.replace(items.iter().cloned(), through);
        replica.left_out(left_out);
        drop(replica);
        self.record_earlier(&items);
    }

    /// Returns whether all keys should be read again, because there is room for those that were left
    /// out.
    fn has_room_again(&self) -> bool {
        self.replica.borrow().has_room_again()
    }

    /// Keeps texts of known keys, so that later ones can be told as differences.
    fn record_earlier(&self, items: &[Item<Content>]) {
        let (mut earlier, replica) = (self.earlier.borrow_mut(), self.replica.borrow());
        for item in items {
            match &item.value {
                Some(Content::Text(text)) if replica.get(&item.key).is_some() => {
                    earlier.record(&item.key, item.revision, text);
                }
                _ => earlier.forget(&item.key),
            }
        }
    }

    fn confirm(&self, through: Revision, asked_at: Instant, source: &Arc<str>) {
        self.belief.borrow_mut().confirm(asked_at, through);
        self.tell(source);
    }

    /// Lets followers know that there is something new, which `source` told.
    fn tell(&self, source: &Arc<str>) {
        if *self.source.borrow() != *source {
            *self.source.borrow_mut() = source.clone();
        }
        self.changed.notify_waiters();
    }

    /// Returns all keys, and the revision through which they are complete.
    fn all(&self) -> (Vec<Change>, Revision) {
        let replica = self.replica.borrow();
        let changes = replica.all().into_iter().map(change).collect();
        (changes, replica.through())
    }

    /// Returns what an entry announced in the store.
    fn announcement(&self, entry: &str) -> Option<Announcement> {
        let replica = self.replica.borrow();
        let Content::Text(text) = replica.get(&gossip::announcement_key(entry)?)? else {
            return None;
        };
        Announcement::parse(text)
    }
}
