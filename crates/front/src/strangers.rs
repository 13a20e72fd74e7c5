//! Asks the processes at the addresses of servers who they are.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use jujube_core::pipeline::carried::Exchange;
use jujube_core::pipeline::document::HealthPath;
use jujube_core::pipeline::server::Incarnation;
use jujube_program::clock;
use jujube_program::event;

use crate::blocks::Blocks;
use crate::dialect::Dialect;
use crate::head;
use crate::pool;
use crate::state::State;
use crate::store_watch;

/// How long a process may take to say who it is; a health check may wait for a slot.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often the strangers are looked through for questions that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The most processes that are asked at the same time.
const MAX_QUESTIONS: usize = 8;

/// Which server is at an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Identity {
    /// The registered one.
    Own,
    /// Another one.
    Other,
    /// The process did not say.
    Unknown,
}

/// Records that the process at a server's address turned a request away as meant for another one.
///
/// An engine also does so if it does not hold its part of a path, so it is asked who it is.
pub fn misdirected<D: Dialect>(state: &Rc<State<D>>, server: &Incarnation) {
    if !may_hold_layers(state, server) {
        record(state, server, "turned-away");
    }
    doubted(state, server);
}

/// Asks who is at the address of a server whose responses leave that open.
pub fn doubted<D: Dialect>(state: &Rc<State<D>>, server: &Incarnation) {
    if let Some(address) = state.address(server) {
        tokio::task::spawn_local(ask_all(state.clone(), address));
    }
}

/// Returns whether a server runs a model that is split by layers.
fn may_hold_layers<D>(state: &State<D>, server: &Incarnation) -> bool {
    let (table, roster) = (state.table(), state.roster.borrow());
    let service = roster.get(server).map(|server| &server.service);
    let backend = table.as_ref().zip(service);
    let backend = backend.and_then(|(table, service)| table.document.services.get(service));
    backend.is_none_or(|backend| backend.model.is_some())
}

/// Asks for each server that is registered at an address, of which at most one is there.
async fn ask_all<D: Dialect>(state: Rc<State<D>>, address: SocketAddr) {
    for server in to_ask(&state, address) {
        if ask(&state, &server).await == Identity::Other {
            record(&state, &server, "asked");
        }
    }
}

/// Returns the servers registered at an address that have not been asked for lately.
fn to_ask<D>(state: &State<D>, address: SocketAddr) -> Vec<Incarnation> {
    let mut roster = state.roster.borrow_mut();
    let there = roster.usable().filter(|server| server.address == address);
    let mut there: Vec<Incarnation> = there.map(|server| server.incarnation.clone()).collect();
    there.retain(|server| roster.strangers.may_ask(clock::now(), server));
    there
}

fn record<D>(state: &State<D>, server: &Incarnation, cause: &str) {
    let mut roster = state.roster.borrow_mut();
    let Some(address) = roster.get(server).map(|server| server.address) else {
        return;
    };
    if !roster.stranger(clock::now(), server) {
        return;
    }
    drop(roster);
    state.metrics.count("strangers");
    event!(Warn, "stranger", server, address, cause);
    store_watch::rebuild(state);
}

/// Asks at the addresses of strangers, more and more rarely, until the servers are there, and at those
/// from which a registration displaced others. Never returns.
pub async fn run<D: Dialect>(state: Rc<State<D>>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let claims = state.roster.borrow_mut().due_claims(clock::now());
        for servers in claims.chunks(MAX_QUESTIONS) {
            join_all(servers.iter().map(|server| check_claim(&state, server))).await;
        }
        let due = state.roster.borrow_mut().strangers.due(clock::now());
        for servers in due.chunks(MAX_QUESTIONS) {
            join_all(servers.iter().map(|server| ask_again(&state, server))).await;
        }
    }
}

/// Asks a server that displaced others whether it is at their address.
async fn check_claim<D: Dialect>(state: &State<D>, claimant: &Incarnation) {
    let identity = ask(state, claimant).await;
    let mut roster = state.roster.borrow_mut();
    let displaced = roster.displaced_by(claimant).count();
    let is_withdrawn = match identity {
        Identity::Own => {
            roster.confirm_claim(claimant);
            false
        }
        Identity::Unknown => roster.withdraw_claim(clock::now(), claimant),
        Identity::Other => {
            drop(roster);
            record(state, claimant, "claim");
            return;
        }
    };
    drop(roster);
    event!(
        Info,
        "claim-checked",
        server = claimant,
        identity = format_args!("{identity:?}"),
        displaced
    );
    if is_withdrawn {
        store_watch::rebuild(state);
    }
}

async fn ask_again<D: Dialect>(state: &State<D>, server: &Incarnation) {
    if ask(state, server).await != Identity::Own {
        return;
    }
    let is_found = state.roster.borrow_mut().strangers.found(server);
    if is_found {
        event!(Info, "stranger-found", server);
        store_watch::rebuild(state);
    }
}

async fn ask<D: Dialect>(state: &State<D>, server: &Incarnation) -> Identity {
    let Some((address, path)) = place(state, server) else {
        return Identity::Unknown;
    };
    state.metrics.count("probes");
    let answer = request_identity(state, server, address, &path);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    match answer {
        Ok(Ok(identity)) => identity,
        _ => Identity::Unknown,
    }
}

/// Returns the address of a server and the path of its health checks.
fn place<D>(state: &State<D>, server: &Incarnation) -> Option<(SocketAddr, HealthPath)> {
    let (table, roster) = (state.table()?, state.roster.borrow());
    let server = roster.get(server)?;
    let backend = table.document.services.get(&server.service)?;
    Some((server.address, backend.health_path.clone()?))
}

async fn request_identity<D: Dialect>(
    state: &State<D>,
    server: &Incarnation,
    address: SocketAddr,
    path: &HealthPath,
) -> anyhow::Result<Identity> {
    let name = &*server.server.0;
    let request = Request::get(path.as_str())
        .header(HOST, address.to_string())
        .header(D::NAMES.expected_server, name)
        .body(Blocks::default())?;
    // On a new connection no response to an earlier exchange can arrive.
    let lease = state.pool.connect(server, address, Exchange::Check).await?;
    let response = pool::exchange(lease, request, |_| true).await?;
    let (status, headers) = (response.status(), response.headers());
    if head::names_other(headers, &D::NAMES.server, &server.server) {
        return Ok(Identity::Other);
    }
    Ok(match headers.contains_key(&D::NAMES.server) {
        true => Identity::Own,
        false if status == StatusCode::MISDIRECTED_REQUEST => Identity::Other,
        false if status.is_success() => Identity::Own,
        false => Identity::Unknown,
    })
}
