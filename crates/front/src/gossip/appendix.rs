//! The part of a report about requests that crash servers, and about limits that servers name.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use jujube_core::pipeline::digest::Digest;
use jujube_core::pipeline::limits;
use jujube_core::pipeline::limits::Rate;
use jujube_core::pipeline::quarantine::MAX_QUARANTINED;
use jujube_core::pipeline::quarantine::run::End;
use jujube_core::pipeline::reports::Fragment;
use jujube_core::pipeline::reports::Scope;
use jujube_core::pipeline::summary::Summary;
use jujube_core::time::Span;
use serde::Deserialize;
use serde::Serialize;

use super::message;
use super::message::Malformed;
use super::message::Received;
use super::message::Sender;
use super::message::WireIncarnation;
use super::message::WireScope;

/// The first byte of an appendix. No message begins with it, since names of entries are short.
const APPENDIX_TAG: u8 = 0xff;
/// The most ends of servers under requests per appendix, those of the requests with the most ends.
const MAX_ENDS: usize = 256;
/// The most limits of servers per appendix.
const MAX_LIMITS: usize = 256;

/// An end of a server under a request: the server, how often it had ended before, and the digest.
#[derive(Debug, Deserialize, Serialize)]
struct WireEnd(WireIncarnation, u32, u64);

/// Returns the ends to report.
fn ends(summary: &Summary) -> Vec<WireEnd> {
    let pairs = summary
        .ended_under
        .iter()
        .flat_map(|(end, digests)| digests.iter().map(move |digest| (end, *digest)));
    let mut pairs: Vec<(&End, Digest)> = pairs.collect();
    let mut counts: BTreeMap<Digest, usize> = BTreeMap::new();
    for (_, digest) in &pairs {
        *counts.entry(*digest).or_default() += 1;
    }
    pairs.sort_by_key(|(_, digest)| Reverse(counts.get(digest).copied()));
    let most = pairs.into_iter().take(MAX_ENDS);
    most.map(|(end, digest)| WireEnd((&end.server).into(), end.earlier, digest.0))
        .collect()
}

/// The last portion of a report.
///
/// Entries of versions without it reject it, and apply the other portions.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Appendix {
    entry: String,
    zone: String,
    scope: WireScope,
    number: u16,
    ended_under: Vec<WireEnd>,
    quarantined: Vec<u64>,
    /// Servers, the limits that they name in requests per second, and the age in milliseconds.
    limits: Vec<(WireIncarnation, Option<f64>, u32)>,
}

impl Appendix {
    /// Returns whether a report needs an appendix.
    pub(super) fn is_needed(summary: &Summary) -> bool {
        let is_empty = summary.ended_under.is_empty()
            && summary.quarantined.is_empty()
            && summary.limits.is_empty();
        !is_empty
    }

    /// Creates the appendix of a report whose other portions precede `number`.
    pub(super) fn new(sender: Sender<'_>, scope: &Scope, summary: &Summary, number: u16) -> Self {
        let quarantined = summary.quarantined.iter().map(|digest| digest.0);
        let limits = summary.limits.iter().map(|(server, report)| {
            let rate = report.rate.map(Rate::per_second);
            (server.into(), rate, report.age.0 as u32)
        });
        Self {
            entry: sender.entry.into(),
            zone: sender.zone.to_string(),
            scope: scope.into(),
            number,
            ended_under: ends(summary),
            quarantined: quarantined.take(MAX_QUARANTINED).collect(),
            limits: limits.take(MAX_LIMITS).collect(),
        }
    }

    /// Encodes the appendix.
    pub(super) fn encode(&self) -> Option<Vec<u8>> {
        message::encode_tagged(APPENDIX_TAG, self)
    }

    /// Decodes an appendix; returns `None` if the message is not one.
    pub(super) fn decode(bytes: &[u8]) -> Option<Result<Self, Malformed>> {
        message::decode_tagged(APPENDIX_TAG, bytes)
    }
}

impl TryFrom<Appendix> for Received {
    type Error = Malformed;

    fn try_from(appendix: Appendix) -> Result<Self, Self::Error> {
        let mut summary = Summary::default();
        for WireEnd(server, earlier, digest) in appendix.ended_under {
            let server = server.into();
            let end = End { server, earlier };
            let digests = summary.ended_under.entry(end).or_default();
            digests.insert(Digest(digest));
        }
        summary.quarantined = appendix.quarantined.into_iter().map(Digest).collect();
        for (server, rate, age) in appendix.limits {
            let rate = rate.map(Rate::new).transpose();
            let report = limits::Report {
                rate: rate.map_err(|_| Malformed::NotFinite)?,
                age: Span(u64::from(age)),
            };
            summary.limits.insert(server.into(), report);
        }
        Ok(Self {
            entry: appendix.entry,
            zone: appendix.zone.into(),
            scope: appendix.scope.into(),
            portion: Fragment {
                number: appendix.number,
                last: appendix.number,
            },
            summary,
        })
    }
}
