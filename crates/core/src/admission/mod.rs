//! Admission control: decides which requests start, wait or are refused.

mod queue;

pub use queue::Decision;
pub use queue::Queue;
pub use queue::Settings;
pub use queue::Share;
pub use queue::Ticket;
