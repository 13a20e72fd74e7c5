//! Questions to backend servers: are you there, and what do you hold.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use jujube_core::name::Server;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::dialect::Dialect;
use crate::dialect::Report;
use crate::pool;
use crate::pool::Lease;
use crate::state::State;

/// How long a server may take to answer; its report needs no slot, and the way there and back takes
/// two milliseconds. A packet lost on the way costs one answer, which the caller asks for again.
const ANSWER: Duration = Duration::from_millis(150);
/// How long an answer stands for the next one who asks. A dying server stalls many streams at once;
/// they need one question, not one each.
const STANDS: Span = Span(400);
/// From how many times its usual time on a server counts as slow.
const SLOW: f64 = 2.0;

/// How a server is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// It answers and works at its usual speed.
    Well,
    /// It answers and is much slower than usual.
    Slow,
    /// It does not answer.
    Dead,
}

#[derive(Clone, Copy)]
struct Known {
    at: Instant,
    health: Health,
}

/// Recent answers.
#[derive(Default)]
pub struct Probes {
    known: RefCell<HashMap<Server, Known>>,
}

/// Asks a server for its report.
///
/// # Errors
///
/// It does not answer in time, or not with a report.
pub async fn report<D: Dialect>(
    state: &State<D>,
    server: &Server,
    address: SocketAddr,
) -> anyhow::Result<Report> {
    let asked = ask::<D>(state, server, address);
    let body = tokio::time::timeout(ANSWER, asked).await??;
    D::report(&body)
}

async fn ask<D: Dialect>(
    state: &State<D>,
    server: &Server,
    address: SocketAddr,
) -> anyhow::Result<Bytes> {
    let kept = state.pool.lease(server, address).await?;
    let is_kept = kept.reused;
    let asked = exchange::<D>(kept, address).await;
    if asked.is_ok() || !is_kept {
        return asked;
    }
    // The kept connection may have been closed meanwhile, which says nothing of the server.
    exchange::<D>(state.pool.fresh(server, address).await?, address).await
}

async fn exchange<D: Dialect>(lease: Lease, address: SocketAddr) -> anyhow::Result<Bytes> {
    let request = Request::get(D::REPORT)
        .header(HOST, address.to_string())
        .body(Full::default())?;
    let (status, body) = pool::call(lease, request).await?;
    if !status.is_success() {
        anyhow::bail!("status {status}");
    }
    Ok(body)
}

/// Finds out how a server is; a dead one is suspected from now on.
pub async fn health<D: Dialect>(
    state: &Rc<State<D>>,
    server: &Server,
    address: SocketAddr,
) -> Health {
    let known = state.probes.known.borrow().get(server).copied();
    if let Some(known) = known.filter(|known| clock::now().since(known.at) <= STANDS) {
        return known.health;
    }
    state.metrics.count("probes");
    let answer = report(state, server, address).await;
    let health = match &answer {
        Ok(report) if report.slowness >= SLOW => Health::Slow,
        Ok(_) => Health::Well,
        Err(_) => Health::Dead,
    };
    let at = clock::now();
    let known = Known { at, health };
    state
        .probes
        .known
        .borrow_mut()
        .insert(server.clone(), known);
    match answer {
        Ok(report) => {
            let mut load = state.load.borrow_mut();
            load.reported(at, server, report.slowness);
        }
        Err(error) => state.accuse(server, &format!("{error:#}").replace(' ', "-")),
    }
    health
}

/// How often the suspects are looked through.
const LOOK: Duration = Duration::from_millis(100);

/// Asks the suspects again until they answer or are no longer registered.
pub async fn follow_suspects<D: Dialect>(state: Rc<State<D>>) {
    loop {
        tokio::time::sleep(LOOK).await;
        let due = state.suspicion.borrow_mut().due(clock::now());
        for server in due {
            let Some(address) = state.address(&server) else {
                state.suspicion.borrow_mut().clear(&server);
                continue;
            };
            tokio::task::spawn_local(ask_suspect(state.clone(), server, address));
        }
    }
}

async fn ask_suspect<D: Dialect>(state: Rc<State<D>>, server: Server, address: SocketAddr) {
    state.metrics.count("probes");
    if report(&state, &server, address).await.is_err() {
        return;
    }
    let since = state.suspicion.borrow_mut().clear(&server);
    state.probes.known.borrow_mut().remove(&server);
    if let Some(since) = since {
        let span = clock::now().since(since);
        log::info!("event=trusted server={server} suspected_ms={span}");
    }
}
