//! A small world around the core's controllers: stages, entries and messages, driven one event at a
//! time, with an observer that knows nothing of how the controllers work.

#![allow(dead_code, reason = "each test file uses its part")]
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a fixture that fails must panic"
)]

pub mod calls;
pub mod model;
pub mod observer;
pub mod world;
