//! The session: one model request as its entry sees it, from the first stage opened to the last
//! token.
//!
//! The entry is the single author of the epoch and of every token: each token goes back through it
//! before it becomes an input, so that no stage is ever ahead of what the entry knows. Recovery is
//! therefore one move, whatever has died: a new route under a new epoch, each stage asked how far
//! it has run, and each told from where its successor lacks outputs.

mod answer;
mod call;
mod message;

pub use call::Session;
pub use message::Action;
pub use message::Settings;
pub use message::Spec;
