//! What is known of a registered server.

use crate::layer::Range;
use crate::name::Server as Name;
use crate::pipeline::liveness::Evidence;
use crate::pipeline::server::Incarnation;
use crate::pipeline::server::Server;
use crate::pipeline::server::State;
use crate::time::Instant;
use crate::time::Span;

use super::Registration;
use super::Roster;
use super::find;

impl Roster {
    /// Returns the evidence that a server that is no longer registered has ended; `None` if it may
    /// still be serving requests.
    ///
    /// Some servers leave without draining. Counting them as ended when their registration is
    /// removed would let their requests run on one more server than their routes allow.
    #[must_use]
    pub fn end(&self, incarnation: &Incarnation) -> Option<Evidence> {
        match self.departed.get(incarnation) {
            Some(departure) => departure.end,
            None => Some(Evidence::Unregistered),
        }
    }

    /// Returns the servers that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &Server> {
        let servers = self
            .registrations
            .values()
            .map(|registration| &registration.server);
        servers.filter(|server| {
            server.state == State::Ready
                && !self.leavers.is_unconfirmed(&server.incarnation)
                && !self.strangers.contains(&server.incarnation)
        })
    }

    /// Returns how long this incarnation of a server has been registered, as far as this entry has
    /// seen.
    #[must_use]
    pub fn age(&self, now: Instant, incarnation: &Incarnation) -> Option<Span> {
        let registration = self.registration(incarnation)?;
        Some(now.since(registration.since))
    }

    /// Returns whether a registered server is draining.
    #[must_use]
    pub fn is_draining(&self, incarnation: &Incarnation) -> bool {
        self.registration(incarnation)
            .is_some_and(|registration| registration.draining_since.is_some())
    }

    /// Returns the servers that have been draining for at least `min_duration`.
    pub fn draining(&self, now: Instant, min_duration: Span) -> impl Iterator<Item = &Incarnation> {
        let has_drained = move |registration: &&Registration| {
            let since = registration
                .draining_since
                .map(|draining_since| now.since(draining_since));
            since.is_some_and(|since| since >= min_duration)
        };
        let leaving = self.registrations.values().filter(has_drained);
        leaving.map(|registration| &registration.server.incarnation)
    }

    /// Returns a registered server, or `None` if it has restarted since.
    #[must_use]
    pub fn get(&self, incarnation: &Incarnation) -> Option<&Server> {
        Some(&self.registration(incarnation)?.server)
    }

    /// Returns the registered incarnation of a server.
    #[must_use]
    pub fn incarnation(&self, name: &Name) -> Option<&Incarnation> {
        let registration = self.registrations.get(name)?;
        Some(&registration.server.incarnation)
    }

    /// Returns the layers that a server holds, whichever incarnation is registered.
    #[must_use]
    pub fn held(&self, name: &Name) -> Option<Range> {
        self.registrations
            .get(name)
            .map(|registration| registration.server.held)
    }

    /// Returns whether another incarnation of the server is registered.
    #[must_use]
    pub fn has_restarted(&self, incarnation: &Incarnation) -> bool {
        let registration = self.registrations.get(&incarnation.server);
        registration.is_some_and(|registration| registration.server.incarnation != *incarnation)
    }

    pub(super) fn registration(&self, incarnation: &Incarnation) -> Option<&Registration> {
        find(&self.registrations, incarnation)
    }
}
