//! The six programs: arguments in, exit codes out.
//!
//! This crate is for the binaries only, and for the tests that run them as separate processes. What
//! they do is in the crates that they are named after.
