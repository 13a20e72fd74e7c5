//! A route: which stages run which layers of one request.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::layer::Range;
use crate::name::Server;

/// One stage of a route.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// The backend server.
    pub server: Server,
    /// Where its sidecar listens.
    pub address: Arc<str>,
    /// The layers that it runs for this request, all within those that its engine holds.
    pub layers: Range,
}

/// The stages of one request, in order, and where the tokens go.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Where the entry listens for tokens.
    pub entry: Arc<str>,
    /// In layer order.
    pub stages: Vec<Stage>,
}

impl Route {
    /// Tells whether the stages run each layer of `[0, layers)` once and in order.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::path::Route;
    /// assert!(!Route::default().is_partition(4));
    /// ```
    #[must_use]
    pub fn is_partition(&self, layers: u32) -> bool {
        let mut next = 0;
        for stage in &self.stages {
            if stage.layers.is_empty() || stage.layers.start != next {
                return false;
            }
            next = stage.layers.end;
        }
        next == layers && !self.stages.is_empty()
    }

    /// Returns the index of a backend server's stage.
    #[must_use]
    pub fn index_of(&self, server: &Server) -> Option<usize> {
        self.stages.iter().position(|stage| &stage.server == server)
    }
}
