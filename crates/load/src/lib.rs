//! Load and experiments: open-loop load on real entries, the bound, slopes for the capacity page, and
//! reports that set two results side by side.
//!
//! This crate is for measuring. It drives the real programs and the stand-ins; it simulates no
//! cluster, and nothing that serves depends on it.

pub mod account;
pub mod arrivals;
pub mod bound;
pub mod compare;
pub mod drive;
pub mod experiment;
pub mod report;
pub mod result;
pub mod slopes;
