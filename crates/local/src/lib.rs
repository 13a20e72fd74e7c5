//! Every role and stand-in in one process, on loopback.
//!
//! This crate is for trying jujubeshore on a laptop and for tests that need the whole path. It is
//! not a way to run it: in earnest each role is a process of its own.

pub mod caller;
pub mod cluster;
pub mod trial;
