//! Entries tell one another what they have in flight.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::layer::Range;
use jujube_core::name::Server;
use jujube_core::pipeline::load::Use;
use jujube_core::pipeline::outlier::Tally;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_store::kv::Error;
use jujube_store::kv::Feed;
use jujube_store::kv::Lease;
use jujube_store::kv::Write;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::dialect::Dialect;
use crate::follow;
use crate::probe;
use crate::state::State;

/// The start of the keys under which entries announce their addresses.
const ENTRIES: &str = "jujube/entries/";
/// How long an announcement lasts without renewal: one that is out of date costs some datagrams.
const TTL: Span = Span(15_000);
/// How often it is renewed. The renewal is also how a store that has fallen silent is noticed, within
/// the three seconds after which a change must not be missed; it costs a tenth of another call.
const RENEW: Duration = Duration::from_millis(1_300);
/// How long a renewal may take; a slow store takes a third of a second.
const ANSWER: Duration = Duration::from_millis(800);
/// How long after a failure to announce it is tried again.
const AGAIN: Duration = Duration::from_millis(700);
/// How often an entry tells its load, at least. In that time one of four entries starts two or three
/// streams, which is a few parts in a hundred of a server's room.
const TELL: Duration = Duration::from_millis(100);
/// How much longer it waits for each other entry: the more there are, the less each has in flight,
/// and each hears from all.
const TELL_EACH: Duration = Duration::from_millis(10);
/// How long an entry whose announcement has ended is still told, after it was last heard: the
/// announcement also ends when the store is away.
const HEARD: Span = Span(5_000);
/// How long another entry's word on the store counts.
const FRESH: Span = Span(1_500);
/// The most bytes of one message; three hundred servers take some 14 kB.
const MOST_BYTES: usize = 60_000;

/// One server's use in a message.
#[derive(Debug, Deserialize, Serialize)]
struct Row {
    server: String,
    tokens: f32,
    requests: u32,
}

/// How many times slower than usual a server says it is.
#[derive(Debug, Deserialize, Serialize)]
struct Slow {
    server: String,
    slowness: f32,
}

/// The layers that a server holds.
#[derive(Debug, Deserialize, Serialize)]
struct Held {
    server: String,
    start: u32,
    end: u32,
}

/// A server that refuses requests, and for how many milliseconds more that is believed.
#[derive(Debug, Deserialize, Serialize)]
struct Full {
    server: String,
    lasts_ms: u32,
}

/// How requests at a server ended.
#[derive(Debug, Deserialize, Serialize)]
struct Ended {
    server: String,
    good: f32,
    bad: f32,
}

/// What one entry tells the others.
#[derive(Debug, Deserialize, Serialize)]
struct Message {
    entry: String,
    rows: Vec<Row>,
    slow: Vec<Slow>,
    /// Servers that refuse requests of this entry.
    full: Vec<Full>,
    /// How requests of this entry ended, by server.
    ended: Vec<Ended>,
    /// Whether the store does not answer this entry.
    is_store_away: bool,
    /// What servers told the planner that they hold, while the store is away.
    held: Vec<Held>,
    /// Servers that this entry suspects. The others ask these themselves: an entry that is cut off
    /// suspects all.
    suspects: Vec<String>,
}

impl From<Row> for (Server, Use) {
    fn from(row: Row) -> Self {
        let used = Use {
            tokens: f64::from(row.tokens),
            requests: u64::from(row.requests),
        };
        (row.server.into(), used)
    }
}

impl From<(&Server, &Range)> for Held {
    fn from((server, layers): (&Server, &Range)) -> Self {
        Self {
            server: server.to_string(),
            start: layers.start,
            end: layers.end,
        }
    }
}

impl From<(&Server, Span)> for Full {
    fn from((server, lasts): (&Server, Span)) -> Self {
        Self {
            server: server.to_string(),
            lasts_ms: lasts.0 as u32,
        }
    }
}

impl From<(&Server, Tally)> for Ended {
    fn from((server, tally): (&Server, Tally)) -> Self {
        Self {
            server: server.to_string(),
            good: tally.good as f32,
            bad: tally.bad as f32,
        }
    }
}

impl From<Ended> for (Server, Tally) {
    fn from(ended: Ended) -> Self {
        let tally = Tally {
            good: f64::from(ended.good),
            bad: f64::from(ended.bad),
        };
        (ended.server.into(), tally)
    }
}

impl From<(&Server, &f64)> for Slow {
    fn from((server, slowness): (&Server, &f64)) -> Self {
        Self {
            server: server.to_string(),
            slowness: *slowness as f32,
        }
    }
}

impl From<(&Server, &Use)> for Row {
    fn from((server, used): (&Server, &Use)) -> Self {
        Self {
            server: server.to_string(),
            tokens: used.tokens as f32,
            requests: used.requests as u32,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    is_announced: bool,
    heard: Instant,
    /// Whether it says that the store does not answer it.
    is_store_away: bool,
}

/// The other entries.
#[derive(Default)]
pub struct Peers(RefCell<BTreeMap<SocketAddr, Peer>>);

impl Peers {
    /// Takes a key of the store, if it is an entry's announcement.
    pub fn take(&self, key: &str, value: Option<&str>) {
        let Some(_name) = key.strip_prefix(ENTRIES) else {
            return;
        };
        let Some(value) = value else {
            // The address is in the value that is gone: those not heard any more drop out.
            for peer in self.0.borrow_mut().values_mut() {
                peer.is_announced = false;
            }
            return;
        };
        if let Ok(address) = value.parse() {
            let peer = Peer {
                is_announced: true,
                heard: clock::now(),
                is_store_away: false,
            };
            self.0.borrow_mut().insert(address, peer);
        }
    }

    fn heard(&self, address: SocketAddr, is_store_away: bool) {
        let mut peers = self.0.borrow_mut();
        let peer = peers.entry(address).or_insert(Peer {
            is_announced: false,
            heard: clock::now(),
            is_store_away,
        });
        peer.heard = clock::now();
        peer.is_store_away = is_store_away;
    }

    /// Tells whether the store answers no other entry, as far as most of them are heard.
    ///
    /// `own` is this entry's address; entries that cannot be heard may be those that the store serves.
    pub fn is_store_away(&self, own: SocketAddr) -> bool {
        let now = clock::now();
        let peers = self.0.borrow();
        let others = peers.iter().filter(|(address, _)| **address != own);
        let others: Vec<&Peer> = others.map(|(_, peer)| peer).collect();
        let heard = others.iter().filter(|peer| now.since(peer.heard) <= FRESH);
        let (mut count, mut all_away) = (0, true);
        for peer in heard {
            count += 1;
            all_away &= peer.is_store_away;
        }
        all_away && count * 2 >= others.len()
    }

    /// Returns how many entries are known, this one included.
    pub fn count(&self) -> u64 {
        self.0.borrow().len().max(1) as u64
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let mut peers = self.0.borrow_mut();
        peers.retain(|_, peer| peer.is_announced || now.since(peer.heard) <= HEARD);
        peers.keys().copied().collect()
    }
}

/// Announces this entry in the store until the process ends.
pub async fn announce<D, F: Feed>(state: Rc<State<D>>, store: F) {
    loop {
        if let Err(error) = announced(&state, &store).await {
            // The call that waits for changes may wait in vain: it is made again.
            state.store_doubted.notify_waiters();
            let cause = error.to_string().replace(' ', "-");
            log::info!("event=not-announced cause={cause}");
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Announces this entry and renews that until it fails.
async fn announced<D, F: Feed>(state: &State<D>, store: &F) -> Result<(), Error> {
    let lease = store.grant(TTL).await?;
    let key = format!("{ENTRIES}{}", state.settings.name);
    write(state, store, &key, lease).await?;
    loop {
        tokio::time::sleep(RENEW).await;
        let renewal = tokio::time::timeout(ANSWER, store.renew(lease)).await;
        let renewed = renewal.unwrap_or_else(|_| Err(Error::Unknown("timeout".into())))?;
        if !renewed {
            return Ok(());
        }
    }
}

async fn write<D, F: Feed>(
    state: &State<D>,
    store: &F,
    key: &str,
    lease: Lease,
) -> Result<(), Error> {
    let value = state.settings.gossip.to_string();
    let put = Write::Put {
        key: key.into(),
        value,
        lease: Some(lease),
    };
    // Without a condition there is nothing that could fail to hold.
    let _written = store.swap(&[], &[put]).await?;
    Ok(())
}

/// Tells this entry's load, and hears the others', until the process ends.
pub async fn run<D: Dialect>(state: Rc<State<D>>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    tokio::task::spawn_local(hear(state.clone(), socket.clone()));
    loop {
        let urgent = state.is_news.notified();
        let peers = state.load.borrow().peers() as u32;
        let _either = tokio::time::timeout(TELL + TELL_EACH * peers, urgent).await;
        state.load.borrow_mut().expire(clock::now());
        for server in state.outliers.borrow_mut().judge(clock::now()) {
            log::info!("event=outlier server={server}");
        }
        let Some(bytes) = message(&state) else {
            continue;
        };
        for address in state.peers.addresses() {
            if address != state.settings.gossip {
                // A datagram that is lost is made good by the next.
                let _lost = socket.send_to(&bytes, address).await;
            }
        }
    }
}

fn message<D>(state: &State<D>) -> Option<Vec<u8>> {
    let load = state.load.borrow();
    let suspicion = state.suspicion.borrow();
    let outliers = state.outliers.borrow();
    let now = clock::now();
    let message = Message {
        entry: state.settings.name.to_string(),
        rows: load.own().map(Row::from).collect(),
        slow: state.slow_servers.borrow().iter().map(Slow::from).collect(),
        full: load.refusals.own(now).map(Full::from).collect(),
        ended: outliers.own(now).map(Ended::from).collect(),
        is_store_away: state.roster.borrow().is_store_away(),
        held: state.told.borrow().iter().map(Held::from).collect(),
        suspects: suspicion.names().map(ToString::to_string).collect(),
    };
    let bytes = bincode::serialize(&message);
    bytes.ok().filter(|bytes| bytes.len() <= MOST_BYTES)
}

async fn hear<D: Dialect>(state: Rc<State<D>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        let received: io::Result<(usize, SocketAddr)> = socket.recv_from(&mut buffer).await;
        let Ok((length, address)) = received else {
            // Told by a peer's machine that nobody listens there; the next datagram is another's.
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let Ok(message) = bincode::deserialize::<Message>(&buffer[..length]) else {
            state.metrics.count("gossip_malformed");
            continue;
        };
        state.peers.heard(address, message.is_store_away);
        let entry: Arc<str> = message.entry.into();
        let rows = message.rows.into_iter().map(Into::into);
        let now = clock::now();
        state.load.borrow_mut().hear(now, entry.clone(), rows);
        let ended = message.ended.into_iter().map(Into::into);
        state.outliers.borrow_mut().hear(now, entry, ended);
        for full in message.full {
            let lasts = Span(u64::from(full.lasts_ms));
            let refusals = &mut state.load.borrow_mut().refusals;
            refusals.hear(now, full.server.into(), lasts);
        }
        for slow in message.slow {
            let (server, slowness) = (slow.server.into(), f64::from(slow.slowness));
            state.load.borrow_mut().reported(now, &server, slowness);
        }
        learn_held(&state, message.held);
        for suspect in message.suspects {
            ask(&state, suspect.into());
        }
    }
}

/// Takes what servers told the planner that they hold.
fn learn_held<D: Dialect>(state: &Rc<State<D>>, held: Vec<Held>) {
    let mut is_news = false;
    for held in held {
        let layers = Range::new(held.start, held.end);
        let mut roster = state.roster.borrow_mut();
        is_news |= roster.reported(&held.server.into(), layers);
    }
    if is_news {
        follow::rebuild(state);
    }
}

/// Asks a server that another entry suspects, unless this one does already.
fn ask<D: Dialect>(state: &Rc<State<D>>, server: Server) {
    if state.suspicion.borrow().holds(&server) {
        return;
    }
    if let Some(address) = state.address(&server) {
        probe::doubt(state, server, address);
    }
}
