//! The decision logic of jujubeshore, without I/O.
//!
//! This crate contains the controllers of the router (step ledger, request session, admission, path
//! selection, membership, claims, generations) and the values that they exchange. A controller
//! takes the time and an event, and returns actions. It never reads a clock, opens a socket or uses
//! global randomness, so that tests can inject a fault between any two events and reproduce a run
//! from its seed. Transports, settings files and programs are in the crates that drive the
//! controllers.

pub mod admission;
pub mod at_most_once;
pub mod blackboard;
pub mod bundle;
pub mod call;
pub mod claim;
pub mod delta;
pub mod fence;
mod hash;
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
pub mod status;
pub mod subset;
pub mod time;
pub mod verdict;
pub mod word;
