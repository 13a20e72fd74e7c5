//! What the keys of the store are about.

use jujube_core::pipeline::feed::cursor::Part;
use jujube_core::pipeline::feed::room::Kind;
use jujube_core::pipeline::key;

use crate::dialect::Dialect;

/// The prefix of the keys that entries write.
pub(crate) const ENTRY_KEYS: &str = key::ALL;
/// The longest key that is kept, far beyond any name of a server. Removed keys are kept for a while, and
/// counted by their number.
const MAX_KEY_BYTES: usize = 512;

/// Returns the keys that entries read.
pub fn parts<D: Dialect>() -> [Part<'static>; 3] {
    [
        Part::Key(D::CONFIGURATION),
        Part::Prefix(D::SERVERS),
        Part::Prefix(ENTRY_KEYS),
    ]
}

/// Returns what a key is about; `None` if no entry reads it.
pub fn of<D: Dialect>(key: &str) -> Option<Kind> {
    if key.len() > MAX_KEY_BYTES {
        return None;
    }
    if key == D::CONFIGURATION {
        return Some(Kind::Configuration);
    }
    if key.starts_with(D::SERVERS) {
        return Some(Kind::Registration);
    }
    if key.starts_with(key::ANNOUNCEMENTS) {
        return Some(Kind::Announcement);
    }
    if key.starts_with(key::PIECES) {
        return Some(Kind::Piece);
    }
    if key.starts_with(key::QUARANTINE) {
        return Some(Kind::Quarantine);
    }
    key.starts_with(ENTRY_KEYS).then_some(Kind::Other)
}
