//! The operators' tool: everything that an operator does to a configuration.
//!
//! This crate is for preparing, signing, rolling out and inspecting bundles. It is not a daemon, and
//! it decides nothing that the processes do not check again themselves.

pub mod keys;
pub mod roll;
pub mod settings;
pub mod show;
