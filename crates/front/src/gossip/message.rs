//! The gossip message format.

use std::net::SocketAddr;

use bincode::Options;
use jujube_core::fence::Token;
use jujube_core::layer::Range;
use jujube_core::name::Zone;
use jujube_core::pipeline::cell::Id;
use jujube_core::pipeline::load::Usage;
use jujube_core::pipeline::outlier::Tally;
use jujube_core::pipeline::reports::Fragment;
use jujube_core::pipeline::reports::Scope;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::StartTime;
use jujube_core::pipeline::summary::Summary;
use jujube_core::time::Span;
use serde::Deserialize;
use serde::Serialize;

use super::appendix::Appendix;
use super::portion;

/// The maximum size of one message in bytes. A report of a hundred entries on a hundred servers
/// takes some 8 kB; a larger datagram could delay probes on a link of 20 Mbit/s.
const MAX_MESSAGE_BYTES: usize = 16_000;
/// The size of the receive buffer.
pub(super) const RECEIVE_BUFFER_BYTES: usize = 65_536;
/// The maximum number of portions of a report, far more than a hundred servers need.
const MAX_PORTIONS: u16 = 1_024;

/// The wire form of an incarnation.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireIncarnation {
    server: String,
    born: Option<u64>,
}

impl From<&Incarnation> for WireIncarnation {
    fn from(incarnation: &Incarnation) -> Self {
        Self {
            server: incarnation.server.to_string(),
            born: incarnation.started_at.map(|born| born.0),
        }
    }
}

impl From<WireIncarnation> for Incarnation {
    fn from(incarnation: WireIncarnation) -> Self {
        Self::new(incarnation.server.into(), incarnation.born.map(StartTime))
    }
}

/// One reported property of a server.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum Property {
    /// Its load from requests in flight.
    Load { tokens: f32, requests: u32 },
    /// The outcomes of its requests.
    Outcomes { succeeded: f32, failed: f32 },
    /// Its slowdown as a factor.
    Slowdown(f32),
    /// It refuses requests, and this is assumed for so many milliseconds more.
    Refusing(u32),
    /// The number of entries that suspect it.
    Suspected(u32),
    /// The layers that it reported to the planner while the store was unavailable.
    Held { start: u32, end: u32 },
    /// The layers that it was ordered to hold.
    Ordered { start: u32, end: u32 },
}

impl From<&Usage> for Property {
    fn from(used: &Usage) -> Self {
        Self::Load {
            tokens: used.tokens as f32,
            requests: used.requests as u32,
        }
    }
}

impl From<&Tally> for Property {
    fn from(tally: &Tally) -> Self {
        Self::Outcomes {
            succeeded: tally.succeeded as f32,
            failed: tally.failed as f32,
        }
    }
}

/// The scope of a report on the wire.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum WireScope {
    Own,
    Cell(String),
    Rest,
}

impl From<&Scope> for WireScope {
    fn from(scope: &Scope) -> Self {
        match scope {
            Scope::Own => Self::Own,
            Scope::Cell(id) => Self::Cell(id.to_string()),
            Scope::Rest => Self::Rest,
        }
    }
}

impl From<WireScope> for Scope {
    fn from(scope: WireScope) -> Self {
        match scope {
            WireScope::Own => Self::Own,
            WireScope::Cell(id) => Self::Cell(Id(id.into())),
            WireScope::Rest => Self::Rest,
        }
    }
}

/// One message: a report or a portion of one.
#[derive(Debug, Deserialize, Serialize)]
struct Message {
    entry: String,
    zone: String,
    scope: WireScope,
    number: u16,
    last: u16,
    entries: u32,
    served: u32,
    ready: Option<SocketAddr>,
    planner: Option<(u64, SocketAddr)>,
    properties: Vec<(WireIncarnation, Property)>,
}

/// A decoded message.
#[derive(Debug)]
pub(super) struct Received {
    /// The name of the entry that sent it.
    pub(super) entry: String,
    /// The sender's availability zone.
    pub(super) zone: Zone,
    /// The scope of the report.
    pub(super) scope: Scope,
    /// The portion of the report that this message contains.
    pub(super) portion: Fragment,
    /// The content.
    pub(super) summary: Summary,
}

/// Why a message was rejected.
#[derive(Debug)]
pub(super) enum Malformed {
    /// It cannot be decoded.
    Encoding,
    /// A number in it is not finite.
    NotFinite,
}

/// The entry that sends a report.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sender<'a> {
    pub(super) entry: &'a str,
    pub(super) zone: &'a Zone,
}

fn properties(summary: &Summary) -> Vec<(WireIncarnation, Property)> {
    let mut properties: Vec<(WireIncarnation, Property)> = Vec::new();
    let mut add =
        |server: &Incarnation, property: Property| properties.push((server.into(), property));
    for (server, usage) in &summary.usage {
        add(server, usage.into());
    }
    for (server, tally) in &summary.outcomes {
        add(server, tally.into());
    }
    for (server, slowness) in &summary.slowness {
        add(server, Property::Slowdown(*slowness as f32));
    }
    for (server, duration) in &summary.refusing {
        add(server, Property::Refusing(duration.0 as u32));
    }
    for (server, entries) in &summary.suspects {
        add(server, Property::Suspected(*entries as u32));
    }
    for (server, layers) in &summary.held {
        let (start, end) = (layers.start, layers.end);
        add(server, Property::Held { start, end });
    }
    for (server, layers) in &summary.ordered {
        let (start, end) = (layers.start, layers.end);
        add(server, Property::Ordered { start, end });
    }
    properties
}

/// Encodes a report in as many messages as it needs.
///
/// A report that exceeds one datagram is split, not dropped; otherwise the other entries would
/// consider the entry with the largest load dead.
pub(super) fn encode(sender: Sender<'_>, scope: &Scope, summary: &Summary) -> Vec<Vec<u8>> {
    let properties = properties(summary);
    let mut portions = 1;
    loop {
        let messages = encode_portions(sender, scope, summary, &properties, portions);
        let fits = messages
            .iter()
            .all(|bytes| bytes.len() <= MAX_MESSAGE_BYTES);
        if fits || portions >= MAX_PORTIONS {
            let has_appendix = Appendix::is_needed(summary);
            let appendix =
                has_appendix.then(|| Appendix::new(sender, scope, summary, portions).encode());
            let mut messages: Vec<Vec<u8>> =
                messages.into_iter().chain(appendix.flatten()).collect();
            portion::append(&mut messages, sender, scope, summary);
            return messages;
        }
        portions *= 2;
    }
}

fn encode_portions(
    sender: Sender<'_>,
    scope: &Scope,
    summary: &Summary,
    properties: &[(WireIncarnation, Property)],
    portions: u16,
) -> Vec<Vec<u8>> {
    let appended = u16::from(Appendix::is_needed(summary)) + portion::count(summary);
    let last = portions - 1 + appended;
    let messages = (0..portions).filter_map(|number| {
        let is_first = number == 0;
        let portion = properties.iter().skip(usize::from(number));
        let message = Message {
            entry: sender.entry.into(),
            zone: sender.zone.to_string(),
            scope: scope.into(),
            number,
            last,
            entries: if is_first { summary.entries as u32 } else { 0 },
            served: if is_first {
                summary.with_store as u32
            } else {
                0
            },
            ready: summary.ready.filter(|_| is_first),
            planner: summary
                .planner
                .filter(|_| is_first)
                .map(|(token, at)| (token.0, at)),
            properties: portion.step_by(usize::from(portions)).cloned().collect(),
        };
        bincode::DefaultOptions::new().serialize(&message).ok()
    });
    messages.collect()
}

/// Decodes a message.
///
/// # Errors
///
/// The message is malformed, or a number in it is not finite and would corrupt the sums.
pub(super) fn decode(bytes: &[u8]) -> Result<Received, Malformed> {
    if let Some(appendix) = Appendix::decode(bytes) {
        return appendix?.try_into();
    }
    if let Some(received) = portion::decode(bytes) {
        return received;
    }
    let message: Message = deserialize(bytes)?;
    let planner = message.planner.map(|(token, at)| (Token(token), at));
    let mut summary = Summary {
        entries: u64::from(message.entries),
        with_store: u64::from(message.served),
        ready: message.ready,
        planner,
        ..Summary::default()
    };
    for (server, property) in message.properties {
        insert(&mut summary, server.into(), property)?;
    }
    Ok(Received {
        entry: message.entry,
        zone: message.zone.into(),
        scope: message.scope.into(),
        portion: Fragment {
            number: message.number,
            last: message.last,
        },
        summary,
    })
}

/// Encodes a message of a kind of its own, which begins with `tag`.
pub(super) fn encode_tagged(tag: u8, message: &impl Serialize) -> Option<Vec<u8>> {
    let body = bincode::DefaultOptions::new().serialize(message).ok()?;
    let mut bytes = vec![tag];
    bytes.extend(body);
    Some(bytes)
}

/// Decodes a message that begins with `tag`; returns `None` if it is of another kind.
pub(super) fn decode_tagged<'a, T: Deserialize<'a>>(
    tag: u8,
    bytes: &'a [u8],
) -> Option<Result<T, Malformed>> {
    let (first, body) = bytes.split_first()?;
    (*first == tag).then(|| deserialize(body))
}

/// Deserializes a message or an appendix, of a size that fits into the receive buffer.
fn deserialize<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Malformed> {
    let options = bincode::DefaultOptions::new().with_limit(RECEIVE_BUFFER_BYTES as u64);
    options.deserialize(bytes).map_err(|_| Malformed::Encoding)
}

fn insert(summary: &mut Summary, server: Incarnation, property: Property) -> Result<(), Malformed> {
    match property {
        Property::Load { tokens, requests } => {
            let used = Usage {
                tokens: finite(tokens)?,
                requests: u64::from(requests),
            };
            summary.usage.insert(server, used);
        }
        Property::Outcomes { succeeded, failed } => {
            let tally = Tally {
                succeeded: finite(succeeded)?,
                failed: finite(failed)?,
            };
            summary.outcomes.insert(server, tally);
        }
        Property::Slowdown(slowness) => {
            summary.slowness.insert(server, finite(slowness)?);
        }
        Property::Refusing(duration) => {
            summary.refusing.insert(server, Span(u64::from(duration)));
        }
        Property::Suspected(entries) => {
            summary.suspects.insert(server, u64::from(entries));
        }
        Property::Held { start, end } => {
            summary.held.insert(server, Range::new(start, end));
        }
        Property::Ordered { start, end } => {
            summary.ordered.insert(server, Range::new(start, end));
        }
    }
    Ok(())
}

/// Validates a summand; rounding may leave differences slightly below zero.
fn finite(value: f32) -> Result<f64, Malformed> {
    if !value.is_finite() {
        return Err(Malformed::NotFinite);
    }
    Ok(f64::from(value).max(0.0))
}
