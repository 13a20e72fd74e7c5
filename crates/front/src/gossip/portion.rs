//! The last portions of a report, each of rows of one kind.

use jujube_core::pipeline::digest::Digest;
use jujube_core::pipeline::quarantine::lives::Life;
use jujube_core::pipeline::quarantine::lives::Tally;
use jujube_core::pipeline::reports::Fragment;
use jujube_core::pipeline::reports::Scope;
use jujube_core::pipeline::summary::Summary;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::message;
use super::message::Malformed;
use super::message::Received;
use super::message::Sender;
use super::message::WireIncarnation;
use super::message::WireScope;

/// A kind of rows.
trait Row: DeserializeOwned + Serialize {
    /// The first byte of the message. No other message begins with it, since names of entries are
    /// short.
    const TAG: u8;
    /// The most rows in a report.
    const MAX_ROWS: usize;

    /// Returns the rows of a report.
    fn rows(summary: &Summary) -> impl Iterator<Item = Self>;

    /// Adds the row to a report.
    fn add_to(self, summary: &mut Summary);
}

/// Returns how many of these portions a report needs.
pub(super) fn count(summary: &Summary) -> u16 {
    u16::from(Portion::<Leaver>::is_needed(summary))
        + u16::from(Portion::<LivingPart>::is_needed(summary))
        + u16::from(Portion::<Runs>::is_needed(summary))
}

/// Adds the portions that a report needs to its other messages.
pub(super) fn append(
    messages: &mut Vec<Vec<u8>>,
    sender: Sender<'_>,
    scope: &Scope,
    summary: &Summary,
) {
    Portion::<Leaver>::append(messages, sender, scope, summary);
    Portion::<LivingPart>::append(messages, sender, scope, summary);
    Portion::<Runs>::append(messages, sender, scope, summary);
}

/// Decodes a portion; returns `None` if the message is none of these.
pub(super) fn decode(bytes: &[u8]) -> Option<Result<Received, Malformed>> {
    Portion::<Leaver>::decode(bytes)
        .or_else(|| Portion::<LivingPart>::decode(bytes))
        .or_else(|| Portion::<Runs>::decode(bytes))
}

/// A server that is leaving and does not register as draining.
#[derive(Debug, Deserialize, Serialize)]
struct Leaver(WireIncarnation);

impl Row for Leaver {
    const TAG: u8 = 0xfe;
    const MAX_ROWS: usize = 256;

    fn rows(summary: &Summary) -> impl Iterator<Item = Self> {
        let servers = summary.leaving.iter();
        servers.map(|server| Self(server.into()))
    }

    fn add_to(self, summary: &mut Summary) {
        summary.leaving.insert(self.0.into());
    }
}

/// A part of prompts on which runs lived, and whether they did since the first end under it.
#[derive(Debug, Deserialize, Serialize)]
struct LivingPart(u64, bool);

impl Row for LivingPart {
    const TAG: u8 = 0xfd;
    const MAX_ROWS: usize = 256;

    fn rows(summary: &Summary) -> impl Iterator<Item = Self> {
        let lives = summary.lives.iter();
        lives.map(|(part, life)| Self(part.0, *life == Life::Since))
    }

    fn add_to(self, summary: &mut Summary) {
        let life = if self.1 { Life::Since } else { Life::Before };
        summary.lives.insert(Digest(self.0), life);
    }
}

/// The recent runs that lived, and those that were lost.
#[derive(Debug, Deserialize, Serialize)]
struct Runs(u64, u64);

impl Row for Runs {
    const TAG: u8 = 0xfc;
    const MAX_ROWS: usize = 1;

    fn rows(summary: &Summary) -> impl Iterator<Item = Self> {
        let runs = summary.runs;
        let is_any = runs != Tally::default();
        is_any.then_some(Self(runs.lived, runs.lost)).into_iter()
    }

    fn add_to(self, summary: &mut Summary) {
        let Self(lived, lost) = self;
        summary.runs.add(Tally { lived, lost });
    }
}

/// A portion of a report.
///
/// Entries of versions without it reject it, and apply the other portions.
#[derive(Debug, Deserialize, Serialize)]
struct Portion<R> {
    entry: String,
    zone: String,
    scope: WireScope,
    number: u16,
    rows: Vec<R>,
}

impl<R: Row> Portion<R> {
    /// Returns whether a report needs this portion.
    fn is_needed(summary: &Summary) -> bool {
        R::rows(summary).next().is_some()
    }

    /// Adds the portion to the messages that precede it, if the report needs it.
    fn append(messages: &mut Vec<Vec<u8>>, sender: Sender<'_>, scope: &Scope, summary: &Summary) {
        if !Self::is_needed(summary) {
            return;
        }
        let portion = Self {
            entry: sender.entry.into(),
            zone: sender.zone.to_string(),
            scope: scope.into(),
            // Messages are bounded far below the range of their numbers.
            number: messages.len() as u16,
            rows: R::rows(summary).take(R::MAX_ROWS).collect(),
        };
        messages.extend(message::encode_tagged(R::TAG, &portion));
    }

    /// Decodes the portion; returns `None` if the message is another one.
    fn decode(bytes: &[u8]) -> Option<Result<Received, Malformed>> {
        let portion = message::decode_tagged::<Self>(R::TAG, bytes)?;
        Some(portion.map(Into::into))
    }
}

impl<R: Row> From<Portion<R>> for Received {
    fn from(portion: Portion<R>) -> Self {
        let mut summary = Summary::default();
        for row in portion.rows {
            row.add_to(&mut summary);
        }
        Self {
            entry: portion.entry,
            zone: portion.zone.into(),
            scope: portion.scope.into(),
            portion: Fragment {
                number: portion.number,
                last: portion.number,
            },
            summary,
        }
    }
}
