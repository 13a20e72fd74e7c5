//! Servers that others displaced from their addresses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::name::Server as Name;
use crate::pipeline::server::Incarnation;
use crate::pipeline::server::Server;

/// The listed servers that others displaced, by the one that has their address now.
///
/// They are back if that one turns out not to be there.
#[derive(Clone, Debug, Default)]
pub(super) struct Displaced(BTreeMap<Incarnation, Vec<Server>>);

impl Displaced {
    /// Records that a server displaced others, and with them those that these had displaced.
    pub(super) fn insert(&mut self, by: &Incarnation, servers: Vec<Server>) {
        let earlier: Vec<Server> = servers
            .iter()
            .flat_map(|server| self.take(&server.incarnation))
            .collect();
        let displaced = self.0.entry(by.clone()).or_default();
        displaced.extend(servers);
        displaced.extend(earlier);
    }

    /// Returns the servers that a server displaced, and forgets them.
    pub(super) fn take(&mut self, by: &Incarnation) -> Vec<Server> {
        self.0.remove(by).unwrap_or_default()
    }

    /// Forgets a server whose registration was written or removed.
    pub(super) fn forget(&mut self, name: &Name) {
        self.retain(|server| server.incarnation.server != *name);
    }

    /// Keeps only the servers that are listed.
    pub(super) fn retain_listed(&mut self, listed: &BTreeSet<&Name>) {
        self.retain(|server| listed.contains(&server.incarnation.server));
    }

    /// Keeps only the servers whose displacers are registered.
    pub(super) fn retain_by(&mut self, is_registered: impl Fn(&Incarnation) -> bool) {
        self.0.retain(|by, _| is_registered(by));
    }

    fn retain(&mut self, is_kept: impl Fn(&Server) -> bool) {
        self.0.retain(|_, servers| {
            servers.retain(&is_kept);
            !servers.is_empty()
        });
    }
}
