//! Claims to addresses at which other servers are registered.

use crate::pipeline::liveness::Evidence;
use crate::pipeline::server::Incarnation;
use crate::pipeline::server::Server;
use crate::pipeline::server::State;
use crate::time::Instant;

use super::Departure;
use super::Roster;

impl Roster {
    /// Displaces the servers that are registered at the address of one whose registration was written.
    ///
    /// Only one that is ready and was never found elsewhere does so. A server that starts at the address
    /// of a dead one is ready, and shows by its responses that it is there. One that gets no requests
    /// would never be contradicted.
    pub(super) fn claim(&mut self, now: Instant, server: &Server) {
        if server.state != State::Ready || self.strangers.is_refuted(&server.incarnation) {
            return;
        }
        let is_other = |other: &Server| {
            other.address == server.address && other.incarnation.server != server.incarnation.server
        };
        let registered = self.registrations.values().map(|other| &other.server);
        let displaced = registered.filter(|other| is_other(other));
        let displaced: Vec<Server> = displaced.cloned().collect();
        for other in &displaced {
            self.displaced(now, &other.incarnation);
        }
        self.displaced.insert(now, &server.incarnation, displaced);
        self.missing.retain(|missing| !is_other(missing));
    }

    /// Returns the servers that a server displaced and that are still listed.
    pub fn displaced_by(&self, claimant: &Incarnation) -> impl Iterator<Item = &Incarnation> {
        let displaced = self.displaced.by(claimant);
        displaced.iter().map(|server| &server.incarnation)
    }

    /// Returns the servers that are to be asked now whether they are at their addresses: what they
    /// displaced should have expired by now, if it is dead.
    pub fn due_claims(&mut self, now: Instant) -> Vec<Incarnation> {
        self.displaced.due(now)
    }

    /// Records that a server is at its address, so that those that it displaced have ended.
    pub fn confirm_claim(&mut self, claimant: &Incarnation) {
        self.displaced.take(claimant);
    }

    /// Brings back the servers that a server displaced, which may be there. Returns whether there were
    /// any.
    pub fn withdraw_claim(&mut self, now: Instant, claimant: &Incarnation) -> bool {
        let displaced = self.displaced.take(claimant);
        let is_any = !displaced.is_empty();
        for server in displaced {
            self.departed.remove(&server.incarnation);
            if !self.registrations.contains_key(&server.incarnation.server) {
                self.insert(now, server);
            }
        }
        is_any
    }

    /// Records that another process answers at the address of a server; returns `false` if that is
    /// known. The servers that its registration displaced may be there, and are back.
    pub fn stranger(&mut self, now: Instant, incarnation: &Incarnation) -> bool {
        let is_new = self.strangers.turned_away(now, incarnation);
        let is_withdrawn = self.withdraw_claim(now, incarnation);
        is_new || is_withdrawn
    }

    /// Records that another server has the address of this one, which has ended.
    pub fn displaced(&mut self, now: Instant, incarnation: &Incarnation) {
        if self.get(incarnation).is_none() {
            return;
        }
        self.registrations.remove(&incarnation.server);
        self.replaced.push(incarnation.clone());
        let departure = Departure {
            at: now,
            end: Some(Evidence::Unregistered),
            is_displaced: true,
        };
        self.departed.insert(incarnation.clone(), departure);
    }
}
