//! Admission: who starts, who waits, and who is refused at once.

mod queue;

pub use queue::Decision;
pub use queue::Queue;
pub use queue::Settings;
pub use queue::Share;
pub use queue::Ticket;
