//! Which entries read the store, and from which entries the others receive its changes.

use std::sync::Arc;

use crate::hash;
use crate::time::Instant;

use super::Directory;
use super::Id;
use super::SPEAKERS;

/// The number of cells whose speakers read the store. Two, in different availability zones where
/// there are several, so that neither the loss of a zone nor that of a cell leaves no reader. The
/// calls to the store therefore do not grow with the number of entries.
const READING_CELLS: usize = 2;

/// How an entry receives the changes of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// It reads the store, and passes the changes on.
    Reader,
    /// It asks these entries for the changes, the preferred one first.
    Follower {
        /// The entries, which are readers or ask readers themselves.
        sources: Vec<Arc<str>>,
        /// Whether other entries ask this one, so that it may not wait as long as they do.
        has_followers: bool,
    },
}

impl Directory {
    /// Returns how this entry receives the changes of the store.
    ///
    /// The speakers of the first cells read it; those of the other cells ask these readers; all
    /// other entries ask the speakers of their cell. A change therefore takes two hops at most,
    /// and an entry has at most as many followers as its cell has entries, beside its part of the
    /// other cells' speakers.
    #[must_use]
    pub fn role(&self, now: Instant) -> Role {
        let reading = self.reading_cells();
        let is_speaker = match self.has_heard_cell(now) {
            true => self.is_speaker(now),
            // It has just started, and would take itself for the only active one.
            false => self.would_speak_among(self.names(&self.home)),
        };
        if is_speaker && reading.contains(&&self.home) {
            return Role::Reader;
        }
        let cells = match is_speaker {
            true => reading,
            false => vec![&self.home],
        };
        let mut sources: Vec<Arc<str>> = cells
            .into_iter()
            .flat_map(|id| self.probable_speakers(now, id))
            .collect();
        if !sources.is_empty() {
            // Spreads the followers over the sources.
            let first = hash::of(&self.own) as usize % sources.len();
            sources.rotate_left(first);
        }
        Role::Follower {
            sources,
            has_followers: is_speaker,
        }
    }

    fn has_heard_cell(&self, now: Instant) -> bool {
        let mut others = self.names(&self.home).filter(|name| **name != self.own);
        others.any(|name| self.is_active(now, name))
    }

    /// Returns the cells whose speakers read the store, the same at all entries that know the same
    /// members.
    fn reading_cells(&self) -> Vec<&Id> {
        let mut ids: Vec<&Id> = self.cells.keys().collect();
        // The first parts of all zones precede the second ones.
        ids.sort_by_key(|id| (id.number(), hash::of(id)));
        ids.truncate(READING_CELLS);
        ids
    }

    /// Returns the other entries that probably speak for a cell: those that are active, and at
    /// first, when none is known to be, those that would be if all were.
    fn probable_speakers(&self, now: Instant, id: &Id) -> Vec<Arc<str>> {
        let others = self.names(id).filter(|name| **name != self.own);
        let mut ranked: Vec<&Arc<str>> = others.collect();
        ranked.sort_by_key(|name| (!self.is_active(now, name), hash::of((id, name))));
        ranked.into_iter().take(SPEAKERS).cloned().collect()
    }
}
