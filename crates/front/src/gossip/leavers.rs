//! The part of a report about servers that said that they are leaving.

use jujube_core::pipeline::reports::Fragment;
use jujube_core::pipeline::reports::Scope;
use jujube_core::pipeline::summary::Summary;
use serde::Deserialize;
use serde::Serialize;

use super::message;
use super::message::Malformed;
use super::message::Received;
use super::message::Sender;
use super::message::WireIncarnation;
use super::message::WireScope;

/// The first byte of the message. No other message begins with it, since names of entries are
/// short.
const LEAVERS_TAG: u8 = 0xfe;
/// The most servers in a report.
const MAX_SERVERS: usize = 256;

/// The last portion of a report while servers are leaving that do not register as draining.
///
/// Entries of versions without it reject it, and apply the other portions.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Leavers {
    entry: String,
    zone: String,
    scope: WireScope,
    number: u16,
    servers: Vec<WireIncarnation>,
}

impl Leavers {
    /// Returns whether a report needs this portion.
    pub(super) fn is_needed(summary: &Summary) -> bool {
        !summary.leaving.is_empty()
    }

    /// Creates the portion of a report whose other portions precede `number`.
    pub(super) fn new(sender: Sender<'_>, scope: &Scope, summary: &Summary, number: u16) -> Self {
        let servers = summary.leaving.iter().map(WireIncarnation::from);
        Self {
            entry: sender.entry.into(),
            zone: sender.zone.to_string(),
            scope: scope.into(),
            number,
            servers: servers.take(MAX_SERVERS).collect(),
        }
    }

    /// Encodes the portion.
    pub(super) fn encode(&self) -> Option<Vec<u8>> {
        message::encode_tagged(LEAVERS_TAG, self)
    }

    /// Decodes the portion; returns `None` if the message is another one.
    pub(super) fn decode(bytes: &[u8]) -> Option<Result<Self, Malformed>> {
        message::decode_tagged(LEAVERS_TAG, bytes)
    }
}

impl From<Leavers> for Received {
    fn from(leavers: Leavers) -> Self {
        let servers = leavers.servers.into_iter().map(Into::into);
        let summary = Summary {
            leaving: servers.collect(),
            ..Summary::default()
        };
        Self {
            entry: leavers.entry,
            zone: leavers.zone.into(),
            scope: leavers.scope.into(),
            portion: Fragment {
                number: leavers.number,
                last: leavers.number,
            },
            summary,
        }
    }
}
