//! A copy of the store's keys, and the changes since earlier revisions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::pipeline::memory::Size;
use crate::revision::Revision;

use super::room::Kind;
use super::room::Room;

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

/// What a copy keeps.
#[derive(Clone, Copy, Debug)]
pub struct Rules<V> {
    /// Returns what a key is about; `None` if it is not kept.
    pub kind_of: fn(&str) -> Option<Kind>,
    /// Returns the bytes of a value.
    pub size_of: fn(&V) -> usize,
    /// What all keys together may take.
    pub room: Size,
}

/// What is left of the room of a copy.
#[derive(Clone, Debug)]
struct Bound<V> {
    rules: Rules<V>,
    room: Room,
    /// The kinds of which keys were left out since all were read.
    left_out: Vec<Kind>,
}

impl<V> Bound<V> {
    fn cost(&self, kind: Kind, key: &str, value: &V) -> u64 {
        Room::cost(kind, key, (self.rules.size_of)(value))
    }

    /// Takes room for a value in place of an earlier one; returns whether there is any.
    fn replace(&mut self, key: &str, earlier: Option<&V>, value: Option<&V>) -> bool {
        let Some(kind) = (self.rules.kind_of)(key) else {
            return false;
        };
        if let Some(earlier) = earlier {
            self.room.give_back(kind, self.cost(kind, key, earlier));
        }
        let Some(value) = value else {
            return true;
        };
        let cost = self.cost(kind, key, value);
        let has_room = match earlier {
            Some(_) => self.room.take(kind, cost),
            None => self.room.take_new(kind, cost),
        };
        if !has_room {
            self.leave_out(kind);
        }
        has_room
    }

    fn leave_out(&mut self, kind: Kind) {
        if !self.left_out.contains(&kind) {
            self.left_out.push(kind);
        }
    }
}

/// A copy of the store's keys with the last change of each.
///
/// A copy with [`Rules`] leaves out keys for which there is no room, and takes a known key that has none
/// any more for removed. Otherwise ever new keys, which anybody may write, would end the process.
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
    bound: Option<Bound<V>>,
}

impl<V> Default for Replica<V> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            order: BTreeSet::new(),
            removed: BTreeSet::new(),
            complete_from: None,
            through: Revision::default(),
            bound: None,
        }
    }
}

impl<V: Clone> Replica<V> {
    /// Creates a copy that keeps no more than its rules allow.
    #[must_use]
    pub fn bounded(rules: Rules<V>) -> Self {
        let bound = Bound {
            room: Room::new(rules.room),
            rules,
            left_out: Vec::new(),
        };
        Self {
            bound: Some(bound),
            ..Self::default()
        }
    }

    /// Returns an empty copy with the same rules.
    #[must_use]
    pub fn emptied(&self) -> Self {
        let rules = self.bound.as_ref().map(|bound| &bound.rules);
        rules.map_or_else(Self::default, |rules| {
            Self::bounded(Rules {
                kind_of: rules.kind_of,
                size_of: rules.size_of,
                room: rules.room,
            })
        })
    }

    /// Returns whether keys were left out that there is room for by now.
    #[must_use]
    pub fn has_room_again(&self) -> bool {
        self.bound.as_ref().is_some_and(|bound| {
            let mut kinds = bound.left_out.iter();
            kinds.any(|kind| bound.room.is_wide(*kind))
        })
    }

    /// Records keys that the reader of all keys has left out, by kind.
    pub fn left_out(&mut self, kinds: &[Kind]) {
        if let Some(bound) = &mut self.bound {
            kinds.iter().for_each(|kind| bound.leave_out(*kind));
        }
    }

    /// Replaces all keys with those that the store held at a revision, or a little later.
    ///
    /// Keys that are missing were removed meanwhile; those who know the keys before learn of that.
    pub fn replace(&mut self, items: impl IntoIterator<Item = Item<V>>, through: Revision) {
        let mut gone: BTreeSet<Arc<str>> = self.items.keys().cloned().collect();
        if let Some(bound) = &mut self.bound {
            bound.left_out.clear();
        }
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

    /// Applies changes, after which all changes through a revision are known. Returns the keys that are
    /// left out; they count as removed.
    pub fn apply(
        &mut self,
        changes: impl IntoIterator<Item = Item<V>>,
        through: Revision,
    ) -> BTreeSet<Arc<str>> {
        let mut left_out = BTreeSet::new();
        for change in changes {
            let key = change.key.clone();
            match self.insert(change) {
                true => left_out.remove(&key),
                false => left_out.insert(key),
            };
        }
        self.through = self.through.max(through);
        left_out
    }

    /// Applies one change, unless a later one of its key is known. Returns whether its value is kept.
    fn insert(&mut self, item: Item<V>) -> bool {
        let Item {
            key,
            value,
            revision,
        } = item;
        let earlier = self.items.get(&key);
        if earlier.is_some_and(|(_, known)| *known > revision) {
            return true;
        }
        let is_kept = match &mut self.bound {
            None => true,
            Some(bound) => {
                let earlier = earlier.and_then(|(value, _)| value.as_ref());
                bound.replace(&key, earlier, value.as_ref())
            }
        };
        if !is_kept && earlier.is_none() {
            return false;
        }
        let value = value.filter(|_| is_kept);
        if let Some((_, known)) = earlier {
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
        is_kept
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
