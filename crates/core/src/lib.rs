//! Every decision that jujubeshore takes, without I/O.
//!
//! This crate is for the controllers of the router (step ledger, request session, admission, path
//! choice, membership, claims, generations) and for the values that they exchange. A controller
//! takes the time and an event, and returns actions; it never reads a clock, opens a socket or
//! draws from global randomness, so that a fault can be put between any two events and a run
//! repeats exactly from its seed. It is not for transports, settings files or programs: these
//! live in the crates that drive the controllers.

pub mod admission;
pub mod at_most_once;
pub mod blackboard;
pub mod bundle;
pub mod call;
pub mod claim;
pub mod delta;
pub mod fence;
pub mod head;
pub mod layer;
pub mod ledger;
pub mod membership;
pub mod name;
mod number;
pub mod path;
pub mod pipeline;
pub mod refusal;
pub mod request;
pub mod retry;
pub mod revision;
pub mod section;
pub mod session;
pub mod subset;
pub mod time;
pub mod verdict;
