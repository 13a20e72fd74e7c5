//! Gossip between entries about load, failures, suspicions and the planner.

mod announce;
mod appendix;
mod loan;
mod message;
mod peers;
mod portion;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::layer::Range;
use jujube_core::pipeline::cell;
use jujube_core::pipeline::cell::Location;
use jujube_core::pipeline::key;
use jujube_core::pipeline::key::Key;
use jujube_core::pipeline::reports::Scope;
use jujube_core::pipeline::roster::Effect;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::summary::Summary;
use jujube_core::pipeline::turn::Turn;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use tokio::net::UdpSocket;

use crate::dialect::Dialect;
use crate::limits;
use crate::loans;
use crate::probe;
use crate::quarantine;
use crate::state::State;
use crate::store_watch;

use message::Malformed;
use message::Received;
use message::Sender;

pub use announce::announce;
pub use loan::Kind;
pub use loan::Loan;
pub use peers::Announcement;
pub use peers::Peers;

/// Returns the name of the entry whose announcement a key holds.
pub fn announced(key: &str) -> Option<&str> {
    key.strip_prefix(key::ANNOUNCEMENTS)
}

/// Returns the key of the announcement of an entry, named as in its key; `None` if no key has that name.
pub fn announcement_key(entry: &str) -> Option<String> {
    let entry = entry.parse().ok()?;
    Some(Key::Announcement(entry).to_string())
}

/// The shortest interval between a report and an urgent one. The streams of a crashed server
/// suspect it again and again; urgent reports of all entries for each of these could saturate a
/// link of 20 Mbit/s, delay probes and make healthy servers look dead.
const URGENT_INTERVAL: Span = Span(40);
/// The shortest interval between two aggregations of received reports: messages arrive two or three
/// at a time, and aggregating a hundred reports takes some 30 microseconds.
const AGGREGATE_INTERVAL: Span = Span(50);

/// Sends this entry's reports to the entries of its cell until the process ends.
pub async fn run<D: Dialect>(state: Rc<State<D>>, socket: Rc<UdpSocket>) {
    let mut sent_at = clock::now();
    let mut rest_sent_at = sent_at;
    loop {
        let urgent = state.urgent_report.notified();
        let is_urgent = tokio::time::timeout(millis(cell::REPORT_INTERVAL), urgent).await;
        if is_urgent.is_ok() {
            let gap = URGENT_INTERVAL
                .0
                .saturating_sub(clock::now().since(sent_at).0);
            tokio::time::sleep(millis(Span(gap))).await;
        }
        sent_at = clock::now();
        aggregate(&state);
        for server in state.outliers.borrow_mut().evaluate(sent_at) {
            event!(Info, "outlier", server);
        }
        let neighbours = state.peers.directory.borrow().neighbours();
        send(
            &state,
            &socket,
            &neighbours,
            &Scope::Own,
            &own_report(&state),
        )
        .await;
        let is_speaker = state.peers.directory.borrow().is_speaker(sent_at);
        if !is_speaker || sent_at.since(rest_sent_at) < cell::REPORT_INTERVAL {
            continue;
        }
        rest_sent_at = sent_at;
        let rest = state.peers.reports.borrow().rest(sent_at);
        if rest.entries > 0 {
            send(&state, &socket, &neighbours, &Scope::Rest, &rest).await;
        }
    }
}

fn millis(span: Span) -> Duration {
    Duration::from_millis(span.0)
}

/// Sends the sum of this cell's reports to the other cells while this entry is a speaker of its
/// cell.
pub async fn relay<D: Dialect>(state: Rc<State<D>>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(millis(cell::RELAY_INTERVAL)).await;
        let now = clock::now();
        let directory = &state.peers.directory;
        directory.borrow_mut().expire(now);
        if directory.borrow().cells() < 2 || !directory.borrow().is_speaker(now) {
            continue;
        }
        let sum = state.peers.reports.borrow().cell(now, &own_report(&state));
        let scope = Scope::Cell(directory.borrow().home().clone());
        let targets = directory.borrow_mut().targets(now);
        send(&state, &socket, &targets, &scope, &sum).await;
    }
}

async fn send<D>(
    state: &State<D>,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    scope: &Scope,
    summary: &Summary,
) {
    let sender = Sender {
        entry: &state.settings.name,
        zone: &state.settings.zone,
    };
    let messages = message::encode(sender, scope, summary);
    if messages.len() > 1 {
        state.metrics.count("gossip_split");
    }
    for address in addresses {
        for bytes in &messages {
            state.metrics.count("gossip_sent");
            if socket.send_to(bytes, address).await.is_err() {
                // The next report makes up for the lost one.
                state.metrics.count("gossip_not_sent");
            }
        }
    }
}

/// Returns this entry's own report.
fn own_report<D>(state: &State<D>) -> Summary {
    let load = state.load.borrow();
    let suspicion = state.suspicion.borrow();
    let outliers = state.outliers.borrow();
    let now = clock::now();
    let address = state.internal.get();
    let token = state.leadership.own();
    let suspects = suspicion.suspects().map(|server| (server.clone(), 1));
    let ordered = state.ordered_layers.borrow();
    let ordered = ordered.iter().filter(|_| token.is_some());
    let quarantine = state.quarantine.borrow();
    let roster = state.roster.borrow();
    Summary {
        entries: 1,
        with_store: u64::from(!state.is_store_unavailable()),
        ready: address.filter(|_| state.is_ready()),
        planner: token.zip(address),
        usage: cloned(load.own_usage().map(|(server, usage)| (server, *usage))),
        outcomes: cloned(outliers.own(now)),
        slowness: cloned(load.recent_slowness(now)),
        refusing: cloned(load.refusals.own(now)),
        suspects: suspects.collect(),
        held: state.reported_layers.borrow().clone(),
        ordered: cloned(ordered.map(|(server, layers)| (server, *layers))),
        ended_under: quarantine.own_ends(now),
        quarantined: quarantine.reported(now),
        lives: quarantine.reported_lives(now),
        runs: quarantine.reported_runs(now),
        limits: cloned(load.limits.reports(now)),
        leaving: roster.announced_leavers().cloned().collect(),
    }
}

fn cloned<'a, T, C: FromIterator<(Incarnation, T)>>(
    rows: impl Iterator<Item = (&'a Incarnation, T)>,
) -> C {
    rows.map(|(server, row)| (server.clone(), row)).collect()
}

/// Receives the reports of other entries until the process ends.
pub async fn receive<D: Dialect>(state: Rc<State<D>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; message::RECEIVE_BUFFER_BYTES];
    let mut turn = Turn::default();
    loop {
        let datagram: io::Result<(usize, SocketAddr)> = socket.recv_from(&mut buffer).await;
        let Ok((length, address)) = datagram else {
            // An ICMP error for an earlier datagram: a peer's port is closed. The next datagram may
            // come from another entry.
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let bytes = &buffer[..length];
        let handled = match Loan::decode(bytes) {
            Some(Ok(loan)) => {
                loans::handle(&state, &socket, address, loan).await;
                Ok(())
            }
            Some(Err(malformed)) => Err(malformed),
            None => message::decode(bytes).map(|received| handle(&state, address, received)),
        };
        match handled {
            Ok(()) => {}
            Err(Malformed::Encoding) => state.metrics.count("gossip_malformed"),
            Err(Malformed::NotFinite) => state.metrics.count("gossip_senseless"),
        }
        let wait = turn.read(clock::now(), length);
        if wait > Span(0) {
            state.metrics.count("gossip_paused");
            tokio::time::sleep(millis(wait)).await;
        }
    }
}

/// Handles a received message.
fn handle<D: Dialect>(state: &Rc<State<D>>, address: SocketAddr, received: Received) {
    let now = clock::now();
    let entry: Arc<str> = received.entry.into();
    let zone = received.zone;
    let summary = received.summary;
    let mut directory = state.peers.directory.borrow_mut();
    let is_known = directory.observe(now, &entry, Location { zone, address });
    drop(directory);
    if !is_known {
        state.metrics.count("gossip_left_out");
        return;
    }
    if received.portion.number == 0 {
        record_planner(state, address, &received.scope, &summary);
    }
    record_states(state, &summary);
    let mut reports = state.peers.reports.borrow_mut();
    let has_room = reports.receive(now, entry, received.scope, received.portion, summary);
    drop(reports);
    if !has_room {
        state.metrics.count("gossip_left_out");
    }
    if now.since(state.peers.aggregated_at.get()) >= AGGREGATE_INTERVAL {
        aggregate(state);
    }
}

/// Records which servers refuse requests or are slow, of those that are registered: others have no bound.
fn record_states<D>(state: &State<D>, summary: &Summary) {
    let now = clock::now();
    let (roster, mut load) = (state.roster.borrow(), state.load.borrow_mut());
    let is_registered = |server: &Incarnation| roster.get(server).is_some();
    for (server, duration) in &summary.refusing {
        if is_registered(server) {
            load.refusals.receive(now, server.clone(), *duration);
        }
    }
    for (server, slowness) in &summary.slowness {
        if is_registered(server) {
            load.record_slowness(now, server, *slowness);
        }
    }
}

/// Records which entry is the planner. Only an entry itself can say that it is not the planner.
fn record_planner<D>(state: &State<D>, sender: SocketAddr, scope: &Scope, summary: &Summary) {
    let now = clock::now();
    match (scope, summary.planner) {
        (_, Some((token, planner))) if Some(planner) != state.internal.get() => {
            state.leadership.record_report(now, planner, Some(token));
        }
        (Scope::Own, None) => state.leadership.record_report(now, sender, None),
        _ => {}
    }
}

/// Aggregates the received reports and applies the result.
fn aggregate<D: Dialect>(state: &Rc<State<D>>) {
    let now = clock::now();
    state.peers.aggregated_at.set(now);
    let mut reports = state.peers.reports.borrow_mut();
    reports.expire(now);
    let others = reports.others(now);
    drop(reports);
    state
        .peers
        .set_summary(others.entries, others.with_store, others.ready);
    quarantine::apply_reports(state, &others);
    limits::apply_reports(state, &others);
    store_watch::apply_leaving(state, &others.leaving, "report");
    let mut load = state.load.borrow_mut();
    load.set_others(others.entries, others.usage);
    drop(load);
    state.outliers.borrow_mut().set_others(others.outcomes);
    if others.planner.is_some() && state.leadership.own().is_none() {
        state.ordered_layers.replace(others.ordered);
    }
    for (server, layers) in others.held {
        apply_reported_layers(state, &server, layers);
    }
    let mut suspicion = state.suspicion.borrow_mut();
    let to_probe = suspicion.set_peer_reports(now, others.suspects);
    drop(suspicion);
    for server in to_probe {
        probe_suspect(state, server);
    }
}

/// Applies the layers that a server reported to the planner.
fn apply_reported_layers<D: Dialect>(state: &Rc<State<D>>, server: &Incarnation, layers: Range) {
    let mut roster = state.roster.borrow_mut();
    let effect = roster.reported(clock::now(), server, layers);
    drop(roster);
    if effect != Effect::None {
        store_watch::rebuild(state);
    }
}

/// Probes a server that other entries suspect if this entry has requests in flight there.
///
/// Entries without such requests prefer other servers while it is suspected. A probe from every
/// entry would mean a burst of probes and connections for each crash and each false alarm.
fn probe_suspect<D: Dialect>(state: &Rc<State<D>>, server: Incarnation) {
    let is_used = state.load.borrow().has_own_requests(&server);
    if !is_used || state.suspicion.borrow().is_suspected(&server) {
        return;
    }
    if let Some(address) = state.address(&server) {
        probe::check(state, server, address);
    }
}
