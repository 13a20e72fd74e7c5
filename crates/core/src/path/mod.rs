//! Paths through stages: routes, the achievable bound and path selection.

mod bound;
mod choose;
mod link;
mod route;
mod table;

pub use bound::Bound;
pub use bound::BoundError;
pub use bound::Fleet;
pub use bound::Flow;
pub use bound::Group;
pub use bound::bound;
pub use choose::Chooser;
pub use choose::Policy;
pub use choose::Settings;
pub use link::Estimate;
pub use link::Health;
pub use route::Route;
pub use route::Stage;
pub use table::Candidate;
pub use table::Table;
