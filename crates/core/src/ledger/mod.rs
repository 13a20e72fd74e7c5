//! The step ledger: what one stage has run of each request.
//!
//! A stage receives the route of an epoch ([`Open`]) and inputs by position ([`Frame`]). It runs its
//! layers once at each position, keeps all outputs and sends them on from the first position that
//! its successor lacks. For recovery, a new epoch tells each stage which outputs its successor, old
//! or new, lacks.

mod limits;
mod message;
mod slot;
mod stage;

pub use limits::Limits;
pub use message::Action;
pub use message::Frame;
pub use message::Lost;
pub use message::Open;
pub use message::Opened;
pub use message::Received;
pub use message::Refused;
pub use message::Resume;
pub use message::Run;
pub use message::Tokens;
pub use stage::Ledger;
