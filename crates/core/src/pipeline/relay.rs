//! The relay of a stream of events from backend servers to a caller.

use bytes::Bytes;
use bytes::BytesMut;

/// The most bytes of one event; the largest of the users' are a few hundred.
const MOST_EVENT: usize = 256 << 10;

/// Why a stream cannot be relayed further from this backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// An event is missing between the last one passed on and this one.
    #[error("an event is missing")]
    MissingEvent,
    /// An event repeats or goes back, within one run.
    #[error("events are out of order")]
    OutOfOrder,
    /// An event has no readable identifier.
    #[error("an event without an identifier")]
    NoIdentifier,
    /// An event is larger than any can be.
    #[error("an event without an end")]
    TooLarge,
    /// The stream ended inside an event.
    #[error("the stream ended inside an event")]
    Truncated,
}

/// Passes on whole events only, each once and in order.
///
/// A backend server may break off inside an event, and the one that carries on may start with an
/// event that the caller has. Passed on as they come, the caller would read a torn event joined
/// with a whole one, or the same one twice.
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
    /// The start of an event whose end has not come.
    held: BytesMut,
    /// The identifier of the last event passed on.
    last: Option<u64>,
    /// Whether this run has brought an event yet.
    started: bool,
    events: u64,
}

impl Relay {
    /// Returns the relay of a stream that the caller has up to an event.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Returns the identifier of the last event passed on.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many events were passed on.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Starts over with another run, which begins after the last event passed on.
    pub fn restart(&mut self) {
        self.held.clear();
        self.started = false;
    }

    /// Takes bytes of the current run, and adds what the caller gets now to `out`.
    ///
    /// # Errors
    ///
    /// The run cannot be relayed further; `out` holds what came before.
    pub fn feed(&mut self, chunk: Bytes, out: &mut Vec<Bytes>) -> Result<(), Fault> {
        let mut rest = if self.held.is_empty() {
            chunk
        } else {
            self.held.extend_from_slice(&chunk);
            self.held.split().freeze()
        };
        // Events that follow one another are passed on as one piece of the chunk, not copied.
        let mut whole = 0;
        let outcome = loop {
            let Some(length) = event_length(&rest[whole..]) else {
                break Ok(());
            };
            match self.admit(&rest[whole..whole + length]) {
                Ok(true) => whole += length,
                Ok(false) => {
                    push(out, rest.split_to(whole));
                    let _known = rest.split_to(length);
                    whole = 0;
                }
                Err(fault) => break Err(fault),
            }
        };
        push(out, rest.split_to(whole));
        outcome?;
        if rest.len() > MOST_EVENT {
            return Err(Fault::TooLarge);
        }
        self.held.extend_from_slice(&rest);
        Ok(())
    }

    /// Takes the end of the current run.
    ///
    /// # Errors
    ///
    /// It ended inside an event.
    pub fn end(&self) -> Result<(), Fault> {
        if self.held.is_empty() {
            return Ok(());
        }
        Err(Fault::Truncated)
    }

    /// Tells whether an event is passed on; `false` for one that the caller has.
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

/// Returns the length of the first whole event, its empty line included.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_is_empty = true;
    for (index, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if line_is_empty && index > 0 => return Some(index + 1),
            b'\n' => line_is_empty = true,
            b'\r' => {}
            _ => line_is_empty = false,
        }
    }
    None
}

/// Returns the number in an event's `id` line.
fn identifier(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
