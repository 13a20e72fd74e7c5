//! The messages about loans of fractions of limits.

use std::net::SocketAddr;

use jujube_core::pipeline::limits::Fraction;
use jujube_core::pipeline::limits::MAX_ROWS;
use jujube_core::pipeline::server::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::state::State;

use super::message;
use super::message::Malformed;
use super::message::WireIncarnation;

/// The first bytes of these messages. No report begins with them, since names of entries are short.
const REQUEST_TAG: u8 = 0xfb;
const GRANT_TAG: u8 = 0xfa;

/// Servers and fractions of their limits.
pub type Rows = Vec<(Incarnation, Fraction)>;

/// What a message is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The sender wants to borrow.
    Request,
    /// The sender lends.
    Grant,
}

impl Kind {
    fn tag(self) -> u8 {
        match self {
            Self::Request => REQUEST_TAG,
            Self::Grant => GRANT_TAG,
        }
    }
}

/// A message about loans.
#[derive(Clone, Debug)]
pub struct Loan {
    /// Whether it is a request or a grant.
    pub kind: Kind,
    /// The name of the entry that sends it.
    pub entry: String,
    /// The number of the request, which its grant repeats.
    pub number: u64,
    /// The servers, and the fraction of each limit that is wanted or granted.
    pub rows: Rows,
}

/// The wire form of both kinds of messages.
#[derive(Debug, Deserialize, Serialize)]
struct WireLoan {
    entry: String,
    number: u64,
    rows: Vec<(WireIncarnation, f64)>,
}

impl Loan {
    /// Sends the message to an entry. A lost one is made up for by the next.
    pub async fn send<D>(&self, state: &State<D>, socket: &UdpSocket, address: SocketAddr) {
        let Some(bytes) = self.encode() else {
            return;
        };
        state.metrics.count("gossip_sent");
        if socket.send_to(&bytes, address).await.is_err() {
            state.metrics.count("gossip_not_sent");
        }
    }

    /// Encodes the message.
    fn encode(&self) -> Option<Vec<u8>> {
        let rows = self.rows.iter();
        let rows = rows.map(|(server, fraction)| (server.into(), fraction.get()));
        let wire = WireLoan {
            entry: self.entry.clone(),
            number: self.number,
            rows: rows.take(MAX_ROWS).collect(),
        };
        message::encode_tagged(self.kind.tag(), &wire)
    }

    /// Decodes a message; returns `None` if it is of another kind.
    pub(super) fn decode(bytes: &[u8]) -> Option<Result<Self, Malformed>> {
        let kinds = [Kind::Request, Kind::Grant];
        kinds.into_iter().find_map(|kind| {
            let wire = message::decode_tagged::<WireLoan>(kind.tag(), bytes)?;
            Some(wire.and_then(|wire| Self::from_wire(kind, wire)))
        })
    }

    fn from_wire(kind: Kind, wire: WireLoan) -> Result<Self, Malformed> {
        let rows = wire.rows.into_iter().take(MAX_ROWS);
        let rows = rows.map(|(server, fraction)| {
            let fraction = Fraction::new(fraction).map_err(|_| Malformed::NotFinite)?;
            Ok((server.into(), fraction))
        });
        Ok(Self {
            kind,
            entry: wire.entry,
            number: wire.number,
            rows: rows.collect::<Result<_, _>>()?,
        })
    }
}
