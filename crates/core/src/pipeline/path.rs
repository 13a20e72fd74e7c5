//! A request's path through backend servers.

use std::fmt;
use std::net::SocketAddr;

use crate::layer::Range;
use crate::pipeline::server::Incarnation;

/// One part of a path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Who runs it.
    pub server: Incarnation,
    /// Where that backend server listens.
    pub address: SocketAddr,
    /// The layers that it runs.
    pub layers: Range,
}

/// Parts that together run every layer once and in order.
///
/// Only [`Path::new`] makes one, and it checks exactly that: engines do not check a path for gaps,
/// overlaps or order, and a token made on a faulty path looks like any other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Path(Vec<Part>);

/// Why parts are no path.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// A part does not begin where the one before it ends, or the last layer is not reached.
    #[error("the parts do not run every layer once and in order")]
    NotContiguous,
    /// A backend server stands in the path twice, which engines refuse.
    #[error("a backend server stands in the path twice")]
    DuplicateServer,
    /// There are more parts than engines take.
    #[error("there are more than {MAX_PARTS} parts")]
    TooLong,
}

/// The most parts that engines take; the platform's figure.
pub const MAX_PARTS: usize = 32;

impl Path {
    /// Checks that parts run `layers` layers once and in order.
    ///
    /// # Errors
    ///
    /// They do not.
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

    /// Returns the part that takes the request; a path is never empty.
    #[must_use]
    pub fn first(&self) -> Option<&Part> {
        self.0.first()
    }

    /// Returns the part that listens at an address.
    #[must_use]
    pub fn part_at(&self, address: SocketAddr) -> Option<&Part> {
        self.0.iter().find(|part| part.address == address)
    }

    /// Tells whether a backend server stands in the path.
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
