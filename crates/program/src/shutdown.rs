//! Graceful shutdown.

use std::future::Future;
use std::io;

use tokio::runtime::Runtime;
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

/// The signals that ask a process to stop: SIGTERM, SIGINT and SIGQUIT.
#[derive(Debug)]
pub struct Termination {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    quit: unix::Signal,
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
            quit: unix::signal(SignalKind::quit())?,
        })
    }

    /// Waits for one of the signals; one that came since the handlers were installed counts.
    pub async fn requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
            _ = self.quit.recv() => {}
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

/// What a machine sends that runs short of processor time or power, or has a fault of a coprocessor.
const MACHINE: [SignalKind; 3] = [
    SignalKind::from_raw(24),
    SignalKind::from_raw(30),
    SignalKind::from_raw(16),
];

/// A process that begins to run, and whose signals end it no more.
#[derive(Debug)]
pub struct Beginning {
    runtime: Runtime,
    termination: Termination,
}

impl Beginning {
    /// Installs the handlers of all signals that end a process without one, except those that tell of
    /// its own faults and the real-time signals. They stay for as long as the process lives.
    ///
    /// One of them is SIGHUP: settings may change before the process listens to it, and it reads them
    /// later anyway.
    ///
    /// # Errors
    ///
    /// The system has no event queue, or the handlers of the signals that ask for a stop cannot be set.
    pub fn new() -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let entered = runtime.enter();
        let _handler_stays = unix::signal(SignalKind::hangup());
        let termination = Termination::new()?;
        let others = TIMERS.into_iter().chain(TOOLS).chain(MACHINE);
        for kind in others.chain([FILE_SIZE]) {
            let _handler_stays = unix::signal(kind);
        }
        drop(entered);
        Ok(Self {
            runtime,
            termination,
        })
    }

    /// Runs a future to its end; returns what it gave and the signals that ask for a stop, or `None` if
    /// a stop was asked for first.
    pub fn run<T>(mut self, future: impl Future<Output = T>) -> Option<(T, Termination)> {
        let termination = &mut self.termination;
        let output = self.runtime.block_on(async move {
            tokio::select! {
                biased;
                output = future => Some(output),
                () = termination.requested() => None,
            }
        });
        output.map(|output| (output, self.termination))
    }
}

/// Waits for a signal that asks for a stop.
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
