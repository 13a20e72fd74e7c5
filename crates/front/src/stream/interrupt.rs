//! Why streams are interrupted or moved.

use std::fmt;

/// Why a run is interrupted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interrupt {
    /// The server of the first part has ended.
    FirstDead,
    /// The server of the first part does not answer; it may go on.
    FirstSilent,
    /// Another part of the path is dead and could not be replaced.
    PartDead,
    /// Another part of the path does not answer and could not be replaced; it may go on.
    PartSilent,
    /// The run stalls, or a server on its path is draining.
    Reopen,
}

impl Interrupt {
    /// Returns whether servers of the run do not answer, and may go on with it.
    pub fn is_silence(self) -> bool {
        matches!(self, Self::FirstSilent | Self::PartSilent)
    }
}

/// The value of `urge=` in logs.
impl fmt::Display for Interrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FirstDead => "Lost",
            Self::FirstSilent => "FirstSilent",
            Self::PartDead => "Broken",
            Self::PartSilent => "PartSilent",
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
