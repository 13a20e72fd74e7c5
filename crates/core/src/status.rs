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

/// The status of a response by a server that a request is not meant for.
const MISDIRECTED: u16 = 421;

/// What the head of a server's response states about a request that was sent to it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rejection {
    /// The status.
    pub status: u16,
    /// It states outright that the request has not run.
    pub is_stated: bool,
    /// It names another server than the request is meant for.
    pub is_other_server: bool,
    /// It names a part of the path that the request was sent along.
    pub names_part: bool,
}

impl Rejection {
    /// Returns whether the request has not run.
    ///
    /// A misdirected request has reached another process, or a part that does not hold its layers. A
    /// response that shows neither comes from the server that the request is meant for, which may have
    /// run it before it failed.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::status::Rejection;
    /// let bare = Rejection { status: 421, ..Rejection::default() };
    /// assert!(!bare.has_not_run());
    /// assert!(Rejection { is_other_server: true, ..bare }.has_not_run());
    /// assert!(!Rejection { status: 503, names_part: true, ..bare }.has_not_run());
    /// assert!(Rejection { status: 503, is_stated: true, ..bare }.has_not_run());
    /// ```
    #[must_use]
    pub fn has_not_run(&self) -> bool {
        let is_misdirected = self.status == MISDIRECTED;
        self.is_stated || (is_misdirected && (self.is_other_server || self.names_part))
    }
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
