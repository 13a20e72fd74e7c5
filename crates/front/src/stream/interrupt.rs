//! Why streams are interrupted or moved.

use std::fmt;

/// Why a run is interrupted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interrupt {
    /// The server of the first part has ended.
    FirstDead,
    /// The server of the first part does not answer; it may go on.
    FirstSilent,
    /// Another part of the path does not answer or refuses connections, and could not be replaced. It
    /// may go on, or be replaced later.
    PartDead,
    /// The run stalls, or a server on its path is draining.
    Reopen,
}

impl Interrupt {
    /// Returns whether the run stands still and may go on.
    pub fn may_go_on(self) -> bool {
        matches!(self, Self::FirstSilent | Self::PartDead)
    }
}

/// The value of `urge=` in logs.
impl fmt::Display for Interrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FirstDead => "Lost",
            Self::FirstSilent => "FirstSilent",
            Self::PartDead => "Broken",
            Self::Reopen => "Elsewhere",
        })
    }
}

/// Why a stream should leave a part of its path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The server is dead.
    Dead,
    /// The server is slow.
    Slow,
    /// The server is draining.
    Draining,
}

/// The value of `cause=` in the logs of moves.
impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Dead => "Dead",
            Self::Slow => "Slow",
            Self::Draining => "Leaving",
        })
    }
}
