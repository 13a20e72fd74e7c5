//! Starting and stopping an entry.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Result;
use jujube_program::counters::Counters;
use jujube_program::event;
use jujube_program::http;
use jujube_program::listen::wait_to_listen;
use jujube_program::shutdown;
use jujube_program::shutdown::Trigger;
use jujube_wire::server;
use tower::ServiceExt;

use crate::api;
use crate::control;
use crate::handler;
use crate::settings::Settings;
use crate::state::State;

/// An entry that runs.
pub struct Handle {
    /// Where callers call.
    pub address: SocketAddr,
    /// Where sidecars call.
    pub peer: SocketAddr,
    state: State,
    trigger: Trigger,
}

/// How often a drain looks whether it is done.
const LOOK: Duration = Duration::from_millis(20);

/// How long the last releases have after a drain.
const LINGER: Duration = Duration::from_millis(300);

/// Starts an entry in the current runtime.
///
/// # Errors
///
/// A socket can never be had, or the control thread cannot be had.
pub async fn start(settings: Settings) -> Result<Handle> {
    let web = wait_to_listen("callers", settings.listen).await;
    let address = web.local_addr()?;
    let listener = wait_to_listen("peers", settings.peer).await;
    let peer = listener.local_addr()?;
    let counters = Counters::to_or_silent("jujube.entry", &settings.telemetry.statsd);
    let state = State::new(settings, peer.to_string().into(), counters);
    let (trigger, stop) = shutdown::pair();

    let shared = state.clone();
    let on_stream = move |stream| handler::connection(stream, shared.clone());
    tokio::spawn(server::accept(listener, stop.clone(), on_stream));

    let stack = api::stack(state.clone());
    let on_request = move |request| {
        let stack = stack.clone();
        async move {
            match stack.oneshot(request).await {
                Ok(response) => response,
                Err::<_, Infallible>(never) => match never {},
            }
        }
    };
    tokio::spawn(http::serve(web, stop.clone(), on_request));

    shutdown::on_control_thread(control::run(state.clone(), stop))?;
    event!(Info, "started", address, peer);
    Ok(Handle {
        address,
        peer,
        state,
        trigger,
    })
}

impl Handle {
    /// Turns new requests away, waits for those in flight, and stops.
    pub async fn drain(&self) {
        event!(Info, "draining", address = self.address);
        self.state.draining.store(true, Ordering::Relaxed);
        tokio::time::sleep(self.state.settings.notice).await;
        let idle = async {
            while self.state.in_flight.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(LOOK).await;
            }
        };
        if tokio::time::timeout(self.state.settings.drain, idle)
            .await
            .is_err()
        {
            event!(Warn, "drain-cut", address = self.address);
        }
        tokio::time::sleep(LINGER).await;
        self.stop();
        event!(Info, "stopped", address = self.address);
    }

    /// Stops at once, as a crash would.
    pub fn stop(&self) {
        self.trigger.stop();
    }

    /// Tells whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.state.counters.clone()
    }
}
