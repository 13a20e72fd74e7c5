//! Sessions: the state of model requests at their entry.
//!
//! Only the entry assigns epochs, and each token passes through it before it becomes an input, so
//! that no stage is ahead of the entry. Recovery is therefore the same for all failures: the entry
//! opens a route under a new epoch, asks each stage how far it has run and tells each which outputs
//! its successor lacks.

mod answer;
mod call;
mod message;

pub use call::Session;
pub use message::Action;
pub use message::Settings;
pub use message::Spec;
