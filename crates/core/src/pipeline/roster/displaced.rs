//! Servers that others displaced from their addresses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::name::Server as Name;
use crate::pipeline::server::Incarnation;
use crate::pipeline::server::Server;
use crate::time::Instant;
use crate::time::Span;

/// How long after a claim its server is asked whether it is there. The registration of a server that
/// died before expires in less.
const ASK_AFTER: Span = Span(4_000);

/// What a server displaced by registering at an address.
#[derive(Clone, Debug)]
struct Claim {
    ask_at: Instant,
    displaced: Vec<Server>,
}

/// The listed servers that others displaced, by the one that claims their address.
///
/// They are back if that one turns out not to be there.
#[derive(Clone, Debug, Default)]
pub(super) struct Displaced(BTreeMap<Incarnation, Claim>);

impl Displaced {
    /// Records that a server displaced others, and with them those that these had displaced.
    pub(super) fn insert(&mut self, now: Instant, by: &Incarnation, servers: Vec<Server>) {
        let earlier: Vec<Server> = servers
            .iter()
            .flat_map(|server| self.take(&server.incarnation))
            .collect();
        if servers.is_empty() {
            return;
        }
        let claim = self.0.entry(by.clone()).or_insert_with(|| Claim {
            ask_at: now.plus(ASK_AFTER),
            displaced: Vec::new(),
        });
        claim.displaced.extend(servers);
        claim.displaced.extend(earlier);
    }

    /// Records that a later start of a server holds the claim of an earlier one.
    pub(super) fn inherit(&mut self, earlier: &Incarnation, later: &Incarnation) {
        let Some(mut claim) = self.0.remove(earlier) else {
            return;
        };
        claim.displaced.extend(self.take(later));
        self.0.insert(later.clone(), claim);
    }

    /// Returns the servers that a server displaced.
    pub(super) fn by(&self, by: &Incarnation) -> &[Server] {
        self.0.get(by).map_or(&[], |claim| &claim.displaced)
    }

    /// Returns the servers that a server displaced, and forgets them.
    pub(super) fn take(&mut self, by: &Incarnation) -> Vec<Server> {
        self.0
            .remove(by)
            .map_or(Vec::new(), |claim| claim.displaced)
    }

    /// Returns the servers whose claims are to be checked now, and sets when they are checked next.
    pub(super) fn due(&mut self, now: Instant) -> Vec<Incarnation> {
        let due = self.0.iter_mut().filter(|(_, claim)| claim.ask_at <= now);
        let due = due.map(|(by, claim)| {
            claim.ask_at = now.plus(ASK_AFTER);
            by.clone()
        });
        due.collect()
    }

    /// Forgets a server whose registration was written or removed.
    pub(super) fn forget(&mut self, name: &Name) {
        self.retain(|server| server.incarnation.server != *name);
    }

    /// Keeps only the servers that are listed.
    pub(super) fn retain_listed(&mut self, listed: &BTreeSet<&Name>) {
        self.retain(|server| listed.contains(&server.incarnation.server));
    }

    /// Returns the claims of servers that are not registered any more.
    pub(super) fn unheld(&self, is_registered: impl Fn(&Incarnation) -> bool) -> Vec<Incarnation> {
        let claimants = self.0.keys().filter(|by| !is_registered(by));
        claimants.cloned().collect()
    }

    fn retain(&mut self, is_kept: impl Fn(&Server) -> bool) {
        self.0.retain(|_, claim| {
            claim.displaced.retain(&is_kept);
            !claim.displaced.is_empty()
        });
    }
}
