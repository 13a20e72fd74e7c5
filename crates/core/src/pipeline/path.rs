//! A request's path through backend servers.

use std::fmt;
use std::net::SocketAddr;

use crate::layer::Range;
use crate::pipeline::server::Incarnation;

/// One part of a path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The backend server.
    pub server: Incarnation,
    /// The server's address.
    pub address: SocketAddr,
    /// The layers to run.
    pub layers: Range,
}

/// Parts that run every layer exactly once and in order.
///
/// Validated on construction: engines do not check paths, and a token from an invalid path cannot
/// be told from a correct one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Path(Vec<Part>);

/// Why a list of parts is not a valid path.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// A part does not start where the previous one ends, or the last layer is not reached.
    #[error("the parts do not run every layer once and in order")]
    NotContiguous,
    /// A backend server occurs twice, which engines refuse.
    #[error("a backend server stands in the path twice")]
    DuplicateServer,
    /// There are more parts than engines accept.
    #[error("there are more than {MAX_PARTS} parts")]
    TooLong,
}

/// Maximum number of parts that engines accept.
pub const MAX_PARTS: usize = 32;

impl Path {
    /// Creates a path over a model of `layers` layers.
    ///
    /// # Errors
    ///
    /// The parts do not run every layer exactly once and in order, repeat a server or are too many.
    pub fn new(layers: u32, parts: Vec<Part>) -> Result<Self, Fault> {
        let mut reached = 0;
        for (index, part) in parts.iter().enumerate() {
            if part.layers.start != reached || part.layers.is_empty() {
                return Err(Fault::NotContiguous);
            }
            if parts[..index].iter().any(|p| p.address == part.address) {
                return Err(Fault::DuplicateServer);
            }
            reached = part.layers.end;
        }
        if reached != layers {
            return Err(Fault::NotContiguous);
        }
        if parts.len() > MAX_PARTS {
            return Err(Fault::TooLong);
        }
        Ok(Self(parts))
    }

    /// Returns the parts in order.
    #[must_use]
    pub fn parts(&self) -> &[Part] {
        &self.0
    }

    /// Returns the first part, which receives the request.
    #[must_use]
    pub fn first(&self) -> Option<&Part> {
        self.0.first()
    }

    /// Returns the part at an address.
    #[must_use]
    pub fn part_at(&self, address: SocketAddr) -> Option<&Part> {
        self.0.iter().find(|part| part.address == address)
    }

    /// Returns whether a backend server is part of the path.
    #[must_use]
    pub fn contains(&self, server: &Incarnation) -> bool {
        self.0.iter().any(|part| part.server == *server)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(f, "{comma}{}={}", part.address, part.layers)?;
        }
        Ok(())
    }
}
