//! A copy of the store's keys, and the changes since earlier revisions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::revision::Revision;

/// The number of removed keys that are remembered, ten rolls of a thousand entries. Whoever knows
/// less than that gets the whole.
const MAX_REMOVED: usize = 10_000;

/// The last change of a key: its value, or `None` if it was removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<V> {
    /// The key.
    pub key: Arc<str>,
    /// Its value; `None` if it was removed.
    pub value: Option<V>,
    /// The revision of the change.
    pub revision: Revision,
}

/// What is missing to one who knows the store through a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Missing<V> {
    /// The last change of each key that changed since, in the order of their revisions.
    Changes(Vec<Item<V>>),
    /// All keys, because some removed since are no longer known.
    Whole(Vec<Item<V>>),
}

/// A copy of the store's keys with the last change of each.
///
/// Only the last change of a key is kept and passed on, so that one who falls behind a storm of
/// configurations receives the newest alone.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::feed::replica::Item;
/// # use jujube_core::pipeline::feed::replica::Missing;
/// # use jujube_core::pipeline::feed::replica::Replica;
/// # use jujube_core::revision::Revision;
/// let put = |key: &str, value, revision| Item {
///     key: key.into(),
///     value: Some(value),
///     revision: Revision(revision),
/// };
/// let mut replica = Replica::default();
/// replica.replace([put("a", 1, 3)], Revision(4));
/// replica.apply([put("a", 2, 5), put("a", 3, 6)], Revision(6));
/// assert_eq!(replica.since(Revision(4)), Missing::Changes(vec![put("a", 3, 6)]));
/// assert_eq!(replica.since(Revision(2)), Missing::Whole(vec![put("a", 3, 6)]));
/// ```
#[derive(Clone, Debug)]
pub struct Replica<V> {
    items: BTreeMap<Arc<str>, (Option<V>, Revision)>,
    order: BTreeSet<(Revision, Arc<str>)>,
    removed: BTreeSet<(Revision, Arc<str>)>,
    /// The revision from which all removals are known.
    complete_from: Option<Revision>,
    through: Revision,
}

impl<V> Default for Replica<V> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            order: BTreeSet::new(),
            removed: BTreeSet::new(),
            complete_from: None,
            through: Revision::default(),
        }
    }
}

impl<V: Clone> Replica<V> {
    /// Replaces all keys with those that the store held at a revision, or a little later.
    ///
    /// Keys that are missing were removed meanwhile; those who know the keys before learn of that.
    pub fn replace(&mut self, items: impl IntoIterator<Item = Item<V>>, through: Revision) {
        let mut gone: BTreeSet<Arc<str>> = self.items.keys().cloned().collect();
        for item in items {
            gone.remove(&item.key);
            self.insert(item);
        }
        for key in gone {
            let known = self.items.get(&key);
            if known.is_some_and(|(value, revision)| value.is_some() && *revision <= through) {
                self.insert(Item {
                    key,
                    value: None,
                    revision: through,
                });
            }
        }
        self.complete_from.get_or_insert(through);
        self.through = self.through.max(through);
    }

    /// Applies changes, after which all changes through a revision are known.
    pub fn apply(&mut self, changes: impl IntoIterator<Item = Item<V>>, through: Revision) {
        for change in changes {
            self.insert(change);
        }
        self.through = self.through.max(through);
    }

    /// Applies one change, unless a later one of its key is known.
    fn insert(&mut self, item: Item<V>) {
        let Item {
            key,
            value,
            revision,
        } = item;
        if let Some((_, known)) = self.items.get(&key) {
            if *known > revision {
                return;
            }
            self.order.remove(&(*known, key.clone()));
            self.removed.remove(&(*known, key.clone()));
        }
        self.order.insert((revision, key.clone()));
        if value.is_none() {
            self.removed.insert((revision, key.clone()));
        }
        self.items.insert(key, (value, revision));
        if self.removed.len() > MAX_REMOVED {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((revision, key)) = self.removed.pop_first() {
            self.items.remove(&key);
            self.order.remove(&(revision, key));
            self.complete_from = self.complete_from.max(Some(revision));
        }
    }

    /// Returns what one who knows the store through `after` is missing.
    #[must_use]
    pub fn since(&self, after: Revision) -> Missing<V> {
        if self.complete_from.is_none_or(|from| after < from) {
            return Missing::Whole(self.all());
        }
        let later = self.order.range((after.next(), "".into())..);
        Missing::Changes(later.filter_map(|(_, key)| self.item(key)).collect())
    }

    /// Returns all keys that exist.
    #[must_use]
    pub fn all(&self) -> Vec<Item<V>> {
        let items = self.order.iter().filter_map(|(_, key)| self.item(key));
        items.filter(|item| item.value.is_some()).collect()
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&V> {
        self.items.get(key)?.0.as_ref()
    }

    /// Returns the revision through which all changes are known.
    #[must_use]
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Returns whether the keys have been read.
    #[must_use]
    pub fn is_filled(&self) -> bool {
        self.complete_from.is_some()
    }

    fn item(&self, key: &Arc<str>) -> Option<Item<V>> {
        let (value, revision) = self.items.get(key)?;
        Some(Item {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        })
    }
}
