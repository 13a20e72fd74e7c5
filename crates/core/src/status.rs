//! Statuses of HTTP responses.

use std::ops::RangeInclusive;

/// The statuses of final responses. Those below announce a final response, or end HTTP on the
/// connection (101); those above are not valid.
const FINAL: RangeInclusive<u16> = 200..=599;

/// Returns whether a response with this status is the final one to its request.
///
/// One that is not answers nothing: the request may have run, and what else arrives on its connection
/// may belong to no response.
///
/// # Examples
///
/// ```
/// # use jujube_core::status;
/// assert!(status::is_final(204));
/// assert!(!status::is_final(101));
/// assert!(!status::is_final(600));
/// ```
#[must_use]
pub fn is_final(status: u16) -> bool {
    FINAL.contains(&status)
}

/// The statuses that tell a caller that its request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Returns whether a caller takes a status as the promise that its request has not run, and may send it
/// again although it may run once only.
///
/// # Examples
///
/// ```
/// # use jujube_core::status;
/// assert!(status::promises_no_run(503));
/// assert!(!status::promises_no_run(502));
/// ```
#[must_use]
pub fn promises_no_run(status: u16) -> bool {
    PROMISES.contains(&status)
}
