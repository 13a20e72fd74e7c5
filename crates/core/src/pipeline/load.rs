//! What this entry has in flight at each backend server.

use std::collections::BTreeMap;

use crate::name::Server;
use crate::pipeline::path::Path;

/// The memory of requests in flight, in tokens times layers, and their number.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::load::Load;
/// let mut load = Load::default();
/// load.open(&"a".into(), 800.0);
/// assert_eq!(load.tokens(&"a".into()), 800.0);
/// load.close(&"a".into(), 800.0);
/// assert_eq!(load.requests(&"a".into()), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Load {
    servers: BTreeMap<Server, (f64, u64)>,
}

impl Load {
    /// Books a request at a server.
    pub fn open(&mut self, server: &Server, tokens: f64) {
        let used = self.servers.entry(server.clone()).or_default();
        used.0 += tokens;
        used.1 += 1;
    }

    /// Books its end.
    pub fn close(&mut self, server: &Server, tokens: f64) {
        let Some(used) = self.servers.get_mut(server) else {
            return;
        };
        used.0 -= tokens;
        used.1 = used.1.saturating_sub(1);
        if used.1 == 0 {
            self.servers.remove(server);
        }
    }

    /// Books a request of `tokens` tokens on every part of a path.
    pub fn open_path(&mut self, path: &Path, tokens: f64) {
        for part in path.parts() {
            self.open(&part.server, tokens * f64::from(part.layers.len()));
        }
    }

    /// Books its end.
    pub fn close_path(&mut self, path: &Path, tokens: f64) {
        for part in path.parts() {
            self.close(&part.server, tokens * f64::from(part.layers.len()));
        }
    }

    /// Returns the memory in use at a server, in tokens times layers.
    #[must_use]
    pub fn tokens(&self, server: &Server) -> f64 {
        self.servers.get(server).map_or(0.0, |used| used.0)
    }

    /// Returns the requests in flight at a server.
    #[must_use]
    pub fn requests(&self, server: &Server) -> u64 {
        self.servers.get(server).map_or(0, |used| used.1)
    }
}
