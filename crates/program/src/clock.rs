//! The clock that the shells pass to the controllers.

use std::sync::OnceLock;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jujube_core::request::BootId;
use jujube_core::time::Instant;

static ORIGIN: OnceLock<std::time::Instant> = OnceLock::new();

/// Returns the monotonic time since this process first asked.
///
/// # Examples
///
/// ```
/// # use jujube_program::clock;
/// assert!(clock::now() <= clock::now());
/// ```
pub fn now() -> Instant {
    let origin = ORIGIN.get_or_init(std::time::Instant::now);
    Instant(origin.elapsed().as_millis() as u64)
}

/// Returns the milliseconds of the Unix epoch; for people and for patience, never for safety.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Draws the number of this run of a process.
pub fn incarnation() -> BootId {
    BootId(rand::random())
}

/// Draws a nonce: 128 bits in hex.
pub fn nonce() -> String {
    format!("{:032x}", rand::random::<u128>())
}
