//! The route of one request: the stages and the layers that each runs.

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
    /// The address of its sidecar.
    pub address: Arc<str>,
    /// The layers that it runs for this request, a subset of those that its engine holds.
    pub layers: Range,
}

/// The stages of one request and the address to which the tokens are sent.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The address at which the entry receives tokens.
    pub entry: Arc<str>,
    /// The stages in layer order.
    pub stages: Vec<Stage>,
}

impl Route {
    /// Returns whether the stages run each layer of `[0, layers)` exactly once and in order.
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

    /// Returns the index of the stage that a backend server runs.
    #[must_use]
    pub fn index_of(&self, server: &Server) -> Option<usize> {
        self.stages.iter().position(|stage| &stage.server == server)
    }
}
