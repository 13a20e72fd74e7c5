//! Graceful shutdown.

use std::future::Future;
use std::io;

use tokio::signal::unix;
use tokio::signal::unix::SignalKind;
use tokio::sync::watch;

/// The side that asks for the stop.
#[derive(Clone, Debug)]
pub struct Trigger(watch::Sender<bool>);

/// The side that waits for it.
#[derive(Clone, Debug)]
pub struct Signal(watch::Receiver<bool>);

/// Returns a connected pair.
#[must_use]
pub fn pair() -> (Trigger, Signal) {
    let (sender, receiver) = watch::channel(false);
    (Trigger(sender), Signal(receiver))
}

impl Trigger {
    /// Asks for the stop.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Signal {
    /// Waits for the stop; a trigger that is gone never asks.
    pub async fn stopped(&mut self) {
        if self.0.wait_for(|stopped| *stopped).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Tells whether the stop was asked for.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        *self.0.borrow()
    }
}

/// The signals that ask a process to stop.
#[derive(Debug)]
pub struct Termination {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl Termination {
    /// Installs the handlers: from now on the signals end nothing by themselves.
    ///
    /// # Errors
    ///
    /// The handlers cannot be set.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(SignalKind::terminate())?,
            interrupt: unix::signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    pub async fn requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Sent when a file reaches the size that the system allows; the write fails then.
const FILE_SIZE: SignalKind = SignalKind::from_raw(25);
/// Timers, which a process may inherit.
const TIMERS: [SignalKind; 3] = [
    SignalKind::alarm(),
    SignalKind::from_raw(26),
    SignalKind::from_raw(27),
];
/// What tools send to have logs reopened or figures told.
const TOOLS: [SignalKind; 3] = [
    SignalKind::user_defined1(),
    SignalKind::user_defined2(),
    SignalKind::io(),
];

/// Installs handlers for signals that do not ask a process to stop, and end one without a handler.
///
/// They stay for as long as the process lives. One of them is SIGHUP: settings may change before the
/// process listens to it, and it reads them later anyway.
pub fn outlive_signals() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build();
    if let Ok(runtime) = runtime {
        let _runtime = runtime.enter();
        let always = [SignalKind::hangup(), FILE_SIZE];
        for kind in always.into_iter().chain(TIMERS).chain(TOOLS) {
            let _handler_stays = unix::signal(kind);
        }
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// The handlers cannot be set.
pub async fn terminated() -> io::Result<()> {
    Termination::new()?.requested().await;
    Ok(())
}

/// Runs a future on a named thread of its own: control state keeps moving however busy traffic is.
///
/// # Errors
///
/// The thread or its runtime cannot be had.
pub fn on_control_thread<F>(future: F) -> io::Result<std::thread::JoinHandle<()>>
where
    F: Future<Output = ()> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = std::thread::Builder::new().name("control".into());
    thread.spawn(move || runtime.block_on(future))
}
