//! How many messages of other entries are read before requests have their turn.

use crate::time::Instant;
use crate::time::Span;

/// How long a turn lasts.
const LENGTH: Span = Span(10);
/// What may be read in a turn, in bytes: far more than a thousand entries send.
const MAX_BYTES: usize = 256 << 10;
/// What a message costs beside its bytes.
const MESSAGE_BYTES: usize = 2 << 10;

/// The messages read in the current turn.
///
/// Anyone who reaches the internal port can send more messages than the processor can read. The rest
/// waits in the system's queue, which drops what does not fit.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::turn::Turn;
/// # use jujube_core::time::Instant;
/// # use jujube_core::time::Span;
/// let mut turn = Turn::default();
/// assert_eq!(turn.read(Instant(1_000), 8_000), Span(0));
/// assert_eq!(turn.read(Instant(1_004), 500_000), Span(6), "until the turn has ended");
/// assert_eq!(turn.read(Instant(1_010), 8_000), Span(0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    began: Instant,
    bytes: usize,
}

impl Turn {
    /// Records a message of so many bytes and returns how long the next one is to wait.
    pub fn read(&mut self, now: Instant, bytes: usize) -> Span {
        if now.since(self.began) >= LENGTH {
            self.began = now;
            self.bytes = 0;
        }
        self.bytes = self
            .bytes
            .saturating_add(bytes)
            .saturating_add(MESSAGE_BYTES);
        if self.bytes < MAX_BYTES {
            return Span(0);
        }
        self.began.plus(LENGTH).since(now)
    }
}
