//! Entries tell one another what they have in flight and what they have found out.

mod announce;
mod message;
mod peers;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::layer::Range;
use jujube_core::pipeline::board::Scope;
use jujube_core::pipeline::cell;
use jujube_core::pipeline::cell::Place;
use jujube_core::pipeline::roster::Effect;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::summary::Summary;
use jujube_core::time::Span;
use jujube_program::clock;
use tokio::net::UdpSocket;

use crate::dialect::Dialect;
use crate::follow;
use crate::probe;
use crate::state::State;

use message::Heard;
use message::Malformed;
use message::Teller;

pub use announce::announce;
pub use peers::Announcement;
pub use peers::Peers;

/// The start of the keys under which entries announce their addresses.
const ENTRIES: &str = "jujube/entries/";

/// Returns the name of the entry whose announcement a key holds.
pub fn announced(key: &str) -> Option<&str> {
    key.strip_prefix(ENTRIES)
}

/// How long after it told something an entry waits before it tells urgent news. A dying server's streams make news
/// of one death again and again; told each time by all entries at once, that filled links of 20 Mbit/s for longer
/// than a question to a server may take, and live servers were found dead by the dozen.
const URGENT_GAP: Span = Span(40);
/// How often at most what others said is added up: adding a hundred rows takes some 30 microseconds, and messages
/// come in twos and threes.
const SUMS: Span = Span(50);

/// Tells this entry's load, and hears the others', until the process ends.
pub async fn run<D: Dialect>(state: Rc<State<D>>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    tokio::task::spawn_local(hear(state.clone(), socket.clone()));
    tokio::task::spawn_local(relay(state.clone(), socket.clone()));
    let mut told = clock::now();
    let mut told_rest = told;
    loop {
        let urgent = state.is_news.notified();
        let is_urgent = tokio::time::timeout(millis(cell::TELL), urgent).await;
        if is_urgent.is_ok() {
            let gap = URGENT_GAP.0.saturating_sub(clock::now().since(told).0);
            tokio::time::sleep(millis(Span(gap))).await;
        }
        told = clock::now();
        sum_up(&state);
        for server in state.outliers.borrow_mut().judge(told) {
            log::info!("event=outlier server={server}");
        }
        let neighbours = state.peers.directory.borrow().neighbours();
        tell(&state, &socket, &neighbours, &Scope::Own, &own(&state)).await;
        let is_speaker = state.peers.directory.borrow().is_speaker(told);
        if !is_speaker || told.since(told_rest) < cell::TELL {
            continue;
        }
        told_rest = told;
        let rest = state.peers.board.borrow().rest(told);
        if rest.entries > 0 {
            tell(&state, &socket, &neighbours, &Scope::Rest, &rest).await;
        }
    }
}

fn millis(span: Span) -> Duration {
    Duration::from_millis(span.0)
}

/// Tells the other cells the sum of this entry's own, while it speaks for it.
async fn relay<D: Dialect>(state: Rc<State<D>>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(millis(cell::RELAY)).await;
        let now = clock::now();
        let directory = &state.peers.directory;
        directory.borrow_mut().expire(now);
        if directory.borrow().cells() < 2 || !directory.borrow().is_speaker(now) {
            continue;
        }
        let sum = state.peers.board.borrow().cell(now, &own(&state));
        let scope = Scope::Cell(directory.borrow().home().clone());
        let targets = directory.borrow_mut().targets(now);
        tell(&state, &socket, &targets, &scope, &sum).await;
    }
}

async fn tell<D>(
    state: &State<D>,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    scope: &Scope,
    summary: &Summary,
) {
    let teller = Teller {
        entry: &state.settings.name,
        zone: &state.settings.zone,
    };
    let messages = message::encode(teller, scope, summary);
    if messages.len() > 1 {
        state.metrics.count("gossip_split");
    }
    for address in addresses {
        for bytes in &messages {
            state.metrics.count("gossip_sent");
            if socket.send_to(bytes, address).await.is_err() {
                // The next word makes good what is lost.
                state.metrics.count("gossip_not_sent");
            }
        }
    }
}

/// Returns what this entry has to tell.
fn own<D>(state: &State<D>) -> Summary {
    let load = state.load.borrow();
    let suspicion = state.suspicion.borrow();
    let outliers = state.outliers.borrow();
    let now = clock::now();
    let address = state.settings.gossip;
    let token = state.leadership.own();
    let suspects = suspicion.names().map(|server| (server.clone(), 1));
    let ordered = state.ordered.borrow();
    let ordered = ordered.iter().filter(|_| token.is_some());
    Summary {
        entries: 1,
        served: u64::from(!state.is_store_away()),
        ready: state.is_ready().then_some(address),
        planner: token.map(|token| (token, address)),
        used: owned(load.own().map(|(server, used)| (server, *used))),
        ended: owned(outliers.own(now)),
        slow: owned(load.slow(now)),
        full: owned(load.refusals.own(now)),
        suspects: suspects.collect(),
        held: state.told.borrow().clone(),
        ordered: owned(ordered.map(|(server, layers)| (server, *layers))),
    }
}

fn owned<'a, T, C: FromIterator<(Incarnation, T)>>(
    rows: impl Iterator<Item = (&'a Incarnation, T)>,
) -> C {
    rows.map(|(server, row)| (server.clone(), row)).collect()
}

async fn hear<D: Dialect>(state: Rc<State<D>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; message::BUFFER];
    loop {
        let received: io::Result<(usize, SocketAddr)> = socket.recv_from(&mut buffer).await;
        let Ok((length, address)) = received else {
            // Told by a peer's machine that nobody listens there; the next datagram is another's.
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        match message::decode(&buffer[..length]) {
            Ok(heard) => take(&state, address, heard),
            Err(Malformed::Encoding) => state.metrics.count("gossip_malformed"),
            Err(Malformed::Figure) => state.metrics.count("gossip_senseless"),
        }
    }
}

/// Takes what another entry tells.
fn take<D: Dialect>(state: &Rc<State<D>>, address: SocketAddr, heard: Heard) {
    let now = clock::now();
    let entry: Arc<str> = heard.entry.into();
    let zone = heard.zone;
    let summary = heard.summary;
    let mut directory = state.peers.directory.borrow_mut();
    directory.heard(now, &entry, Place { zone, address });
    drop(directory);
    if heard.portion.number == 0 {
        take_planner(state, address, &heard.scope, &summary);
    }
    let mut load = state.load.borrow_mut();
    for (server, lasts) in &summary.full {
        load.refusals.hear(now, server.clone(), *lasts);
    }
    for (server, slowness) in &summary.slow {
        load.reported(now, server, *slowness);
    }
    drop(load);
    let mut board = state.peers.board.borrow_mut();
    board.hear(now, entry, heard.scope, heard.portion, summary);
    drop(board);
    if now.since(state.peers.summed.get()) >= SUMS {
        sum_up(state);
    }
}

/// Takes a word on who gives orders. Only the entry itself can say that it gives none.
fn take_planner<D>(state: &State<D>, teller: SocketAddr, scope: &Scope, summary: &Summary) {
    let now = clock::now();
    match (scope, summary.planner) {
        (_, Some((token, planner))) if planner != state.settings.gossip => {
            state.leadership.heard_entry(now, planner, Some(token));
        }
        (Scope::Own, None) => state.leadership.heard_entry(now, teller, None),
        _ => {}
    }
}

/// Adds up what the others said, and acts on it.
fn sum_up<D: Dialect>(state: &Rc<State<D>>) {
    let now = clock::now();
    state.peers.summed.set(now);
    let mut board = state.peers.board.borrow_mut();
    board.expire(now);
    let others = board.others(now);
    drop(board);
    state.peers.set(others.entries, others.served, others.ready);
    let mut load = state.load.borrow_mut();
    load.set_others(others.entries, others.used);
    drop(load);
    state.outliers.borrow_mut().set_others(others.ended);
    if others.planner.is_some() && state.leadership.own().is_none() {
        state.ordered.replace(others.ordered);
    }
    for (server, layers) in others.held {
        learn_held(state, &server, layers);
    }
    let mut suspicion = state.suspicion.borrow_mut();
    let doubted = suspicion.set_told(now, others.suspects);
    drop(suspicion);
    for server in doubted {
        ask(state, server);
    }
}

/// Takes what a server told the planner that it holds.
fn learn_held<D: Dialect>(state: &Rc<State<D>>, server: &Incarnation, layers: Range) {
    let mut roster = state.roster.borrow_mut();
    let effect = roster.reported(clock::now(), server, layers);
    drop(roster);
    if effect != Effect::None {
        follow::rebuild(state);
    }
}

/// Asks a server that others suspect, if requests of this entry are there.
///
/// The others find out by their own requests, or prefer other servers as long as it is suspected. Asked by all, a
/// death was a hundred questions and connections at once, and each false alarm as many.
fn ask<D: Dialect>(state: &Rc<State<D>>, server: Incarnation) {
    let is_used = state.load.borrow().has_own(&server);
    if !is_used || state.suspicion.borrow().holds(&server) {
        return;
    }
    if let Some(address) = state.address(&server) {
        probe::check(state, server, address);
    }
}
