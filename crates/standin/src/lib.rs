//! Small stand-ins for what surrounds jujubeshore: key-value service, VM list, weight store, model
//! engine and plain service, each with faults that can be switched on.
//!
//! This crate is for tests, trials and the local program. It is not a simulator: each stand-in is
//! one small server that speaks the real interface.

pub mod engine;
pub mod fault;
pub mod kv;
pub mod model;
pub mod plain;
pub mod vms;
pub mod weights;
