//! What entries tell one another.

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

/// The most bytes of one message. The sum over a hundred entries before a hundred servers takes some 8 kB; a larger
/// datagram would hold a link of 20 Mbit/s for longer than a question to a server may.
const MOST_BYTES: usize = 16_000;
/// The most that is received of one message.
pub(super) const BUFFER: usize = 65_536;
/// The most portions of a word: six hundred times what a hundred servers need.
const MOST_PORTIONS: u16 = 1_024;

/// One start of a server.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Start {
    server: String,
    born: Option<u64>,
}

impl From<&Incarnation> for Start {
    fn from(incarnation: &Incarnation) -> Self {
        Self {
            server: incarnation.server.to_string(),
            born: incarnation.started_at.map(|born| born.0),
        }
    }
}

impl From<Start> for Incarnation {
    fn from(start: Start) -> Self {
        Self::new(start.server.into(), start.born.map(StartTime))
    }
}

/// What entries know of one server.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum Fact {
    /// What is in flight.
    Used { tokens: f32, requests: u32 },
    /// How requests ended.
    Ended { good: f32, bad: f32 },
    /// How many times slower than usual it says it is.
    Slow(f32),
    /// It refuses requests, and for how many milliseconds more that is believed.
    Full(u32),
    /// So many entries suspect it.
    Suspected(u32),
    /// It told the planner that it holds these layers, while the store is away.
    Holds { start: u32, end: u32 },
    /// It was ordered to hold these layers.
    Ordered { start: u32, end: u32 },
}

impl From<&Usage> for Fact {
    fn from(used: &Usage) -> Self {
        Self::Used {
            tokens: used.tokens as f32,
            requests: used.requests as u32,
        }
    }
}

impl From<&Tally> for Fact {
    fn from(tally: &Tally) -> Self {
        Self::Ended {
            good: tally.succeeded as f32,
            bad: tally.failed as f32,
        }
    }
}

/// Of whom a word is.
#[derive(Debug, Deserialize, Serialize)]
enum Whose {
    Own,
    Cell(String),
    Rest,
}

impl From<&Scope> for Whose {
    fn from(scope: &Scope) -> Self {
        match scope {
            Scope::Own => Self::Own,
            Scope::Cell(id) => Self::Cell(id.to_string()),
            Scope::Rest => Self::Rest,
        }
    }
}

impl From<Whose> for Scope {
    fn from(whose: Whose) -> Self {
        match whose {
            Whose::Own => Self::Own,
            Whose::Cell(id) => Self::Cell(Id(id.into())),
            Whose::Rest => Self::Rest,
        }
    }
}

/// One message: a word, or a portion of one.
#[derive(Debug, Deserialize, Serialize)]
struct Message {
    entry: String,
    zone: String,
    whose: Whose,
    number: u16,
    last: u16,
    entries: u32,
    served: u32,
    ready: Option<SocketAddr>,
    planner: Option<(u64, SocketAddr)>,
    facts: Vec<(Start, Fact)>,
}

/// A message as it was heard.
#[derive(Debug)]
pub(super) struct Heard {
    /// Who told it.
    pub(super) entry: String,
    /// The teller's availability zone.
    pub(super) zone: Zone,
    /// Of whom it is.
    pub(super) scope: Scope,
    /// Which portion of the word it is.
    pub(super) portion: Fragment,
    /// What it says.
    pub(super) summary: Summary,
}

/// Why a message was not understood.
#[derive(Debug)]
pub(super) enum Malformed {
    /// It cannot be decoded.
    Encoding,
    /// A figure is negative or none.
    Figure,
}

/// Who tells a word.
#[derive(Clone, Copy, Debug)]
pub(super) struct Teller<'a> {
    pub(super) entry: &'a str,
    pub(super) zone: &'a Zone,
}

fn facts(summary: &Summary) -> Vec<(Start, Fact)> {
    let mut facts: Vec<(Start, Fact)> = Vec::new();
    let mut add = |server: &Incarnation, fact: Fact| facts.push((server.into(), fact));
    for (server, used) in &summary.usage {
        add(server, used.into());
    }
    for (server, tally) in &summary.outcomes {
        add(server, tally.into());
    }
    for (server, slowness) in &summary.slowness {
        add(server, Fact::Slow(*slowness as f32));
    }
    for (server, lasts) in &summary.refusing {
        add(server, Fact::Full(lasts.0 as u32));
    }
    for (server, entries) in &summary.suspects {
        add(server, Fact::Suspected(*entries as u32));
    }
    for (server, layers) in &summary.held {
        let (start, end) = (layers.start, layers.end);
        add(server, Fact::Holds { start, end });
    }
    for (server, layers) in &summary.ordered {
        let (start, end) = (layers.start, layers.end);
        add(server, Fact::Ordered { start, end });
    }
    facts
}

/// Encodes a word in as many messages as it needs.
///
/// A word that grew over one datagram was left out before: others would take an entry for gone whose load is the
/// largest of all.
pub(super) fn encode(teller: Teller<'_>, scope: &Scope, summary: &Summary) -> Vec<Vec<u8>> {
    let facts = facts(summary);
    let mut portions = 1;
    loop {
        let messages = portioned(teller, scope, summary, &facts, portions);
        let is_short = messages.iter().all(|bytes| bytes.len() <= MOST_BYTES);
        if is_short || portions >= MOST_PORTIONS {
            return messages;
        }
        portions *= 2;
    }
}

fn portioned(
    teller: Teller<'_>,
    scope: &Scope,
    summary: &Summary,
    facts: &[(Start, Fact)],
    portions: u16,
) -> Vec<Vec<u8>> {
    let messages = (0..portions).filter_map(|number| {
        let is_first = number == 0;
        let own = facts.iter().skip(usize::from(number));
        let message = Message {
            entry: teller.entry.into(),
            zone: teller.zone.to_string(),
            whose: scope.into(),
            number,
            last: portions - 1,
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
            facts: own.step_by(usize::from(portions)).cloned().collect(),
        };
        bincode::DefaultOptions::new().serialize(&message).ok()
    });
    messages.collect()
}

/// Decodes a message.
///
/// # Errors
///
/// It is none, or a figure in it would spoil the sums.
pub(super) fn decode(bytes: &[u8]) -> Result<Heard, Malformed> {
    let options = bincode::DefaultOptions::new().with_limit(BUFFER as u64);
    let message: Message = options
        .deserialize(bytes)
        .map_err(|_| Malformed::Encoding)?;
    let planner = message.planner.map(|(token, at)| (Token(token), at));
    let mut summary = Summary {
        entries: u64::from(message.entries),
        with_store: u64::from(message.served),
        ready: message.ready,
        planner,
        ..Summary::default()
    };
    for (server, fact) in message.facts {
        take(&mut summary, server.into(), fact)?;
    }
    Ok(Heard {
        entry: message.entry,
        zone: message.zone.into(),
        scope: message.whose.into(),
        portion: Fragment {
            number: message.number,
            last: message.last,
        },
        summary,
    })
}

fn take(summary: &mut Summary, server: Incarnation, fact: Fact) -> Result<(), Malformed> {
    match fact {
        Fact::Used { tokens, requests } => {
            let used = Usage {
                tokens: figure(tokens)?,
                requests: u64::from(requests),
            };
            summary.usage.insert(server, used);
        }
        Fact::Ended { good, bad } => {
            let tally = Tally {
                succeeded: figure(good)?,
                failed: figure(bad)?,
            };
            summary.outcomes.insert(server, tally);
        }
        Fact::Slow(slowness) => {
            summary.slowness.insert(server, figure(slowness)?);
        }
        Fact::Full(lasts) => {
            summary.refusing.insert(server, Span(u64::from(lasts)));
        }
        Fact::Suspected(entries) => {
            summary.suspects.insert(server, u64::from(entries));
        }
        Fact::Holds { start, end } => {
            summary.held.insert(server, Range::new(start, end));
        }
        Fact::Ordered { start, end } => {
            summary.ordered.insert(server, Range::new(start, end));
        }
    }
    Ok(())
}

/// Checks a figure that is added to others; rounding leaves sums a little below zero.
fn figure(told: f32) -> Result<f64, Malformed> {
    if !told.is_finite() {
        return Err(Malformed::Figure);
    }
    Ok(f64::from(told).max(0.0))
}
