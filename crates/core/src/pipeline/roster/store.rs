//! What the roster knows of the store: its outages, and restores from a copy.

use crate::time::Instant;

use super::OUTAGE_EFFECT_WINDOW;
use super::Roster;
use super::STALE_COPY_WINDOW;

impl Roster {
    /// Records that the store is unavailable.
    pub fn store_lost(&mut self) {
        self.is_away = true;
    }

    /// Records that the store is available again.
    pub fn store_returned(&mut self, now: Instant) {
        if self.is_away {
            self.is_away = false;
            self.returned = Some(now);
        }
    }

    /// Records that the store was restored from an older copy.
    ///
    /// The copy may list a draining server as ready, or a departed one as registered; both must get
    /// no new work. Servers that are missing may have joined since the copy was made, and count for
    /// as long as after an outage.
    pub fn restored(&mut self, now: Instant) {
        self.store_lost();
        self.store_returned(now);
        self.outdated_until = Some(now.plus(STALE_COPY_WINDOW));
    }

    /// Returns whether the registrations may be those of an older copy.
    #[must_use]
    pub fn may_be_outdated(&self, now: Instant) -> bool {
        self.outdated_until.is_some_and(|until| now < until)
    }

    /// Returns whether servers have had time to register again after a restore, so that the
    /// registrations are to be read again.
    #[must_use]
    pub fn needs_reread(&self, now: Instant) -> bool {
        self.outdated_until.is_some_and(|until| now >= until)
    }

    /// Records that the registrations are being read again after a restore.
    pub fn start_reread(&mut self) {
        self.outdated_until = None;
    }

    /// Returns when the store last became available again, if it was unavailable.
    #[must_use]
    pub fn returned(&self) -> Option<Instant> {
        self.returned
    }

    /// Returns whether the store is unavailable.
    #[must_use]
    pub fn is_store_away(&self) -> bool {
        self.is_away
    }

    pub(super) fn may_be_outage_effect(&self, now: Instant) -> bool {
        let returned = self.returned;
        self.is_away || returned.is_some_and(|returned| now.since(returned) <= OUTAGE_EFFECT_WINDOW)
    }
}
