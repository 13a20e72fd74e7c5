//! Earlier values of large keys, from which differences are made.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::revision::Revision;

use super::difference::Difference;

/// The smallest text of which earlier values are kept. A difference of a smaller one saves no packet.
const MIN_TEXT_BYTES: usize = 4_096;
/// The number of values that are kept of each key. Who knows none of them gets the whole text.
const MAX_VALUES: usize = 4;

#[derive(Clone, Debug, Default)]
struct Values {
    values: VecDeque<(Revision, Arc<str>)>,
    /// The last difference to the newest value; most followers ask for the same one.
    made: Option<(Revision, Arc<Difference>)>,
}

/// Earlier values of large keys, such as the configuration.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::feed::earlier::Earlier;
/// # use jujube_core::revision::Revision;
/// let text = |last: &str| -> std::sync::Arc<str> { format!("{}{last}", "{}".repeat(4_000)).into() };
/// let mut earlier = Earlier::default();
/// earlier.record("k", Revision(3), &text("a"));
/// earlier.record("k", Revision(7), &text("b"));
/// let (from, difference) = earlier.difference("k", Revision(5)).unwrap();
/// assert_eq!(from, Revision(3));
/// assert!(difference.size() < 100);
/// assert!(earlier.difference("k", Revision(2)).is_none(), "that value is not known");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Earlier(BTreeMap<Arc<str>, Values>);

impl Earlier {
    /// Records a value that a key was given at a revision.
    pub fn record(&mut self, key: &str, revision: Revision, text: &Arc<str>) {
        if text.len() < MIN_TEXT_BYTES {
            self.0.remove(key);
            return;
        }
        let values = self.0.entry(key.into()).or_default();
        let newest = values.values.back().map(|(newest, _)| *newest);
        if newest >= Some(revision) {
            return;
        }
        values.values.push_back((revision, text.clone()));
        values.made = None;
        if values.values.len() > MAX_VALUES {
            values.values.pop_front();
        }
    }

    /// Forgets the values of a key that was removed.
    pub fn forget(&mut self, key: &str) {
        self.0.remove(key);
    }

    /// Returns the newest value of a key as its difference from the one that was known through
    /// `after`, with the revision of that one.
    pub fn difference(
        &mut self,
        key: &str,
        after: Revision,
    ) -> Option<(Revision, Arc<Difference>)> {
        let values = self.0.get_mut(key)?;
        let (newest, later) = values.values.back()?;
        let mut known = values
            .values
            .iter()
            .rev()
            .filter(|(revision, _)| *revision <= after);
        let (from, text) = known.next().filter(|(from, _)| from < newest)?;
        if let Some(made) = values.made.as_ref().filter(|(made, _)| made == from) {
            return Some(made.clone());
        }
        let made = (*from, Arc::new(Difference::new(text, later)));
        values.made = Some(made.clone());
        Some(made)
    }
}
