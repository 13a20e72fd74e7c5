//! Questions to backend servers: are you there, and what do you hold.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::Either;
use futures::future::select;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::dialect::Dialect;
use crate::dialect::Report;
use crate::follow;
use crate::pool;
use crate::pool::Lease;
use crate::state::State;

/// How long a server may take to answer; its report needs no slot, and the way there and back takes
/// two milliseconds.
const ANSWER: Duration = Duration::from_millis(100);
/// After how long it is asked once more, on a new connection: a packet may have been lost, which is
/// sent again only after two tenths of a second, or the kept connection may have fallen silent. Of a
/// link that loses three packets in a hundred, two in a row are lost once in some hundred questions.
const AGAIN: Duration = Duration::from_millis(40);
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
    known: RefCell<HashMap<Incarnation, Known>>,
}

impl Probes {
    /// Tells whether a server answered after a time.
    pub fn answered_since(&self, server: &Incarnation, since: Instant) -> bool {
        let known = self.known.borrow();
        known
            .get(server)
            .is_some_and(|known| known.at > since && known.health != Health::Dead)
    }

    /// Forgets an answer that a server gave before a run on it was lost: it says nothing of the loss.
    fn outdate(&self, server: &Incarnation, lost: Instant) {
        let mut known = self.known.borrow_mut();
        let is_outdated = |known: &Known| known.at <= lost && known.health != Health::Dead;
        if known.get(server).is_some_and(is_outdated) {
            known.remove(server);
        }
    }
}

/// Asks a server for its report.
///
/// # Errors
///
/// It does not answer in time, or not with a report.
pub async fn report<D: Dialect>(
    state: &State<D>,
    server: &Incarnation,
    address: SocketAddr,
) -> anyhow::Result<Report> {
    let began = clock::now();
    let asked = ask::<D>(state, server, address);
    let body = tokio::time::timeout(ANSWER, asked).await??;
    let report = D::report(&body)?;
    state.pulse.borrow_mut().answered(began);
    if server.is_denied_by(report.born) {
        learn_restart(state, server, &report);
        anyhow::bail!("restarted");
    }
    Ok(report)
}

/// Takes a server's own word that it has started again.
///
/// Its registration tells the same soon after. While the store is away it doesn't, and the server could
/// get neither layers nor work until the store is back.
fn learn_restart<D: Dialect>(state: &State<D>, earlier: &Incarnation, report: &Report) {
    let later = Incarnation::new(earlier.server.clone(), report.born);
    follow::take_held(state, &later, report.held.unwrap_or_default());
}

async fn ask<D: Dialect>(
    state: &State<D>,
    server: &Incarnation,
    address: SocketAddr,
) -> anyhow::Result<Bytes> {
    let first = std::pin::pin!(async {
        let lease = state.pool.lease(server, address).await?;
        let is_kept = lease.is_reused;
        let asked = exchange::<D>(lease, address).await;
        // A kept connection may have been closed meanwhile, which says nothing of the server.
        if asked.is_ok() || !is_kept {
            return asked;
        }
        exchange::<D>(state.pool.connect(server, address).await?, address).await
    });
    let pause = std::pin::pin!(tokio::time::sleep(AGAIN));
    let first = match select(first, pause).await {
        Either::Left((answer, _)) => return answer,
        Either::Right(((), first)) => first,
    };
    let second = std::pin::pin!(async {
        exchange::<D>(state.pool.connect(server, address).await?, address).await
    });
    match select(first, second).await {
        Either::Left((Ok(body), _)) | Either::Right((Ok(body), _)) => Ok(body),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
    }
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
    server: &Incarnation,
    address: SocketAddr,
) -> Health {
    if state.roster.borrow().has_restarted(server) {
        // Whoever listens there now knows nothing of what this start was given.
        return Health::Dead;
    }
    let known = state.probes.known.borrow().get(server).copied();
    if let Some(known) = known.filter(|known| clock::now().since(known.at) <= STANDS) {
        return known.health;
    }
    state.metrics.count("probes");
    let asked = clock::now();
    let answer = report(state, server, address).await;
    if answer
        .as_ref()
        .is_err_and(|error| is_void(state, asked, error))
    {
        state.metrics.count("probes_void");
        return Health::Well;
    }
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
            load.asked(at, server, report.slowness);
        }
        Err(error) => {
            state.accuse(server, &format!("{error:#}").replace(' ', "-"));
            note_refusal(state, server, &error);
        }
    }
    health
}

/// Tells whether a server's silence says nothing of it: this process was late itself while it waited.
///
/// A VM with a tenth of a core stands still for longer than an answer takes whenever it has much to do. It would
/// find live servers dead, give up their streams, and have more to do. Those that are dead are found so at the next
/// look, or by the entries that are on time.
fn is_void<D>(state: &State<D>, asked: Instant, error: &anyhow::Error) -> bool {
    let is_silence = error.is::<tokio::time::error::Elapsed>();
    is_silence && state.pulse.borrow().was_late(asked, clock::now())
}

/// Books whether nobody listens at a server's address, by the error with which a question ended.
fn note_refusal<D>(state: &State<D>, server: &Incarnation, error: &anyhow::Error) {
    let error = error.downcast_ref::<io::Error>();
    if error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
        state.suspicion.borrow_mut().refused(server);
    }
}

/// Has a server asked whether it is alive, without waiting for the answer.
pub fn doubt<D: Dialect>(state: &Rc<State<D>>, server: Incarnation, address: SocketAddr) {
    let state = state.clone();
    tokio::task::spawn_local(async move {
        health(&state, &server, address).await;
    });
}

/// The same after a run on it was lost at a time: an answer from before does not stand.
pub fn doubt_since<D: Dialect>(
    state: &Rc<State<D>>,
    server: Incarnation,
    address: SocketAddr,
    lost: Instant,
) {
    state.probes.outdate(&server, lost);
    doubt(state, server, address);
}

/// Asks servers that closed a connection that rested, until the process ends.
pub async fn follow_dropped<D: Dialect>(state: Rc<State<D>>) {
    loop {
        for server in state.pool.closed().await {
            if let Some(address) = state.address(&server) {
                doubt(&state, server, address);
            }
        }
    }
}

/// How often the suspects are looked through.
const LOOK: Duration = Duration::from_millis(100);

/// Asks the suspects again until they answer or are no longer registered.
pub async fn follow_suspects<D: Dialect>(state: Rc<State<D>>) {
    loop {
        tokio::time::sleep(LOOK).await;
        let due = state.suspicion.borrow_mut().due(clock::now());
        if !due.is_empty() {
            ask_witness(&state);
        }
        for server in due {
            let Some(address) = state.address(&server) else {
                state.suspicion.borrow_mut().clear(&server);
                continue;
            };
            tokio::task::spawn_local(ask_suspect(state.clone(), server, address));
        }
    }
}

/// Asks a server that is not suspected, any, unless one has answered since the last suspect was accused.
///
/// Silence counts only where others are heard; without a witness nobody would count as ended, and streams whose
/// server died would wait for one in vain.
fn ask_witness<D: Dialect>(state: &Rc<State<D>>) {
    let suspicion = state.suspicion.borrow();
    let newest = suspicion.newest().unwrap_or_default();
    if state.pulse.borrow().was_in_touch(newest) {
        return;
    }
    let roster = state.roster.borrow();
    let trusted = roster
        .usable()
        .filter(|server| !suspicion.holds(&server.incarnation));
    let witness = trusted.min_by_key(|_| rand::random::<u32>());
    if let Some(witness) = witness {
        let (server, address) = (witness.incarnation.clone(), witness.address);
        let state = state.clone();
        state.metrics.count("probes");
        tokio::task::spawn_local(async move {
            // Its answer is noted where it is heard; silence is judged by those who have requests there.
            let _answer = report(&state, &server, address).await;
        });
    }
}

async fn ask_suspect<D: Dialect>(state: Rc<State<D>>, server: Incarnation, address: SocketAddr) {
    state.metrics.count("probes");
    if let Err(error) = report(&state, &server, address).await {
        note_refusal(&state, &server, &error);
        return;
    }
    let since = state.suspicion.borrow_mut().clear(&server);
    state.probes.known.borrow_mut().remove(&server);
    if let Some(since) = since {
        let span = clock::now().since(since);
        log::info!("event=trusted server={server} suspected_ms={span}");
    }
}
