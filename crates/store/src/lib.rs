//! Clients of what the platform gives: key-value services, the VM list and the weight store.
//!
//! Each is behind a small trait, so that another platform is another module. This crate is not for
//! decisions: what to write, and what an answer means, is said in `jujube-core`.

pub mod claims;
pub mod head;
pub mod kv;
pub mod orders;
pub mod vms;
