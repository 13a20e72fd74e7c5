//! Loans of fractions of servers' limits between entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::pipeline::limits::Fraction;
use jujube_core::pipeline::limits::Granted;
use jujube_core::pipeline::limits::Request;
use jujube_core::pipeline::server::Incarnation;
use jujube_program::clock;
use jujube_program::word::Word;
use tokio::net::UdpSocket;

use crate::gossip::Kind;
use crate::gossip::Loan;
use crate::state::State;

/// How often other entries are asked. A loan lasts three times as long, so that two messages in a
/// row may be lost.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Asks other entries for loans while this one wants more than its fractions. Never returns.
pub async fn run<D>(state: Rc<State<D>>, socket: Rc<UdpSocket>) {
    loop {
        state.loan_wanted.notified().await;
        while ask(&state, &socket).await {
            tokio::time::sleep(ASK_INTERVAL).await;
        }
        // Without lenders, requests at their limits would wake this task again and again.
        tokio::time::sleep(ASK_INTERVAL).await;
    }
}

/// Asks once; returns whether anything is wanted.
async fn ask<D>(state: &State<D>, socket: &UdpSocket) -> bool {
    let own = &state.settings.name;
    let requests = due_requests(state);
    let is_any = !requests.is_empty();
    for Request { to, number, rows } in requests {
        let address = state.peers.directory.borrow().address(&to);
        let Some(address) = address else {
            continue;
        };
        let request = Loan {
            kind: Kind::Request,
            entry: own.to_string(),
            number,
            rows,
        };
        request.send(state, socket, address).await;
    }
    is_any
}

fn due_requests<D>(state: &State<D>) -> Vec<Request> {
    let mut load = state.load.borrow_mut();
    load.limits.requests(clock::now(), &state.settings.name)
}

/// Records a request that wants one of some servers, for the demand at those closed by their limits.
pub fn record_demand<'a, D>(state: &State<D>, servers: impl Iterator<Item = &'a Incarnation>) {
    let mut load = state.load.borrow_mut();
    if load.limits.is_empty() {
        return;
    }
    let servers: Vec<&Incarnation> = servers.collect();
    if load.limits.record_closed(clock::now(), &servers) {
        state.loan_wanted.notify_one();
    }
}

/// Handles a message of another entry.
pub async fn handle<D>(state: &State<D>, socket: &UdpSocket, address: SocketAddr, loan: Loan) {
    match loan.kind {
        Kind::Request => lend(state, socket, address, loan).await,
        Kind::Grant => borrow(state, &loan),
    }
}

/// Answers a request with what this entry lends. Requests of entries that are not known are
/// ignored, since the limits are not divided among them.
async fn lend<D>(state: &State<D>, socket: &UdpSocket, address: SocketAddr, request: Loan) {
    let entry: Arc<str> = request.entry.into();
    if state.peers.directory.borrow().address(&entry) != Some(address) {
        return;
    }
    let lent = lend_to(state, &entry, &request.rows);
    if lent.is_empty() {
        return;
    }
    let rows = lent.into_iter().map(|row| (row.server, row.fraction));
    let grant = Loan {
        kind: Kind::Grant,
        entry: state.settings.name.to_string(),
        number: request.number,
        rows: rows.collect(),
    };
    grant.send(state, socket, address).await;
}

/// Lends what this entry does not need to another one.
fn lend_to<D>(
    state: &State<D>,
    entry: &Arc<str>,
    wanted: &[(Incarnation, Fraction)],
) -> Vec<Granted> {
    let mut load = state.load.borrow_mut();
    let lent = load.limits.lend(clock::now(), entry, wanted);
    for (server, share) in reported(&lent) {
        state.metrics.count("limit_loans_lent");
        log::info!(
            "event=limit-lent server={} to={} share={share:.2}",
            Word(server),
            Word(entry)
        );
    }
    lent
}

/// Uses what another entry lends.
fn borrow<D>(state: &State<D>, grant: &Loan) {
    let (entry, now) = (&grant.entry, clock::now());
    let mut load = state.load.borrow_mut();
    let borrowed = load.limits.borrow(now, entry, grant.number, &grant.rows);
    drop(load);
    for (server, share) in reported(&borrowed) {
        state.metrics.count("limit_loans_borrowed");
        log::info!(
            "event=limit-borrowed server={} from={} share={share:.2}",
            Word(server),
            Word(entry)
        );
    }
}

/// Returns the loans to log, in requests per second.
fn reported(granted: &[Granted]) -> impl Iterator<Item = (&Incarnation, f64)> {
    let rows = granted.iter();
    rows.filter_map(|row| Some((&row.server, row.reported?)))
}
