//! The step ledger: what one stage has run of each request.
//!
//! A stage is told the route under an epoch ([`Open`]), takes inputs by position ([`Frame`]), runs
//! each position's layers once, keeps every output, and sends outputs on from the position that its
//! successor lacks. Recovery uses nothing else: a new epoch tells each stage from where its
//! successor lacks outputs, whoever the successor now is.

mod book;
mod limits;
mod message;
mod slot;

pub use book::Ledger;
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
