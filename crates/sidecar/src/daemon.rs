//! Starting and stopping a sidecar.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use jujube_program::counters::Counters;
use jujube_program::event;
use jujube_program::http;
use jujube_program::listen::wait_to_listen;
use jujube_program::shutdown;
use jujube_program::shutdown::Trigger;
use jujube_wire::server;

use crate::control;
use crate::handler;
use crate::proxy;
use crate::settings::Settings;
use crate::state::State;

/// A sidecar that runs.
pub struct Handle {
    /// Where entries and other sidecars call.
    pub address: SocketAddr,
    /// Where it takes calls to a plain service.
    pub http: SocketAddr,
    state: State,
    trigger: Trigger,
}

/// How often a drain looks whether it is done.
const LOOK: Duration = Duration::from_millis(20);

/// How long the last messages have after a drain.
const LINGER: Duration = Duration::from_millis(300);

/// Starts a sidecar in the current runtime.
///
/// # Errors
///
/// A socket can never be had, or the control thread cannot be had.
pub async fn start(settings: Settings) -> Result<Handle> {
    let listener = wait_to_listen("peers", settings.listen).await;
    let address = listener.local_addr()?;
    let web = wait_to_listen("calls", settings.http).await;
    let http = web.local_addr()?;
    let counters = Counters::to_or_silent("jujube.sidecar", &settings.telemetry.statsd);
    let state = State::new(settings, http, counters);
    let (trigger, stop) = shutdown::pair();

    let shared = state.clone();
    let on_stream = move |stream| handler::connection(stream, shared.clone());
    tokio::spawn(server::accept(listener, stop.clone(), on_stream));

    let shared = state.clone();
    let client = proxy::client();
    let on_call = move |request| proxy::answer(shared.clone(), client.clone(), request);
    tokio::spawn(http::serve(web, stop.clone(), on_call));

    let traffic = tokio::runtime::Handle::current();
    shutdown::on_control_thread(control::run(state.clone(), traffic, stop))?;
    event!(Info, "started", server = state.settings.server, address);
    Ok(Handle {
        address,
        http,
        state,
        trigger,
    })
}

impl Handle {
    /// Takes no new work, waits for what is in flight, and stops.
    pub async fn drain(&self) {
        event!(Info, "draining", server = self.state.settings.server);
        self.state.drain();
        let idle = async {
            while !self.state.is_idle() {
                tokio::time::sleep(LOOK).await;
            }
        };
        let patience = self.state.settings.drain;
        if tokio::time::timeout(patience, idle).await.is_err() {
            event!(Warn, "drain-cut", server = self.state.settings.server);
        }
        tokio::time::sleep(LINGER).await;
        self.stop();
        event!(Info, "stopped", server = self.state.settings.server);
    }

    /// Stops at once, as a crash would.
    pub fn stop(&self) {
        self.trigger.stop();
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.state.counters.clone()
    }
}
