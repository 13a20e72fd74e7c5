//! Relays a stream of events from backend servers to a caller.

use bytes::Bytes;

use crate::pipeline::memory::Size;

/// The maximum size of one event in bytes.
const MAX_EVENT_BYTES: u64 = 256 << 10;
/// The most by which the buffer of an incomplete event grows beyond what has arrived. A buffer that
/// doubled would be half empty in the worst case, for each of hundreds of streams.
const MAX_SPARE_BYTES: usize = 16 << 10;

/// Why the current run of a stream cannot be relayed further.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The identifier skips at least one event.
    #[error("an event is missing")]
    MissingEvent,
    /// An identifier repeats or decreases within one run.
    #[error("events are out of order")]
    OutOfOrder,
    /// An event has no readable identifier.
    #[error("an event has no readable identifier")]
    NoIdentifier,
    /// An event exceeds the maximum size.
    #[error("an event exceeds the maximum size")]
    TooLarge,
    /// The stream ended inside an event.
    #[error("the stream ended inside an event")]
    Truncated,
}

/// Passes on each event once, complete and in order.
///
/// A backend server may break off inside an event, and the next one may start with an event that
/// the caller already has. Prevents the caller from receiving truncated or duplicate events.
///
/// # Examples
///
/// ```
/// # use bytes::Bytes;
/// # use jujube_core::pipeline::relay::Relay;
/// let mut relay = Relay::default();
/// let mut out = Vec::new();
/// relay.feed(Bytes::from("id: 1\ndata: a\n\nid: 2\nda"), &mut out)?;
/// assert_eq!(out, [Bytes::from("id: 1\ndata: a\n\n")]);
/// assert_eq!(relay.last(), Some(1));
/// relay.restart();
/// relay.feed(Bytes::from("id: 2\ndata: b\n\n"), &mut out)?;
/// assert_eq!(relay.last(), Some(2));
/// # Ok::<(), jujube_core::pipeline::relay::Fault>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Relay {
    /// The received part of an incomplete event.
    partial: Vec<u8>,
    /// How far the end of that event was searched for.
    search: Search,
    /// The identifier of the last event passed on.
    last: Option<u64>,
    /// Whether this run has delivered an event.
    started: bool,
    events: u64,
    /// The maximum size of one event if it is less than [`MAX_EVENT_BYTES`].
    max_event: Option<Size>,
}

impl Relay {
    /// Returns the relay of a stream that the caller has received up to the event `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Limits the size of one event further.
    ///
    /// # Examples
    ///
    /// ```
    /// # use bytes::Bytes;
    /// # use jujube_core::pipeline::memory::Size;
    /// # use jujube_core::pipeline::relay::Fault;
    /// # use jujube_core::pipeline::relay::Relay;
    /// let mut relay = Relay::default().limited_to(Size(8));
    /// let outcome = relay.feed(Bytes::from("id: 1\ndata:"), &mut Vec::new());
    /// assert_eq!(outcome, Err(Fault::TooLarge));
    /// ```
    #[must_use]
    pub fn limited_to(self, max_event: Size) -> Self {
        Self {
            max_event: Some(max_event),
            ..self
        }
    }

    /// Returns the identifier of the last event passed on.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of events passed on.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns how much memory the received part of an incomplete event uses.
    ///
    /// # Examples
    ///
    /// ```
    /// # use bytes::Bytes;
    /// # use jujube_core::pipeline::memory::Size;
    /// # use jujube_core::pipeline::relay::Relay;
    /// let mut relay = Relay::default();
    /// relay.feed(Bytes::from("id: 1\ndata:"), &mut Vec::new())?;
    /// assert!(relay.held() >= Size(11));
    /// relay.feed(Bytes::from(" a\n\n"), &mut Vec::new())?;
    /// assert_eq!(relay.held(), Size(0));
    /// # Ok::<(), jujube_core::pipeline::relay::Fault>(())
    /// ```
    #[must_use]
    pub fn held(&self) -> Size {
        Size(self.partial.capacity() as u64)
    }

    /// Returns how much memory an incomplete event may use, but for the last chunk of one that is too large.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::memory::Size;
    /// # use jujube_core::pipeline::relay::Relay;
    /// assert_eq!(Relay::default().limited_to(Size(8)).most(), Size(8 + 16_384));
    /// ```
    #[must_use]
    pub fn most(&self) -> Size {
        Size(self.max_event() + MAX_SPARE_BYTES as u64)
    }

    /// Starts another run, which continues after the last event passed on.
    pub fn restart(&mut self) {
        self.partial = Vec::new();
        self.search = Search::default();
        self.started = false;
    }

    /// Processes bytes of the current run, and appends the events to pass on to `out`.
    ///
    /// # Errors
    ///
    /// Returns why the run cannot be relayed further; `out` contains the events before the fault.
    pub fn feed(&mut self, chunk: Bytes, out: &mut Vec<Bytes>) -> Result<(), Fault> {
        let Some(mut rest) = self.joined(chunk) else {
            return self.check_partial();
        };
        // Consecutive events are passed on as one slice of the chunk, without a copy.
        let mut complete = 0;
        let outcome = loop {
            let mut search = Search::default();
            let Some(length) = search.event_length(&rest[complete..]) else {
                self.search = search;
                break Ok(());
            };
            match self.admit(&rest[complete..complete + length]) {
                Ok(true) => complete += length,
                Ok(false) => {
                    push(out, rest.split_to(complete));
                    let _known = rest.split_to(length);
                    complete = 0;
                }
                Err(fault) => break Err(fault),
            }
        };
        push(out, rest.split_to(complete));
        outcome?;
        self.extend_partial(&rest);
        self.check_partial()
    }

    /// Returns what has arrived since the last event; `None` if that is still no whole event.
    fn joined(&mut self, chunk: Bytes) -> Option<Bytes> {
        if self.partial.is_empty() {
            return Some(chunk);
        }
        self.extend_partial(&chunk);
        self.search.event_length(&self.partial)?;
        let mut whole = std::mem::take(&mut self.partial);
        // The event may be kept for long.
        whole.shrink_to_fit();
        Some(Bytes::from(whole))
    }

    fn extend_partial(&mut self, bytes: &[u8]) {
        let spare = self.partial.capacity() - self.partial.len();
        if spare < bytes.len() {
            let grown = self.partial.len().min(MAX_SPARE_BYTES);
            self.partial.reserve_exact(bytes.len().max(grown));
        }
        self.partial.extend_from_slice(bytes);
    }

    fn check_partial(&self) -> Result<(), Fault> {
        if self.partial.len() as u64 <= self.max_event() {
            return Ok(());
        }
        match identifier(&self.partial) {
            Some(_) => Err(Fault::TooLarge),
            // Not the beginning of an event; another run gives something else.
            None => Err(Fault::NoIdentifier),
        }
    }

    /// Checks the end of the current run.
    ///
    /// # Errors
    ///
    /// Returns a fault if the run ended inside an event.
    pub fn end(&self) -> Result<(), Fault> {
        if self.partial.is_empty() {
            return Ok(());
        }
        Err(Fault::Truncated)
    }

    fn max_event(&self) -> u64 {
        let max_event = self.max_event.map_or(MAX_EVENT_BYTES, |size| size.0);
        max_event.min(MAX_EVENT_BYTES)
    }

    /// Returns whether an event is passed on; `false` if the caller already has it.
    fn admit(&mut self, event: &[u8]) -> Result<bool, Fault> {
        let id = identifier(event).ok_or(Fault::NoIdentifier)?;
        if let Some(last) = self.last {
            if id <= last && self.started {
                return Err(Fault::OutOfOrder);
            }
            if id <= last {
                return Ok(false);
            }
            if id > last + 1 {
                return Err(Fault::MissingEvent);
            }
        }
        self.started = true;
        self.last = Some(id);
        self.events += 1;
        Ok(true)
    }
}

fn push(out: &mut Vec<Bytes>, bytes: Bytes) {
    if !bytes.is_empty() {
        out.push(bytes);
    }
}

/// A search for the end of an event, which goes on when more of the event has arrived.
#[derive(Clone, Copy, Debug)]
struct Search {
    /// The number of bytes searched.
    searched: usize,
    /// Whether the line that they end in is empty so far.
    line_is_empty: bool,
}

impl Default for Search {
    fn default() -> Self {
        Self {
            searched: 0,
            line_is_empty: true,
        }
    }
}

impl Search {
    /// Returns the length of the event that the bytes begin with, including its empty line; `None` if it
    /// is incomplete. Bytes that were searched before must be the same.
    fn event_length(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate().skip(self.searched) {
            match byte {
                b'\n' if self.line_is_empty && index > 0 => return Some(index + 1),
                b'\n' => self.line_is_empty = true,
                b'\r' => {}
                _ => self.line_is_empty = false,
            }
        }
        self.searched = bytes.len();
        None
    }
}

/// Returns the number in an event's `id` line.
fn identifier(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
