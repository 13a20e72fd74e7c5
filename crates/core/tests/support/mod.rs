//! A deterministic simulation of stages, entries and messages around the core's controllers, driven
//! one event at a time, with an observer that checks invariants independently of the controllers.

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
