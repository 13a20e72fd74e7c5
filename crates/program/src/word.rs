//! Others' text in log lines.

pub use jujube_core::word::Fields;
pub use jujube_core::word::Line;
pub use jujube_core::word::List;
pub use jujube_core::word::Word;
