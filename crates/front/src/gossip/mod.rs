//! Entries tell one another what they have in flight and what they have found out.

mod announce;
mod message;
mod peers;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::fence::Token;
use jujube_core::pipeline::roster::Effect;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::revision::Revision;
use jujube_core::time::Span;
use jujube_program::clock;
use tokio::net::UdpSocket;

use crate::dialect::Dialect;
use crate::follow;
use crate::probe;
use crate::state::State;

use message::Held;
use message::MOST_BYTES;
use message::Message;
use peers::Word;

pub use announce::announce;
pub use peers::Peers;

/// The start of the keys under which entries announce their addresses.
const ENTRIES: &str = "jujube/entries/";

/// Returns the name of the entry whose announcement a key holds.
pub fn announced(key: &str) -> Option<&str> {
    key.strip_prefix(ENTRIES)
}

/// How often an entry tells its load, at least. In that time one of four entries starts two or three
/// streams, which is a few parts in a hundred of a server's room.
const TELL: Duration = Duration::from_millis(100);
/// How much longer it waits for each other entry: the more there are, the less each has in flight,
/// and each hears from all.
const TELL_EACH: Duration = Duration::from_millis(10);

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
        let Some(bytes) = Message::of(&state) else {
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
        let word = Word {
            is_store_away: message.is_store_away,
            is_ready: message.is_ready,
        };
        state.peers.heard(address, word);
        let token = message.planner.map(Token);
        state.leadership.heard_entry(clock::now(), address, token);
        let entry: Arc<str> = message.entry.into();
        let knows = Revision(message.knows);
        let seat = &state.retries.seat;
        seat.borrow_mut().told(clock::now(), &entry, knows);
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
        if token.is_some() && state.leadership.own().is_none() {
            let ordered = message.ordered.into_iter().map(Into::into);
            state.ordered.replace(ordered.collect());
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
        let (server, layers) = held.into();
        let mut roster = state.roster.borrow_mut();
        let effect = roster.reported(clock::now(), &server, layers);
        is_news |= effect != Effect::None;
    }
    if is_news {
        follow::rebuild(state);
    }
}

/// Asks a server that another entry suspects, unless this one does already.
fn ask<D: Dialect>(state: &Rc<State<D>>, server: Incarnation) {
    if state.suspicion.borrow().holds(&server) {
        return;
    }
    if let Some(address) = state.address(&server) {
        probe::doubt(state, server, address);
    }
}
